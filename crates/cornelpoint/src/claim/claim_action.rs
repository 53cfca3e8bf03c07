use super::claim_request::ClaimId;
use super::held_claim::HeldClaim;
use super::row::ClaimRow;

/// How the batcher decided a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// The key is claimed for this request.
    Granted {
        /// The request.
        id: ClaimId,
        /// The right to send the request once.
        claim: HeldClaim,
    },
    /// The key is claimed already, for the same request.
    HeldByOther {
        /// The request.
        id: ClaimId,
        /// The other claim.
        row: ClaimRow,
    },
    /// The key is claimed already, for a request with another fingerprint.
    KeyReused {
        /// The request.
        id: ClaimId,
    },
    /// The claim could not be recorded in time; the request was not sent and
    /// never will be.
    Unavailable {
        /// The request.
        id: ClaimId,
    },
}
