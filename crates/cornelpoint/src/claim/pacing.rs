use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::settings::ClaimSettings;

const MS_PER_S: u64 = 1000;
/// Tokens are counted in thousandths.
const TOKEN: u64 = 1000;

/// Bounds the transactions a second, and pauses after lost calls.
#[derive(Clone, Debug)]
pub(super) struct Pacing {
    writes_per_s: u64,
    burst: u64,
    first_backoff_ms: u64,
    longest_backoff_ms: u64,
    tokens: u64,
    filled_ms: u64,
    losses: u32,
    resume_ms: u64,
    random: ChaCha8Rng,
}

impl Pacing {
    pub(super) fn new(settings: &ClaimSettings, random: ChaCha8Rng) -> Self {
        Self {
            writes_per_s: settings.writes_per_s.max(1),
            burst: settings.write_burst.max(1),
            first_backoff_ms: settings.first_backoff_ms,
            longest_backoff_ms: settings.longest_backoff_ms,
            tokens: settings.write_burst.max(1) * TOKEN,
            filled_ms: 0,
            losses: 0,
            resume_ms: 0,
            random,
        }
    }

    /// Whether a call may go out now, by the pauses after lost ones.
    pub(super) fn may_call(&self, now_ms: u64) -> bool {
        now_ms >= self.resume_ms
    }

    /// Time from which a transaction may go out.
    pub(super) fn next_write_ms(&self) -> u64 {
        let missing = TOKEN.saturating_sub(self.tokens);
        let wait_ms = (missing * MS_PER_S).div_ceil(self.writes_per_s * TOKEN);
        self.resume_ms.max(self.filled_ms + wait_ms)
    }

    /// Time from which a read may go out.
    pub(super) fn next_read_ms(&self) -> u64 {
        self.resume_ms
    }

    /// Takes the right to one transaction, if there is one.
    pub(super) fn take_write(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        let may_write = self.may_call(now_ms) && self.tokens >= TOKEN;
        if may_write {
            self.tokens -= TOKEN;
        }
        may_write
    }

    /// Notes that the store answered.
    pub(super) fn record_answer(&mut self) {
        self.losses = 0;
        self.resume_ms = 0;
    }

    /// Notes that a call was lost: pauses for a time drawn from a range that
    /// doubles.
    pub(super) fn record_loss(&mut self, now_ms: u64) {
        let doubled_ms = self.first_backoff_ms << self.losses.min(16);
        let range_ms = doubled_ms.min(self.longest_backoff_ms).max(1);
        let drawn_ms = range_ms / 2 + self.random.next_u64() % (range_ms / 2 + 1);
        self.losses += 1;
        self.resume_ms = self.resume_ms.max(now_ms + drawn_ms);
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let added = elapsed_ms.saturating_mul(self.writes_per_s * TOKEN / MS_PER_S);
        self.tokens = self.tokens.saturating_add(added).min(self.burst * TOKEN);
        self.filled_ms = now_ms;
    }
}
