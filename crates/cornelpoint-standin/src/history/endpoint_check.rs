use std::collections::BTreeMap;

use cornelpoint::configuration::Generation;

use super::history_record::History;
use super::limits::Limits;
use super::observation::LeavingSign;
use super::violation::Violation;
use crate::endpoint::RunRecord;

/// Endpoints over their slots or connections.
pub(super) fn over_limits(history: &History, limits: Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for endpoint in &history.endpoints {
        if endpoint.peak_running > limits.running {
            violations.push(Violation::OverSlots {
                instance: endpoint.instance.clone(),
                peak: endpoint.peak_running,
            });
        }
        if endpoint.over_connections > 0 {
            violations.push(Violation::OverConnections {
                instance: endpoint.instance.clone(),
                refused: endpoint.over_connections,
            });
        }
    }
    violations
}

/// Runs that began at an endpoint some time after the sign that it leaves.
pub(super) fn work_while_leaving(history: &History, limits: Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sign in &history.leaving_signs {
        let late = |run: &&RunRecord| is_late(run, sign, limits);
        for run in history.runs.iter().filter(late) {
            violations.push(Violation::WorkWhileLeaving {
                instance: run.instance.clone(),
                run_number: run.run_number,
                after_ms: run.started_ms.saturating_sub(sign.from_ms),
            });
        }
    }
    violations
}

fn is_late(run: &RunRecord, sign: &LeavingSign, limits: Limits) -> bool {
    let allowed_ms = sign.from_ms + limits.leaving_ms + limits.clock_error_ms;
    run.instance == sign.instance
        && run.started_ms > allowed_ms
        && sign
            .until_ms
            .is_none_or(|until_ms| run.started_ms < until_ms)
}

/// Processes that went back to an earlier generation.
pub(super) fn generations_back(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, Generation> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in &history.generations {
        let before = newest.insert(&seen.process, seen.generation);
        if let Some(before) = before.filter(|before| *before > seen.generation) {
            violations.push(Violation::GenerationWentBack {
                process: seen.process.clone(),
                before,
                after: seen.generation,
            });
        }
    }
    violations
}
