use std::error::Error;
use std::fmt;

/// Reason why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The request was not sent and has no effect.
    NotSent,
    /// The same, since all connections were in use until the timeout, or since this
    /// process may no longer send it. Says nothing about the server.
    Busy,
    /// The request may have been received and carried out.
    NoAnswer,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => write!(formatter, "request not sent"),
            Self::Busy => write!(formatter, "not sent by this process"),
            Self::NoAnswer => write!(formatter, "no response"),
        }
    }
}

impl Error for CallError {}
