use std::collections::VecDeque;

use super::latency_estimate::Latencies;
use super::limits::FAILED_PERCENT;
use super::limits::FAILURES_IN_A_ROW;
use super::limits::FAILURES_ON_PROBATION;
use super::limits::GOOD_IN_A_ROW;
use super::limits::HANG_FACTOR;
use super::limits::HANG_LONG_PERCENT;
use super::limits::HANG_MIN_MS;
use super::limits::HUNDRED_PERCENT;
use super::limits::REMEMBERED_IN_FLIGHT;
use super::limits::REMEMBERED_OUTCOMES;
use super::limits::SHARE_OUTCOMES;
use super::limits::SLOW_FACTOR;
use super::limits::SLOW_MARGIN_US;
use super::limits::SLOW_PERCENT;
use super::limits::US_PER_MS;

/// What one outcome says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mark {
    /// A whole answer in good time.
    Good,
    /// A whole answer, much later than is typical of the pool.
    Slow,
    /// No whole answer.
    Failed,
}

/// Latencies beyond which a request counts as slow or as hanging.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyLimits {
    pool: Option<Latencies>,
}

impl LatencyLimits {
    /// Limits for a pool with these latencies.
    pub(super) fn new(pool: Option<Latencies>) -> Self {
        Self { pool }
    }

    pub(super) fn is_slow(&self, latency_ms: u64) -> bool {
        self.pool.is_some_and(|pool| {
            let by_factor_us = pool.typical_us * SLOW_FACTOR;
            let limit_us = by_factor_us.max(pool.typical_us + SLOW_MARGIN_US);
            latency_ms * US_PER_MS > limit_us
        })
    }

    pub(super) fn is_hanging(&self, latency_ms: u64) -> bool {
        self.pool.is_some_and(|pool| {
            let by_factor_us = pool.typical_us * HANG_FACTOR;
            let by_long_us = pool.long_us * HANG_LONG_PERCENT / HUNDRED_PERCENT as u64;
            let limit_ms = by_factor_us.max(by_long_us) / US_PER_MS;
            latency_ms > limit_ms.max(HANG_MIN_MS)
        })
    }
}

/// Latest outcomes and running requests of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    marks: VecDeque<Mark>,
    in_flight_ms: VecDeque<u64>,
    last_good_ms: Option<u64>,
    on_probation: bool,
}

impl Evidence {
    pub(super) fn record_start(&mut self, now_ms: u64) {
        if self.in_flight_ms.len() == REMEMBERED_IN_FLIGHT {
            self.in_flight_ms.pop_front();
        }
        self.in_flight_ms.push_back(now_ms);
    }

    pub(super) fn record_end(&mut self, started_ms: u64) {
        let place = self.in_flight_ms.iter().position(|s| *s == started_ms);
        if let Some(place) = place {
            self.in_flight_ms.remove(place);
        }
    }

    pub(super) fn record_mark(&mut self, mark: Mark, now_ms: u64) {
        if self.marks.len() == REMEMBERED_OUTCOMES {
            self.marks.pop_front();
        }
        self.marks.push_back(mark);
        if mark == Mark::Good {
            self.last_good_ms = Some(now_ms);
        }
        if self.has_recovered() {
            self.on_probation = false;
        }
    }

    /// Forgets the outcomes.
    pub(super) fn forget(&mut self) {
        self.marks.clear();
    }

    /// Forgets all, after a good trial; the next failure weighs more.
    pub(super) fn start_probation(&mut self, now_ms: u64) {
        self.marks.clear();
        self.in_flight_ms.clear();
        self.last_good_ms = Some(now_ms);
        self.on_probation = true;
    }

    /// Whether the latest outcomes are all good.
    pub(super) fn has_recovered(&self) -> bool {
        let latest = self.marks.iter().rev().take(GOOD_IN_A_ROW);
        self.marks.len() >= GOOD_IN_A_ROW && latest.into_iter().all(|m| *m == Mark::Good)
    }

    /// Whether the endpoint fails, hangs or is slow.
    pub(super) fn is_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.fails() || self.hangs(limits, now_ms) || self.is_slow(limits, now_ms)
    }

    /// Whether the latest outcome is bad, or a request has run for half of the
    /// time after which it hangs and none has ended well since it started.
    pub(super) fn looks_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let is_latest_bad = self.marks.back().is_some_and(|mark| *mark != Mark::Good);
        let age_ms = self.age_without_good_ms(now_ms);
        is_latest_bad || age_ms.is_some_and(|age_ms| limits.is_hanging(age_ms * 2))
    }

    /// Age of the oldest running request, if none has ended well since it
    /// started.
    fn age_without_good_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest_ms = *self.in_flight_ms.iter().min()?;
        let good_since = self.last_good_ms.is_some_and(|good| good > oldest_ms);
        (!good_since).then(|| now_ms.saturating_sub(oldest_ms))
    }

    fn fails(&self) -> bool {
        let needed = if self.on_probation {
            FAILURES_ON_PROBATION
        } else {
            FAILURES_IN_A_ROW
        };
        let latest = self.marks.iter().rev();
        let in_a_row = latest.take_while(|m| **m == Mark::Failed).count();
        let failed = self.count(Mark::Failed, REMEMBERED_OUTCOMES);
        let total = self.marks.len();
        let is_share = failed * HUNDRED_PERCENT >= total * FAILED_PERCENT;
        in_a_row >= needed || (total >= SHARE_OUTCOMES && is_share)
    }

    fn hangs(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let age_ms = self.age_without_good_ms(now_ms);
        age_ms.is_some_and(|age_ms| limits.is_hanging(age_ms))
    }

    /// Judges the latest requests, those that run too long being the latest
    /// of all.
    fn is_slow(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let is_slow = |started: &&u64| limits.is_slow(now_ms.saturating_sub(**started));
        let running = self.in_flight_ms.iter().filter(is_slow).count();
        let latest = REMEMBERED_OUTCOMES.saturating_sub(running);
        let total = self.marks.len().min(latest) + running;
        let slow = self.count(Mark::Slow, latest) + running;
        total >= SHARE_OUTCOMES && slow * HUNDRED_PERCENT >= total * SLOW_PERCENT
    }

    /// Marks of one kind among the latest.
    fn count(&self, mark: Mark, latest: usize) -> usize {
        let latest = self.marks.iter().rev().take(latest);
        latest.filter(|m| **m == mark).count()
    }
}
