use cornelpoint::name::InstanceId;
use cornelpoint::request::RunState;

use super::call_groups::Call;
use super::call_groups::Group;
use super::completion::Outcome;
use super::history_record::History;
use super::limits::Limits;
use super::observation::PlannedStop;
use super::violation::Violation;
use crate::endpoint::RunRecord;

/// Reports a non-idempotent request that ran more than once.
pub(super) fn ran_more_than_once(name: &str, group: &Group<'_>) -> Option<Violation> {
    let idempotent = |call: &Call<'_>| call.invocation.method.is_idempotent();
    let runs = group.runs.len();
    (runs > 1 && !group.calls.iter().all(idempotent)).then(|| Violation::RanMoreThanOnce {
        request: name.to_owned(),
        runs,
    })
}

/// Reports calls rejected as not run although a run must be theirs: every call
/// of the same request that had started by then was rejected as not run.
pub(super) fn refused_but_ran(group: &Group<'_>, limits: Limits) -> Vec<Violation> {
    group
        .runs
        .iter()
        .filter_map(|run| Some((run, false_rejection(group, run, limits)?)))
        .map(|(run, call)| Violation::RefusedButRan {
            call: call.id,
            instance: run.instance.clone(),
        })
        .collect()
}

fn false_rejection<'a>(
    group: &'a Group<'_>,
    run: &RunRecord,
    limits: Limits,
) -> Option<&'a Call<'a>> {
    let mut begun = group
        .calls
        .iter()
        .filter(|call| call.invocation.started_ms <= run.started_ms + limits.clock_error_ms);
    let first = begun.next()?;
    if !refused_as_not_run(first) || !begun.all(refused_as_not_run) {
        return None;
    }
    Some(first)
}

fn refused_as_not_run(call: &Call<'_>) -> bool {
    let not_run = RunState::No;
    matches!(call.outcome(), Some(Outcome::Refused { run, .. }) if *run == not_run)
}

/// Reports calls without a completion.
pub(super) fn never_ended(group: &Group<'_>) -> Vec<Violation> {
    group
        .calls
        .iter()
        .filter(|call| call.completion.is_none())
        .map(|call| Violation::NeverEnded { call: call.id })
        .collect()
}

/// Reports calls that were in flight at a planned stop and got no answer.
pub(super) fn cut_by_planned_stop(history: &History, group: &Group<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for stop in &history.planned_stops {
        for call in &group.calls {
            if is_cut_at_gateway(call, stop) || is_cut_at_endpoint(call, group, stop) {
                violations.push(cut(call, &stop.instance));
            }
        }
    }
    violations
}

fn cut(call: &Call<'_>, instance: &InstanceId) -> Violation {
    Violation::CutByPlannedStop {
        call: call.id,
        instance: instance.clone(),
    }
}

fn is_cut_at_gateway(call: &Call<'_>, stop: &PlannedStop) -> bool {
    call.invocation.gateway == stop.instance
        && in_flight(call, stop)
        && matches!(call.outcome(), Some(Outcome::Lost { .. }))
}

fn is_cut_at_endpoint(call: &Call<'_>, group: &Group<'_>, stop: &PlannedStop) -> bool {
    let answered = matches!(call.outcome(), Some(Outcome::Answered { .. }));
    let ran_through = |run: &&RunRecord| {
        run.instance == stop.instance
            && run.started_ms < stop.at_ms
            && run.ended_ms.is_none_or(|ended_ms| ended_ms > stop.at_ms)
    };
    !answered && in_flight(call, stop) && group.runs.iter().any(ran_through)
}

fn in_flight(call: &Call<'_>, stop: &PlannedStop) -> bool {
    let ended_after = |ended_ms| ended_ms > stop.at_ms;
    call.invocation.started_ms < stop.at_ms
        && call.completion.is_none_or(|c| ended_after(c.ended_ms))
}
