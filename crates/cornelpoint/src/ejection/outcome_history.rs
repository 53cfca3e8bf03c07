use std::collections::VecDeque;

use super::latency_estimate::Latencies;
use super::limits::CONSECUTIVE_FAILURES;
use super::limits::CONSECUTIVE_FAILURES_ON_PROBATION;
use super::limits::CONSECUTIVE_GOOD;
use super::limits::EJECTION_FAILED_PERCENT;
use super::limits::EJECTION_SLOW_PERCENT;
use super::limits::HANG_FACTOR;
use super::limits::HANG_LONG_LATENCY_PERCENT;
use super::limits::HANG_MIN_MS;
use super::limits::HUNDRED_PERCENT;
use super::limits::MAX_TRACKED_IN_FLIGHT;
use super::limits::MIN_OUTCOMES_FOR_SHARE;
use super::limits::OUTCOME_WINDOW;
use super::limits::SLOW_FACTOR;
use super::limits::SLOW_MARGIN_US;
use super::limits::US_PER_MS;

/// Class of one outcome, as evidence about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutcomeClass {
    /// A complete answer that is not slow.
    Good,
    /// A complete answer, much later than is typical of the pool.
    Slow,
    /// No complete answer, or a server error.
    Failed,
}

/// Latencies above which a request counts as slow or as hanging.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyLimits {
    pool: Option<Latencies>,
}

impl LatencyLimits {
    /// Derives the limits from the latencies of a pool; without latencies, no
    /// request counts as slow or as hanging.
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
            let by_long_latency_us =
                pool.long_us * HANG_LONG_LATENCY_PERCENT / HUNDRED_PERCENT as u64;
            let limit_ms = by_factor_us.max(by_long_latency_us) / US_PER_MS;
            latency_ms > limit_ms.max(HANG_MIN_MS)
        })
    }
}

/// Latest outcomes of one endpoint, and its requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct OutcomeHistory {
    outcomes: VecDeque<OutcomeClass>,
    in_flight_ms: VecDeque<u64>,
    last_good_ms: Option<u64>,
    on_probation: bool,
}

impl OutcomeHistory {
    pub(super) fn record_start(&mut self, now_ms: u64) {
        if self.in_flight_ms.len() == MAX_TRACKED_IN_FLIGHT {
            self.in_flight_ms.pop_front();
        }
        self.in_flight_ms.push_back(now_ms);
    }

    pub(super) fn record_end(&mut self, started_ms: u64) {
        let index = self.in_flight_ms.iter().position(|s| *s == started_ms);
        if let Some(index) = index {
            self.in_flight_ms.remove(index);
        }
    }

    pub(super) fn record_outcome(&mut self, class: OutcomeClass, now_ms: u64) {
        if self.outcomes.len() == OUTCOME_WINDOW {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(class);
        if class == OutcomeClass::Good {
            self.last_good_ms = Some(now_ms);
        }
        if self.has_recovered() {
            self.on_probation = false;
        }
    }

    /// Clears the outcomes; requests in flight stay.
    pub(super) fn clear_outcomes(&mut self) {
        self.outcomes.clear();
    }

    /// Clears everything after a good trial. Fewer failures than usual then
    /// eject the endpoint again.
    pub(super) fn start_probation(&mut self, now_ms: u64) {
        self.outcomes.clear();
        self.in_flight_ms.clear();
        self.last_good_ms = Some(now_ms);
        self.on_probation = true;
    }

    /// Returns whether the latest `CONSECUTIVE_GOOD` outcomes are all good.
    pub(super) fn has_recovered(&self) -> bool {
        let latest = self.outcomes.iter().rev().take(CONSECUTIVE_GOOD);
        self.outcomes.len() >= CONSECUTIVE_GOOD
            && latest.into_iter().all(|c| *c == OutcomeClass::Good)
    }

    /// Returns whether the endpoint fails, hangs or is slow.
    pub(super) fn is_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.fails() || self.hangs(limits, now_ms) || self.is_slow(limits, now_ms)
    }

    /// Returns whether the latest outcome is bad, or a request has run for half
    /// of the time after which it counts as hanging and none has ended well
    /// since it started.
    pub(super) fn looks_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let is_latest_bad = self
            .outcomes
            .back()
            .is_some_and(|class| *class != OutcomeClass::Good);
        let age_ms = self.age_without_good_ms(now_ms);
        is_latest_bad || age_ms.is_some_and(|age_ms| limits.is_hanging(age_ms * 2))
    }

    /// Returns the age of the oldest request in flight, if no request has ended
    /// well since it started.
    fn age_without_good_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest_ms = *self.in_flight_ms.iter().min()?;
        let good_since = self.last_good_ms.is_some_and(|good| good > oldest_ms);
        (!good_since).then(|| now_ms.saturating_sub(oldest_ms))
    }

    fn fails(&self) -> bool {
        let needed = if self.on_probation {
            CONSECUTIVE_FAILURES_ON_PROBATION
        } else {
            CONSECUTIVE_FAILURES
        };
        let latest = self.outcomes.iter().rev();
        let in_a_row = latest.take_while(|c| **c == OutcomeClass::Failed).count();
        let failed = self.count(OutcomeClass::Failed, OUTCOME_WINDOW);
        let total = self.outcomes.len();
        let is_failing_share = failed * HUNDRED_PERCENT >= total * EJECTION_FAILED_PERCENT;
        in_a_row >= needed || (total >= MIN_OUTCOMES_FOR_SHARE && is_failing_share)
    }

    fn hangs(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let age_ms = self.age_without_good_ms(now_ms);
        age_ms.is_some_and(|age_ms| limits.is_hanging(age_ms))
    }

    /// Returns whether too many of the latest requests are slow. Requests in
    /// flight that are already slow count as the latest of all.
    fn is_slow(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        let is_slow = |started: &&u64| limits.is_slow(now_ms.saturating_sub(**started));
        let running = self.in_flight_ms.iter().filter(is_slow).count();
        let latest = OUTCOME_WINDOW.saturating_sub(running);
        let total = self.outcomes.len().min(latest) + running;
        let slow = self.count(OutcomeClass::Slow, latest) + running;
        total >= MIN_OUTCOMES_FOR_SHARE && slow * HUNDRED_PERCENT >= total * EJECTION_SLOW_PERCENT
    }

    /// Returns the number of outcomes of one class among the latest.
    fn count(&self, class: OutcomeClass, latest: usize) -> usize {
        let latest = self.outcomes.iter().rev().take(latest);
        latest.filter(|c| **c == class).count()
    }
}
