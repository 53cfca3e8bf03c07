use std::collections::BTreeMap;

use super::admission_state::Condition;
use super::endpoint_status::EndpointStatus;
use super::latency_estimate::Latencies;
use super::latency_estimate::LatencyEstimate;
use super::limits::MAX_EJECTED_DIVISOR;
use super::limits::REVIEW_INTERVAL_MS;
use super::limits::US_PER_MS;
use super::outcome::Outcome;
use super::outcome_history::LatencyLimits;
use super::record::EndpointRecord;
use super::service_fault::ServiceFault;
use super::verdict::Verdict;
use crate::configuration::Endpoint;
use crate::name::InstanceId;
use crate::platform::InstanceList;
use crate::platform::InstanceState;

/// Health of the endpoints of one pool, derived from the outcomes of requests.
///
/// An endpoint that fails, hangs or is much slower than its peers is ejected
/// for a pause that grows, and re-admitted by one trial request. At most half
/// of the pool is ejected, and no endpoint while more than half look bad. When
/// more than half of the pool fails, the service is considered at fault: no
/// endpoint is ejected, and [`EndpointHealth::service_fault`] reports it. A
/// refused connection, or an endpoint's announcement that it is leaving, takes
/// effect at once and does not count towards these limits.
///
/// Memory is bounded: each endpoint has a fixed number of outcomes and of
/// requests in flight.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    records: BTreeMap<InstanceId, EndpointRecord>,
    latency: LatencyEstimate,
    limits: LatencyLimits,
    service_fault: Option<ServiceFault>,
    next_review_ms: u64,
}

impl EndpointHealth {
    /// Creates the health of a pool without endpoints.
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

    /// Replaces the endpoints of the pool. Endpoints that remain keep their
    /// record.
    pub fn set_endpoints(&mut self, endpoints: &[Endpoint]) {
        let mut records = BTreeMap::new();
        for endpoint in endpoints {
            let record = self.records.remove(&endpoint.instance);
            records.insert(endpoint.instance.clone(), record.unwrap_or_default());
        }
        self.records = records;
    }

    /// Applies the instance list of the platform, which may be stale.
    pub fn apply_list(&mut self, list: &InstanceList) {
        for listed in &list.instances {
            self.observe(&listed.instance, listed.epoch, listed.state);
        }
    }

    /// Applies one observed state of an endpoint, from a list or a probe.
    ///
    /// A state of an older epoch is ignored, and within an epoch `Live` never
    /// follows `Leaving`. A newer epoch ends `Leaving` and `Down`.
    pub fn observe(&mut self, instance: &InstanceId, epoch: u64, state: InstanceState) {
        if let Some(record) = self.records.get_mut(instance) {
            record.observe(epoch, state);
        }
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_start(&mut self, instance: &InstanceId, now_ms: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.record_start(now_ms);
        }
        self.review(now_ms);
    }

    /// Records that the trial request is sent to the endpoint.
    ///
    /// Until the trial ends, the verdict is [`Verdict::Avoid`].
    pub fn start_trial(&mut self, instance: &InstanceId, now_ms: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.start_trial(now_ms);
            record.record_start(now_ms);
        }
    }

    /// Records the outcome of a request that started at `started_ms`.
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

    /// Re-evaluates all endpoints, if a review is due.
    ///
    /// `record_start` and `record` call it too; a pool without traffic needs no
    /// review.
    pub fn review(&mut self, now_ms: u64) {
        if now_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        self.limits = LatencyLimits::new(self.latencies());
        for record in self.records.values_mut() {
            record.review(&self.limits, now_ms);
        }
        let was_at_fault = self.service_fault.is_some();
        self.service_fault = self.find_service_fault();
        match self.service_fault {
            Some(_) => self.readmit_all(),
            None if was_at_fault => self.clear_all_outcomes(),
            None => self.eject_bad(now_ms),
        }
    }

    /// Returns whether the endpoint may be sent the next request.
    #[must_use]
    pub fn verdict(&self, instance: &InstanceId, now_ms: u64) -> Verdict {
        let record = self.records.get(instance);
        record.map_or(Verdict::Avoid, |r| r.admission.verdict(now_ms))
    }

    /// Returns the service fault while more than half of the endpoints fail.
    #[must_use]
    pub fn service_fault(&self) -> Option<ServiceFault> {
        self.service_fault
    }

    /// Returns the status of each endpoint, ordered by name.
    #[must_use]
    pub fn statuses(&self, now_ms: u64) -> Vec<EndpointStatus> {
        let status = |(instance, record): (&InstanceId, &EndpointRecord)| EndpointStatus {
            instance: instance.clone(),
            epoch: record.epoch,
            condition: record.condition(),
            suspect: record.suspect,
            verdict: record.admission.verdict(now_ms),
            typical_us: record.latency.latencies().map(|l| l.typical_us),
        };
        self.records.iter().map(status).collect()
    }

    /// Returns the medians over the latencies of the endpoints. While most
    /// endpoints have none, the latencies of all requests to the pool together.
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

    fn readmit_all(&mut self) {
        for record in self.records.values_mut() {
            record.readmit();
        }
    }

    fn clear_all_outcomes(&mut self) {
        for record in self.records.values_mut() {
            record.clear_outcomes();
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
            self.eject_if_allowed(&instance, now_ms);
        }
    }

    fn eject_if_allowed(&mut self, instance: &InstanceId, now_ms: u64) {
        if !self.below_ejection_limit() || !self.is_minority_bad(now_ms) {
            return;
        }
        if let Some(record) = self.records.get_mut(instance) {
            record.eject(now_ms);
        }
    }

    /// Returns whether at most half of the endpoints look bad. Otherwise the
    /// service is likely to be at fault, and ejection waits for more outcomes.
    fn is_minority_bad(&self, now_ms: u64) -> bool {
        let reachable = || self.records.values().filter(|r| r.is_reachable());
        let bad = reachable().filter(|r| r.looks_bad(&self.limits, now_ms));
        bad.count() * 2 <= reachable().count()
    }

    fn below_ejection_limit(&self) -> bool {
        let reachable = self.records.values().filter(|r| r.is_reachable()).count();
        let ejected = |r: &&EndpointRecord| r.condition() == Condition::Ejected;
        let ejected = self.records.values().filter(ejected).count();
        ejected < reachable / MAX_EJECTED_DIVISOR
    }
}

fn lower_median(mut values: Vec<u64>) -> Option<u64> {
    values.sort_unstable();
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied()
}
