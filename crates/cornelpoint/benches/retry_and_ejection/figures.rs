use std::collections::BTreeMap;

use super::fault::FAULT_END_MS;
use super::fault::FAULT_START_MS;
use super::fault::Fault;

/// Latency above which a complete answer counts as late, in milliseconds.
const LATE_ANSWER_MS: u64 = 1000;
/// Time before the fault from which on requests are counted, in milliseconds,
/// as they may still run when it starts.
const LEAD_TIME_MS: u64 = 800;

/// Figures of one replay for the time of the fault.
#[derive(Debug, Default)]
pub struct Figures {
    arrivals: BTreeMap<u64, u64>,
    sends: BTreeMap<u64, u64>,
    good: u64,
    failed_or_late: u64,
    finished: u64,
    latencies_ms: Vec<u64>,
    avoided_ms: BTreeMap<usize, Option<u64>>,
    avoiding: BTreeMap<usize, usize>,
    wrong_ejections: u64,
    ejections_of_affected: u64,
}

impl Figures {
    pub fn arrive(&mut self, now_ms: u64) {
        *self.arrivals.entry(now_ms / 1000).or_default() += 1;
    }

    pub fn send(&mut self, now_ms: u64) {
        *self.sends.entry(now_ms / 1000).or_default() += 1;
    }

    pub fn finish(&mut self, arrived_ms: u64, now_ms: u64, is_good: bool) {
        let counted_ms = FAULT_START_MS - LEAD_TIME_MS..FAULT_END_MS;
        if !counted_ms.contains(&arrived_ms) {
            return;
        }
        let latency_ms = now_ms - arrived_ms;
        self.finished += 1;
        self.good += u64::from(is_good);
        self.failed_or_late += u64::from(!is_good || latency_ms > LATE_ANSWER_MS);
        if is_good {
            self.latencies_ms.push(latency_ms);
        }
    }

    pub fn observe(
        &mut self,
        endpoint: usize,
        is_affected: bool,
        avoiding: usize,
        is_avoided: bool,
        now_ms: u64,
    ) {
        let before = self.avoiding.insert(endpoint, avoiding).unwrap_or_default();
        if !Fault::is_active(now_ms) {
            return;
        }
        let ejections = avoiding.saturating_sub(before) as u64;
        if !is_affected {
            self.wrong_ejections += ejections;
            return;
        }
        self.ejections_of_affected += ejections;
        if is_avoided {
            let first = self.avoided_ms.entry(endpoint).or_default();
            first.get_or_insert(now_ms - FAULT_START_MS);
        } else {
            self.avoided_ms.entry(endpoint).or_default();
        }
    }

    /// Sends that may have reached an endpoint, per request that arrived.
    pub fn load_factor(&self) -> f64 {
        let seconds = || FAULT_START_MS / 1000..FAULT_END_MS / 1000;
        let sum = |counts: &BTreeMap<u64, u64>| -> u64 {
            seconds()
                .map(|s| counts.get(&s).copied().unwrap_or(0))
                .sum()
        };
        ratio(sum(&self.sends), sum(&self.arrivals))
    }

    /// Load factor in the worst second.
    pub fn worst_load_factor(&self) -> f64 {
        let seconds = FAULT_START_MS / 1000..FAULT_END_MS / 1000;
        let count = |counts: &BTreeMap<u64, u64>, s| counts.get(&s).copied().unwrap_or(0);
        let factors = seconds.map(|s| ratio(count(&self.sends, s), count(&self.arrivals, s)));
        factors.fold(0.0, f64::max)
    }

    pub fn good_percent(&self) -> f64 {
        100.0 * ratio(self.good, self.finished)
    }

    pub fn failed_or_late_percent(&self) -> f64 {
        100.0 * ratio(self.failed_or_late, self.finished)
    }

    pub fn p99_ms(&self) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * 99 / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0)
    }

    /// Time until three quarters of the views avoid every affected endpoint.
    pub fn avoided_ms(&self) -> Option<u64> {
        let times: Option<Vec<u64>> = self.avoided_ms.values().copied().collect();
        times?.into_iter().max()
    }

    pub fn ejections_of_affected(&self) -> u64 {
        self.ejections_of_affected
    }

    pub fn wrong_ejections(&self) -> u64 {
        self.wrong_ejections
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
