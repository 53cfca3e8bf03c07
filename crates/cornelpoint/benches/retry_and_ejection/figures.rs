use std::collections::BTreeMap;

use super::fault::FAULT_END_MS;
use super::fault::FAULT_START_MS;
use super::fault::Fault;

/// A whole answer later than this hurts, in milliseconds.
const HURT_MS: u64 = 1000;
/// Requests that came so long before the fault count, as they may run in it.
const BEFORE_MS: u64 = 800;

/// What one replay shows of the time of the fault.
#[derive(Debug, Default)]
pub struct Figures {
    arrivals: BTreeMap<u64, u64>,
    sends: BTreeMap<u64, u64>,
    good: u64,
    hurt: u64,
    ended: u64,
    latencies_ms: Vec<u64>,
    avoided_ms: BTreeMap<usize, Option<u64>>,
    avoiding: BTreeMap<usize, usize>,
    wrong_ejections: u64,
    ejections_of_struck: u64,
}

impl Figures {
    pub fn arrive(&mut self, now_ms: u64) {
        *self.arrivals.entry(now_ms / 1000).or_default() += 1;
    }

    pub fn send(&mut self, now_ms: u64) {
        *self.sends.entry(now_ms / 1000).or_default() += 1;
    }

    pub fn finish(&mut self, arrived_ms: u64, now_ms: u64, is_good: bool) {
        let counted_ms = FAULT_START_MS - BEFORE_MS..FAULT_END_MS;
        if !counted_ms.contains(&arrived_ms) {
            return;
        }
        let latency_ms = now_ms - arrived_ms;
        self.ended += 1;
        self.good += u64::from(is_good);
        self.hurt += u64::from(!is_good || latency_ms > HURT_MS);
        if is_good {
            self.latencies_ms.push(latency_ms);
        }
    }

    pub fn observe(
        &mut self,
        endpoint: usize,
        is_struck: bool,
        avoiding: usize,
        is_avoided: bool,
        now_ms: u64,
    ) {
        let before = self.avoiding.insert(endpoint, avoiding).unwrap_or_default();
        if !Fault::is_on(now_ms) {
            return;
        }
        let ejections = avoiding.saturating_sub(before) as u64;
        if !is_struck {
            self.wrong_ejections += ejections;
            return;
        }
        self.ejections_of_struck += ejections;
        if is_avoided {
            let first = self.avoided_ms.entry(endpoint).or_default();
            first.get_or_insert(now_ms - FAULT_START_MS);
        } else {
            self.avoided_ms.entry(endpoint).or_default();
        }
    }

    /// Sends that reached endpoints for each request that came.
    pub fn load_factor(&self) -> f64 {
        let seconds = || FAULT_START_MS / 1000..FAULT_END_MS / 1000;
        let sum = |counts: &BTreeMap<u64, u64>| -> u64 {
            seconds()
                .map(|s| counts.get(&s).copied().unwrap_or(0))
                .sum()
        };
        ratio(sum(&self.sends), sum(&self.arrivals))
    }

    /// The same, in the worst second.
    pub fn worst_load_factor(&self) -> f64 {
        let seconds = FAULT_START_MS / 1000..FAULT_END_MS / 1000;
        let count = |counts: &BTreeMap<u64, u64>, s| counts.get(&s).copied().unwrap_or(0);
        let factors = seconds.map(|s| ratio(count(&self.sends, s), count(&self.arrivals, s)));
        factors.fold(0.0, f64::max)
    }

    pub fn good_percent(&self) -> f64 {
        100.0 * ratio(self.good, self.ended)
    }

    pub fn hurt_percent(&self) -> f64 {
        100.0 * ratio(self.hurt, self.ended)
    }

    pub fn p99_ms(&self) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let place = (sorted.len() * 99 / 100).min(sorted.len().saturating_sub(1));
        sorted.get(place).copied().unwrap_or(0)
    }

    /// Time until three of four gateways avoid every struck endpoint.
    pub fn avoided_ms(&self) -> Option<u64> {
        let times: Option<Vec<u64>> = self.avoided_ms.values().copied().collect();
        times?.into_iter().max()
    }

    pub fn ejections_of_struck(&self) -> u64 {
        self.ejections_of_struck
    }

    pub fn wrong_ejections(&self) -> u64 {
        self.wrong_ejections
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
