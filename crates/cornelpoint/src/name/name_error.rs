use std::error::Error;
use std::fmt;

use super::checked::MAX_LENGTH_BYTES;

/// Reason why a string is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The string is empty.
    Empty,
    /// The string is longer than a name may be.
    TooLong {
        /// Length found, in bytes.
        length_bytes: usize,
    },
    /// The string contains a character that is not allowed in names.
    BadCharacter {
        /// The character found.
        found: char,
    },
}

impl fmt::Display for NameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "expected a name, found an empty text"),
            Self::TooLong { length_bytes } => write!(
                formatter,
                "expected a name of at most {MAX_LENGTH_BYTES} bytes, found {length_bytes}"
            ),
            Self::BadCharacter { found } => write!(
                formatter,
                "expected small letters, digits, `-` and `.`, found `{}`",
                found.escape_default()
            ),
        }
    }
}

impl Error for NameError {}
