use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::answer::StoredAnswer;
use super::claimant::Claimant;
use super::fingerprint::Fingerprint;

/// State of a claim and its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The key is claimed; the request may have run, and an answer may still
    /// come.
    Claimed,
    /// The endpoint answered.
    Answered {
        /// The complete answer.
        answer: StoredAnswer,
    },
    /// The request may have run, and no answer will come.
    Unresolved,
    /// The request did not run and never will under this claim.
    Released,
}

/// Content of a claim's row.
///
/// ```
/// use cornelpoint::claim::Claimant;
/// use cornelpoint::claim::ClaimRow;
/// use cornelpoint::claim::ClaimState;
/// use cornelpoint::claim::Fingerprint;
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::name::ServiceName;
/// use cornelpoint::request::Method;
///
/// let service = ServiceName::try_from("controller").unwrap();
/// let row = ClaimRow {
///     claimant: Claimant {
///         instance: InstanceId::try_from("entry-1").unwrap(),
///         incarnation: 1,
///     },
///     nonce: 7,
///     fingerprint: Fingerprint::new(Method::Post, &service, "/slab/7", b"on"),
///     claimed_at_ms: 1000,
///     deadline_ms: 6000,
///     state: ClaimState::Claimed,
/// };
/// assert_eq!(ClaimRow::decode(&row.encode()), Ok(row));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Process that claimed the key.
    pub claimant: Claimant,
    /// Random number, unique among the claimant's claims.
    pub nonce: u64,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// Deadline of the request, after which it is not sent, in milliseconds
    /// since the Unix epoch.
    pub deadline_ms: u64,
    /// State of the claim.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Encodes the row as `MessagePack` with named fields.
    ///
    /// # Panics
    ///
    /// Never: every field can be encoded as `MessagePack`.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("every field can be encoded as MessagePack")
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// If the bytes are not an encoded claim row.
    pub fn decode(bytes: &[u8]) -> Result<Self, ClaimRowError> {
        rmp_serde::from_slice(bytes).map_err(|error| ClaimRowError {
            found: error.to_string(),
        })
    }

    /// Returns whether both rows belong to the same claim.
    #[must_use]
    pub fn is_same_claim(&self, other: &Self) -> bool {
        self.nonce == other.nonce && self.claimant == other.claimant
    }
}

/// Error for bytes that are not an encoded claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRowError {
    /// The decoder's error message.
    pub found: String,
}

impl fmt::Display for ClaimRowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected a claim's row, found {}", self.found)
    }
}

impl Error for ClaimRowError {}
