use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Mark of one accept, drawn at random by whoever asks for it.
///
/// Every try of the same accept carries the same token, so that a try that
/// took effect is known by reading it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceptToken(pub u64);

impl fmt::Display for AcceptToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
