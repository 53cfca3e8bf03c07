use std::collections::BTreeMap;

use super::endpoint_status::EndpointStatus;
use super::evidence::LatencyLimits;
use super::latency_estimate::Latencies;
use super::latency_estimate::LatencyEstimate;
use super::limits::POOL_SHARE;
use super::limits::REVIEW_MS;
use super::limits::US_PER_MS;
use super::outcome::Outcome;
use super::record::EndpointRecord;
use super::service_fault::ServiceFault;
use super::standing::Condition;
use super::verdict::Verdict;
use crate::configuration::Endpoint;
use crate::name::InstanceId;
use crate::platform::InstanceList;
use crate::platform::InstanceState;

/// Health of one pool's endpoints, judged by what became of requests.
///
/// An endpoint that fails, hangs or is much slower than its peers is ejected
/// for a pause that grows, and re-admitted by one trial request. At most half
/// of the pool is ejected, and none while more than half look bad. When more than half of it fails, the service is at
/// fault: nobody is ejected, and [`EndpointHealth::service_fault`] says so. A
/// refused connection or an endpoint's word that it is leaving takes
/// effect at once and counts towards no limit.
///
/// Memory is bounded: a fixed number of outcomes and running requests for
/// each endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    records: BTreeMap<InstanceId, EndpointRecord>,
    latency: LatencyEstimate,
    limits: LatencyLimits,
    service_fault: Option<ServiceFault>,
    next_review_ms: u64,
}

impl EndpointHealth {
    /// A pool without endpoints.
    ///
    /// ```
    /// use cornelpoint::ejection::EndpointHealth;
    /// use cornelpoint::ejection::Verdict;
    /// use cornelpoint::name::InstanceId;
    ///
    /// let health = EndpointHealth::new();
    /// let unknown = InstanceId::try_from("quoting-1").unwrap();
    /// assert_eq!(health.verdict(&unknown, 0), Verdict::Avoid);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the pool's endpoints; what is known of those that stay, stays.
    pub fn set_endpoints(&mut self, endpoints: &[Endpoint]) {
        let mut records = BTreeMap::new();
        for endpoint in endpoints {
            let record = self.records.remove(&endpoint.instance);
            records.insert(endpoint.instance.clone(), record.unwrap_or_default());
        }
        self.records = records;
    }

    /// Takes in the platform's list; it may be stale.
    pub fn apply_list(&mut self, list: &InstanceList) {
        for listed in &list.instances {
            self.observe(&listed.instance, listed.epoch, listed.state);
        }
    }

    /// Takes in one sign of an endpoint's state, from a list or a probe.
    ///
    /// A sign of an older epoch is ignored, and within an epoch `Live` never
    /// follows `Leaving`. A newer epoch ends `Leaving` and `Down`.
    pub fn observe(&mut self, instance: &InstanceId, epoch: u64, state: InstanceState) {
        if let Some(record) = self.records.get_mut(instance) {
            record.observe(epoch, state);
        }
    }

    /// Notes that a request goes to the endpoint.
    pub fn record_start(&mut self, instance: &InstanceId, now_ms: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.record_start(now_ms);
        }
        self.review(now_ms);
    }

    /// Notes that the trial request goes to the endpoint.
    ///
    /// Until it ends, the verdict is [`Verdict::Avoid`].
    pub fn start_trial(&mut self, instance: &InstanceId, now_ms: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.start_trial(now_ms);
            record.record_start(now_ms);
        }
    }

    /// Notes how a request ended that started at `started_ms`.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        outcome: Outcome,
        started_ms: u64,
        now_ms: u64,
    ) {
        if outcome == Outcome::Succeeded {
            let latency_ms = now_ms.saturating_sub(started_ms);
            self.latency.record(latency_ms * US_PER_MS);
        }
        if let Some(record) = self.records.get_mut(instance) {
            record.record(outcome, started_ms, &self.limits, now_ms);
            record.review(&self.limits, now_ms);
            if record.suspect {
                self.next_review_ms = 0;
            }
        }
        self.review(now_ms);
    }

    /// Judges all endpoints anew, if that is due.
    ///
    /// Every other command does so too; a pool without traffic needs none.
    pub fn review(&mut self, now_ms: u64) {
        if now_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = now_ms + REVIEW_MS;
        self.limits = LatencyLimits::new(self.latencies());
        for record in self.records.values_mut() {
            record.review(&self.limits, now_ms);
        }
        let was_at_fault = self.service_fault.is_some();
        self.service_fault = self.find_service_fault();
        match self.service_fault {
            Some(_) => self.release_all(),
            None if was_at_fault => self.forget_all(),
            None => self.eject_bad(now_ms),
        }
    }

    /// Whether the endpoint may have the next request.
    #[must_use]
    pub fn verdict(&self, instance: &InstanceId, now_ms: u64) -> Verdict {
        let record = self.records.get(instance);
        record.map_or(Verdict::Avoid, |r| r.standing.verdict(now_ms))
    }

    /// The finding that most endpoints fail alike, if they do.
    #[must_use]
    pub fn service_fault(&self) -> Option<ServiceFault> {
        self.service_fault
    }

    /// What is known of each endpoint, in the order of their names.
    #[must_use]
    pub fn statuses(&self, now_ms: u64) -> Vec<EndpointStatus> {
        let status = |(instance, record): (&InstanceId, &EndpointRecord)| EndpointStatus {
            instance: instance.clone(),
            epoch: record.epoch,
            condition: record.condition(),
            suspect: record.suspect,
            verdict: record.standing.verdict(now_ms),
            typical_us: record.latency.latencies().map(|l| l.typical_us),
        };
        self.records.iter().map(status).collect()
    }

    /// Medians over the endpoints' latencies; as long as most endpoints have
    /// none, the latencies of all their requests together.
    fn latencies(&self) -> Option<Latencies> {
        let records = self.records.values();
        let known: Vec<Latencies> = records.filter_map(|r| r.latency.latencies()).collect();
        if known.len() * 2 < self.records.len() {
            return self.latency.latencies();
        }
        let typical = known.iter().map(|l| l.typical_us).collect();
        let long = known.iter().map(|l| l.long_us).collect();
        Some(Latencies {
            typical_us: lower_median(typical)?,
            long_us: lower_median(long)?,
        })
    }

    fn find_service_fault(&self) -> Option<ServiceFault> {
        let reachable = || self.records.values().filter(|r| r.is_reachable());
        let endpoints = reachable().count();
        let failing = reachable().filter(|r| r.suspect).count();
        (failing * 2 > endpoints).then_some(ServiceFault { failing, endpoints })
    }

    fn release_all(&mut self) {
        for record in self.records.values_mut() {
            record.release();
        }
    }

    fn forget_all(&mut self) {
        for record in self.records.values_mut() {
            record.forget();
        }
    }

    fn eject_bad(&mut self, now_ms: u64) {
        let is_bad = |record: &&EndpointRecord| {
            let admitted = record.condition() == Condition::Admitted;
            admitted && record.suspect && record.is_bad(&self.limits, now_ms)
        };
        let bad: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| is_bad(record))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in bad {
            self.eject_within_limit(&instance, now_ms);
        }
    }

    fn eject_within_limit(&mut self, instance: &InstanceId, now_ms: u64) {
        if !self.has_room() || !self.is_exception(now_ms) {
            return;
        }
        if let Some(record) = self.records.get_mut(instance) {
            record.eject(now_ms);
        }
    }

    /// Whether at most half of the endpoints look bad; else the service is
    /// likely to be at fault, and the evidence is waited for.
    fn is_exception(&self, now_ms: u64) -> bool {
        let reachable = || self.records.values().filter(|r| r.is_reachable());
        let bad = reachable().filter(|r| r.looks_bad(&self.limits, now_ms));
        bad.count() * 2 <= reachable().count()
    }

    fn has_room(&self) -> bool {
        let reachable = self.records.values().filter(|r| r.is_reachable()).count();
        let ejected = |r: &&EndpointRecord| r.condition() == Condition::Ejected;
        let ejected = self.records.values().filter(ejected).count();
        ejected < reachable / POOL_SHARE
    }
}

fn lower_median(mut values: Vec<u64>) -> Option<u64> {
    values.sort_unstable();
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied()
}
