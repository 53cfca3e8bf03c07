use super::answer::StoredAnswer;
use super::claim_request::ClaimId;
use super::row::ClaimRow;
use super::row_name::ClaimRowName;
use super::update::FoundRow;

/// The right to send a request once.
///
/// It cannot be copied: it is either turned into a [`SendPermit`] or released.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldClaim {
    pub(super) id: ClaimId,
    pub(super) row_name: ClaimRowName,
    pub(super) found: FoundRow,
    pub(super) row: ClaimRow,
}

impl HeldClaim {
    /// The request that the claim is for.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Checks the clock just before the first byte is sent.
    ///
    /// A process that was paused since the claim finds its deadline past here
    /// and does not send.
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
    /// It may, at once.
    Send(SendPermit),
    /// Its deadline is past; the claim is to be released.
    TooLate(HeldClaim),
}

/// A claim whose request may have been sent.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    pub(super) claim: HeldClaim,
}

impl SendPermit {
    /// The request that the claim is for.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        self.claim.id
    }

    /// The claim again, after a send that cannot have run: no byte left, or
    /// the endpoint said that it did not start.
    #[must_use]
    pub fn not_run(self) -> HeldClaim {
        self.claim
    }
}

/// What became of a request that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The endpoint answered.
    Answered(StoredAnswer),
    /// It may have run, and no answer will come.
    Unresolved,
}
