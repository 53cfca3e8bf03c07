use rand_chacha::ChaCha8Rng;

use super::settings::ClaimSettings;
use crate::retry::Backoff;

const MS_PER_S: u64 = 1000;
/// The token bucket counts in thousandths of a token.
const MILLITOKENS_PER_TOKEN: u64 = 1000;

/// Limits the rate of transactions with a token bucket, and backs off after
/// failed calls.
#[derive(Clone, Debug)]
pub(super) struct RateLimiter {
    writes_per_s: u64,
    burst_tokens: u64,
    millitokens: u64,
    refilled_at_ms: u64,
    backoff: Backoff,
}

impl RateLimiter {
    pub(super) fn new(settings: &ClaimSettings, random: ChaCha8Rng) -> Self {
        Self {
            writes_per_s: settings.writes_per_s.max(1),
            burst_tokens: settings.write_burst.max(1),
            millitokens: settings.write_burst.max(1) * MILLITOKENS_PER_TOKEN,
            refilled_at_ms: 0,
            backoff: Backoff::new(settings.initial_backoff_ms, settings.max_backoff_ms, random),
        }
    }

    /// Returns whether a call may be made now, that is, whether no backoff is
    /// in progress.
    pub(super) fn may_call(&self, now_ms: u64) -> bool {
        self.backoff.has_ended(now_ms)
    }

    /// Returns the time from which a transaction may be sent.
    pub(super) fn next_write_ms(&self) -> u64 {
        let missing = MILLITOKENS_PER_TOKEN.saturating_sub(self.millitokens);
        let wait_ms = (missing * MS_PER_S).div_ceil(self.writes_per_s * MILLITOKENS_PER_TOKEN);
        self.backoff.resume_ms().max(self.refilled_at_ms + wait_ms)
    }

    /// Returns the time from which a read may be sent.
    pub(super) fn next_read_ms(&self) -> u64 {
        self.backoff.resume_ms()
    }

    /// Takes a token for one transaction, if there is one and no backoff is in
    /// progress.
    pub(super) fn take_write(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        let may_write = self.may_call(now_ms) && self.millitokens >= MILLITOKENS_PER_TOKEN;
        if may_write {
            self.millitokens -= MILLITOKENS_PER_TOKEN;
        }
        may_write
    }

    /// Records that the store answered, which ends the backoff.
    pub(super) fn record_answer(&mut self) {
        self.backoff.record_answer();
    }

    /// Records that a call failed, and backs off.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.backoff.record_failure(now_ms);
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let added = elapsed_ms.saturating_mul(self.writes_per_s * MILLITOKENS_PER_TOKEN / MS_PER_S);
        self.millitokens = self
            .millitokens
            .saturating_add(added)
            .min(self.burst_tokens * MILLITOKENS_PER_TOKEN);
        self.refilled_at_ms = now_ms;
    }
}
