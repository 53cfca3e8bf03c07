use std::error::Error;
use std::fmt;

/// Greatest length of an idempotency key, in bytes.
const MAX_LENGTH_BYTES: usize = 128;

/// A caller's idempotency key: 1 to 128 visible ASCII characters.
///
/// ```
/// use cornelpoint::claim::ClaimKey;
///
/// assert_eq!(ClaimKey::try_from("order-17").unwrap().as_str(), "order-17");
/// assert!(ClaimKey::try_from("order 17").is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Name of the HTTP request header that carries the key.
    pub const HEADER: &'static str = "idempotency-key";

    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for ClaimKey {
    type Error = ClaimKeyError;

    fn try_from(text: &str) -> Result<Self, ClaimKeyError> {
        if text.is_empty() {
            return Err(ClaimKeyError::Empty);
        }
        if text.len() > MAX_LENGTH_BYTES {
            return Err(ClaimKeyError::TooLong {
                length_bytes: text.len(),
            });
        }
        match text.chars().find(|c| !c.is_ascii_graphic()) {
            Some(found) => Err(ClaimKeyError::BadCharacter { found }),
            None => Ok(Self(text.to_owned())),
        }
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Reason why a text is not a valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimKeyError {
    /// The text is empty.
    Empty,
    /// The text exceeds the greatest length of a key.
    TooLong {
        /// Length found, in bytes.
        length_bytes: usize,
    },
    /// The text contains a character other than visible ASCII.
    BadCharacter {
        /// The first such character.
        found: char,
    },
}

impl fmt::Display for ClaimKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "expected a key, found an empty text"),
            Self::TooLong { length_bytes } => write!(
                formatter,
                "expected a key of at most {MAX_LENGTH_BYTES} bytes, found {length_bytes}"
            ),
            Self::BadCharacter { found } => write!(
                formatter,
                "expected visible ASCII characters, found `{}`",
                found.escape_default()
            ),
        }
    }
}

impl Error for ClaimKeyError {}
