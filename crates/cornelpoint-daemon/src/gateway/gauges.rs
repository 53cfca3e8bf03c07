use std::sync::Arc;

use cornelpoint::dispatch::DispatcherDump;
use cornelpoint::ejection::Verdict;

use super::decision_handle::DecisionHandle;
use super::serving_state::ServingState;
use crate::caller_edge::CallerEdge;
use crate::metrics::Gauge;
use crate::metrics::Metrics;

/// Components whose state the gateway's gauges show.
#[derive(Debug)]
pub(super) struct GaugeSources {
    pub(super) serving_state: Arc<ServingState>,
    pub(super) decisions: DecisionHandle,
    pub(super) edge: Arc<CallerEdge>,
}

impl GaugeSources {
    /// Reports all gauges; those of the dispatcher only if the decision thread
    /// answers.
    pub(super) fn report(&self, metrics: &Metrics) {
        metrics.gauge(Gauge::CallerConnections, self.edge.connections() as u64);
        metrics.gauge(Gauge::Generation, self.serving_state.generation().0);
        if let Some(decisions) = self.decisions.dump() {
            report_decisions(&decisions.dispatcher, metrics);
        }
    }
}

fn report_decisions(dump: &DispatcherDump, metrics: &Metrics) {
    let lanes = || dump.lanes.iter();
    let waiting: usize = lanes().map(|lane| lane.waiting).sum();
    let waiting_bytes = lanes().map(|lane| lane.waiting_bytes).sum();
    let running = lanes().map(|lane| u64::from(lane.running)).sum();
    metrics.gauge(Gauge::EndpointsUsable, usable_endpoints(dump));
    metrics.gauge(Gauge::Running, running);
    metrics.gauge(Gauge::SlotsHeld, held_slots(dump));
    metrics.gauge(Gauge::Waiting, waiting as u64);
    metrics.gauge(Gauge::WaitingBytes, waiting_bytes);
}

fn usable_endpoints(dump: &DispatcherDump) -> u64 {
    let endpoints = dump.routes.iter().flat_map(|route| &route.endpoints);
    let usable = endpoints.filter(|endpoint| endpoint.verdict == Verdict::Take);
    usable.count() as u64
}

fn held_slots(dump: &DispatcherDump) -> u64 {
    let zones = dump.routes.iter().flat_map(|route| &route.zones);
    let endpoints = zones.flat_map(|zone| &zone.borrower.endpoints);
    endpoints.map(|endpoint| u64::from(endpoint.limit)).sum()
}
