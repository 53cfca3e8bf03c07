use super::answer::StoredAnswer;
use super::claim_request::ClaimId;
use super::row::ClaimRow;
use super::row_name::ClaimRowName;
use super::row_update::RowVersion;

/// A granted claim: the right to send a request once.
///
/// It can't be cloned. It is either converted into a [`SendPermit`] or
/// released.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldClaim {
    pub(super) id: ClaimId,
    pub(super) row_name: ClaimRowName,
    /// Key and version of the claim's row in the store.
    pub(super) version: RowVersion,
    pub(super) row: ClaimRow,
}

impl HeldClaim {
    /// Returns the request that the claim is for.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Checks the request's deadline; called just before the first byte is
    /// sent.
    ///
    /// A process that was paused after the claim until past the deadline
    /// therefore does not send.
    #[must_use]
    pub fn begin_send(self, now_ms: u64) -> SendCheck {
        if now_ms < self.row.deadline_ms {
            SendCheck::Send(SendPermit { claim: self })
        } else {
            SendCheck::TooLate(self)
        }
    }
}

/// Whether a claimed request may still be sent.
#[derive(Debug, PartialEq, Eq)]
pub enum SendCheck {
    /// The request may be sent now.
    Send(SendPermit),
    /// The request's deadline has passed; the claim must be released.
    TooLate(HeldClaim),
}

/// A claim whose request may have been sent.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    pub(super) claim: HeldClaim,
}

impl SendPermit {
    /// Returns the request that the claim is for.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        self.claim.id
    }

    /// Returns the claim, after a send whose request can't have run: no byte was
    /// sent, or the endpoint reported that it did not start the request.
    #[must_use]
    pub fn not_run(self) -> HeldClaim {
        self.claim
    }
}

/// Outcome of a request that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The endpoint answered.
    Answered(StoredAnswer),
    /// The request may have run, and no answer will come.
    Unresolved,
}
