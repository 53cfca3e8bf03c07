use super::command::Command;
use super::state_handle::StateHandle;
use crate::metrics::Gauge;
use crate::metrics::Metrics;

/// Reports a keeper's gauges; those that the state loop does not supply in time
/// are left out.
pub(super) fn report(state_handle: &StateHandle, metrics: &Metrics) {
    if let Some(members) = state_handle.request(Command::Members) {
        metrics.gauge(Gauge::Members, members.len() as u64);
    }
    if let Some(generation) = state_handle.request(Command::Generation) {
        metrics.gauge(Gauge::Generation, generation.0);
    }
}
