use super::command::Command;
use super::core_handle::CoreHandle;
use crate::metrics::Gauge;
use crate::metrics::Metrics;

/// Tells a keeper's levels, while the thread that owns the state answers.
pub(super) fn report(core: &CoreHandle, metrics: &Metrics) {
    if let Some(members) = core.ask(Command::Members) {
        metrics.gauge(Gauge::Members, members.len() as u64);
    }
    if let Some(generation) = core.ask(Command::Generation) {
        metrics.gauge(Gauge::Generation, generation.0);
    }
}
