/// Time since its last answer up to which an owner counts as slow rather than
/// unreachable. Covers a timeout of a request and some more.
const SLOW_OWNER_MS: u64 = 2000;

/// What a process knows of its connection to a pool's owner.
///
/// In a surge an owner may answer too late. If all processes stored these requests
/// in its inbox, their transactions would delay the owner's own, since the store
/// takes those of a pool one after another; with each request that the owner then
/// answers late, there would be more of them.
///
/// ```
/// use cornelpoint::inbox::OwnerContact;
///
/// let mut contact = OwnerContact::default();
/// assert!(!contact.is_slow(0));
/// contact.record_answer(5000);
/// assert!(contact.is_slow(6200));
/// assert!(!contact.is_slow(7000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerContact {
    answered_ms: Option<u64>,
}

impl OwnerContact {
    /// Records an answer of the owner, by a monotonic clock in milliseconds.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.answered_ms = Some(now_ms);
    }

    /// Whether a request without an answer shows that the owner is slow: it has
    /// answered others lately. The request is then left to it.
    #[must_use]
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.answered_ms
            .is_some_and(|answered_ms| now_ms < answered_ms + SLOW_OWNER_MS)
    }
}
