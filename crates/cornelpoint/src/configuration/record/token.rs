use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Idempotency token of one accept, drawn at random by the requester.
///
/// Every attempt of the same accept carries the same token, so an attempt that
/// took effect is recognised by reading the token back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceptToken(pub u64);

impl AcceptToken {
    /// Derives the token from a name chosen by the caller, such as a build number.
    ///
    /// ```
    /// use cornelpoint::configuration::AcceptToken;
    ///
    /// assert_eq!(AcceptToken::from_name("build 12"), AcceptToken::from_name("build 12"));
    /// assert_ne!(AcceptToken::from_name("build 12"), AcceptToken::from_name("build 13"));
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for AcceptToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
