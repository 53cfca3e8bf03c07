/// Duration of failures after which the store counts as unavailable.
const UNAVAILABLE_AFTER_MS: u64 = 500;

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallResult {
    /// The store carried the call out, or rejected it for one of its
    /// conditions.
    Answered,
    /// The store is up, but rejected the call because of its rate.
    Throttled,
    /// The store could not serve the call or gave no response.
    Failed,
}

/// Whether the store is available to this process, and since when.
///
/// A failure of single calls is not an outage: an outage lasts for some time
/// without any response. A throttled call fails, but shows that the store is up.
///
/// ```
/// use cornelpoint::ownership::StoreAvailability;
/// use cornelpoint::ownership::StoreCallResult;
///
/// let mut store = StoreAvailability::default();
/// store.record(StoreCallResult::Failed, 1000, 1000);
/// assert!(store.is_available(1400) && !store.is_available(1500));
/// store.record(StoreCallResult::Answered, 1600, 1600);
/// assert_eq!(store.available_since_ms(), 1600);
/// ```
#[expect(
    clippy::struct_field_names,
    reason = "all fields are times in milliseconds"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAvailability {
    /// First failure since the last call that succeeded.
    first_failure_ms: Option<u64>,
    responded_ms: u64,
    /// When the first call was sent that failed since the store last responded.
    unanswered_since_ms: Option<u64>,
    outage_end_ms: u64,
}

impl StoreAvailability {
    /// Records the result of a call that was sent at `sent_ms`. Returns for how
    /// long calls had failed, in milliseconds, if this one is the first that
    /// succeeds again.
    pub fn record(&mut self, result: StoreCallResult, sent_ms: u64, now_ms: u64) -> Option<u64> {
        match result {
            StoreCallResult::Answered => {
                self.end_outage(now_ms);
                let since_ms = self.first_failure_ms.take()?;
                Some(now_ms.saturating_sub(since_ms))
            }
            StoreCallResult::Throttled => {
                self.end_outage(now_ms);
                self.first_failure_ms.get_or_insert(now_ms);
                None
            }
            StoreCallResult::Failed => {
                self.first_failure_ms.get_or_insert(now_ms);
                // The call may have failed only at its timeout.
                let since_ms = sent_ms.max(self.responded_ms);
                self.unanswered_since_ms.get_or_insert(since_ms);
                None
            }
        }
    }

    fn end_outage(&mut self, now_ms: u64) {
        self.responded_ms = now_ms;
        if let Some(since_ms) = self.unanswered_since_ms.take()
            && now_ms >= since_ms + UNAVAILABLE_AFTER_MS
        {
            self.outage_end_ms = now_ms;
        }
    }

    /// Whether a call has failed since the last one that succeeded.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.first_failure_ms.is_some()
    }

    /// Whether calls can be expected to succeed. They may fail for a moment
    /// before the store counts as unavailable.
    #[must_use]
    pub fn is_available(&self, now_ms: u64) -> bool {
        self.first_failure_ms
            .is_none_or(|since_ms| since_ms + UNAVAILABLE_AFTER_MS > now_ms)
    }

    /// Returns the end of the last outage, by the monotonic clock: 0 if there
    /// was none, `u64::MAX` if one may have begun.
    #[must_use]
    pub fn available_since_ms(&self) -> u64 {
        match self.unanswered_since_ms {
            Some(_) => u64::MAX,
            None => self.outage_end_ms,
        }
    }
}
