use std::error::Error;
use std::fmt;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The request never left: nothing was done.
    NotSent,
    /// The request may have arrived.
    NoAnswer,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => write!(formatter, "no connection"),
            Self::NoAnswer => write!(formatter, "no answer"),
        }
    }
}

impl Error for CallError {}
