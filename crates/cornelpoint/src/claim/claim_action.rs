use super::claim_request::ClaimId;
use super::held_claim::HeldClaim;
use super::row::ClaimRow;

/// How a claim was decided.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// The key is claimed for this request.
    Granted {
        /// The request.
        id: ClaimId,
        /// The right to send it once.
        claim: HeldClaim,
    },
    /// The key was claimed before, for the same request.
    HeldByOther {
        /// The request.
        id: ClaimId,
        /// The other claim.
        row: ClaimRow,
    },
    /// The key was claimed before, for another request.
    KeyReused {
        /// The request.
        id: ClaimId,
    },
    /// The claim was not recorded in time; nothing was or will be sent.
    Unavailable {
        /// The request.
        id: ClaimId,
    },
}
