use std::collections::BTreeMap;

use cornelpoint::configuration::Generation;

use super::history_record::History;
use super::limits::Limits;
use super::observation::LeavingNotice;
use super::violation::Violation;
use crate::endpoint::RunRecord;

/// Reports endpoints that went over their slots or connections.
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

/// Reports runs that started too long after their endpoint's leaving notice.
pub(super) fn work_while_leaving(history: &History, limits: Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for notice in &history.leaving_notices {
        let late = |run: &&RunRecord| is_late(run, notice, limits);
        for run in history.runs.iter().filter(late) {
            violations.push(Violation::WorkWhileLeaving {
                instance: run.instance.clone(),
                run_number: run.run_number,
                after_ms: run.started_ms.saturating_sub(notice.from_ms),
            });
        }
    }
    violations
}

fn is_late(run: &RunRecord, notice: &LeavingNotice, limits: Limits) -> bool {
    let allowed_ms = notice.from_ms + limits.leaving_ms + limits.clock_error_ms;
    run.instance == notice.instance
        && run.started_ms > allowed_ms
        && notice
            .until_ms
            .is_none_or(|until_ms| run.started_ms < until_ms)
}

/// Reports processes that went back to an earlier generation.
pub(super) fn generation_regressions(history: &History) -> Vec<Violation> {
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
