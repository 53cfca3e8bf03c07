use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::Range;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::name::InstanceId;
use cornelpoint::name::ServiceName;
use cornelpoint::request::RunState;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::endpoint::RunRecord;

use super::check::Check;
use super::outcome::CallResult;
use super::outcome::Outcome;
use crate::fleet::Fleet;

const PERCENT: f64 = 100.0;

/// Returns the goodput of a service in a window: the slot time of runs whose
/// answer came in time, as a percentage of the slot time of all its endpoints.
pub(super) fn goodput_percent(
    fleet: &Fleet,
    outcomes: &[Outcome],
    service: &ServiceName,
    window_ms: &Range<u64>,
) -> f64 {
    let answered: HashSet<&str> = outcomes
        .iter()
        .filter(|outcome| outcome.is_answered())
        .map(|outcome| outcome.path.as_str())
        .collect();
    let mut used_ms = 0;
    let mut slots = 0;
    for endpoint in endpoints_of(&fleet.configuration, service) {
        slots += u64::from(endpoint.slots);
        let runs = fleet
            .endpoint(&endpoint.instance)
            .map_or_else(Vec::new, EndpointStandIn::history);
        used_ms += runs
            .iter()
            .filter(|run| answered.contains(run.path.as_str()))
            .map(|run| overlap_ms(run, window_ms))
            .sum::<u64>();
    }
    let possible_ms = slots * (window_ms.end - window_ms.start);
    to_f64(used_ms) / to_f64(possible_ms) * PERCENT
}

fn endpoints_of<'a>(
    configuration: &'a Configuration,
    service: &ServiceName,
) -> impl Iterator<Item = &'a Endpoint> {
    let pool = configuration
        .services
        .iter()
        .find(|candidate| &candidate.name == service)
        .map(|found| &found.pool);
    configuration
        .pools
        .iter()
        .filter(move |candidate| Some(&candidate.name) == pool)
        .flat_map(|pool| &pool.endpoints)
}

fn overlap_ms(run: &RunRecord, window_ms: &Range<u64>) -> u64 {
    let end_ms = run.ended_ms.unwrap_or(window_ms.end).min(window_ms.end);
    end_ms.saturating_sub(run.started_ms.max(window_ms.start))
}

/// Counts the requests by result, as text.
pub(super) fn summary(outcomes: &[Outcome]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes {
        let result = match &outcome.result {
            CallResult::Answered => "answered".to_owned(),
            CallResult::WrongAnswer => "wrong answer".to_owned(),
            CallResult::Refused(run, reason) => format!("{reason} (run {})", run.as_str()),
            CallResult::Lost(_) => "lost".to_owned(),
        };
        *counts.entry(result).or_default() += 1;
    }
    let words: Vec<String> = counts
        .iter()
        .map(|(result, count)| format!("{count} {result}"))
        .collect();
    words.join(", ")
}

/// Counts the runs that an endpoint started after a time in milliseconds since 1970.
pub(super) fn runs_after(fleet: &Fleet, instance: &InstanceId, after_ms: u64) -> usize {
    fleet.endpoint(instance).map_or(0, |endpoint| {
        endpoint
            .history()
            .iter()
            .filter(|run| run.started_ms > after_ms)
            .count()
    })
}

/// Compares the results that callers received with the runs that the endpoints recorded.
pub(super) fn compare_with_runs(fleet: &Fleet, outcomes: &[Outcome]) -> Vec<Check> {
    let runs = runs_by_path(fleet);
    let runs_of = |outcome: &Outcome| runs.get(&outcome.path).copied().unwrap_or(0);
    let count = |wrong: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| wrong(o)).count();
    let of = outcomes.len();
    let run_twice = count(&|o| !o.idempotent && runs_of(o) > 1);
    let refused_but_run = count(&|o| is_refused_not_run(o) && runs_of(o) > 0);
    let answered_without_run = count(&|o| o.is_answered() && runs_of(o) == 0);
    let wrong = count(&|o| o.result == CallResult::WrongAnswer);
    let lost = count(&|o| matches!(o.result, CallResult::Lost(_)));
    let over_limit: u64 = fleet
        .endpoints
        .iter()
        .map(EndpointStandIn::dump)
        .map(|dump| dump.over_slots + dump.over_connections)
        .sum();
    vec![
        Check::none(
            "non-idempotent requests run twice",
            run_twice,
            of,
            "requests",
        ),
        Check::none(
            "refused as not run, but did run",
            refused_but_run,
            of,
            "requests",
        ),
        Check::none(
            "answers without a run",
            answered_without_run,
            of,
            "requests",
        ),
        Check::none(
            "answers incomplete or of another request",
            wrong,
            of,
            "requests",
        ),
        Check::none("requests without any answer", lost, of, "requests"),
        Check::none(
            "requests or connections over an endpoint's limit",
            usize::try_from(over_limit).unwrap_or(usize::MAX),
            of,
            "requests",
        ),
    ]
}

fn is_refused_not_run(outcome: &Outcome) -> bool {
    matches!(outcome.result, CallResult::Refused(RunState::No, _))
}

fn runs_by_path(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for endpoint in &fleet.endpoints {
        for run in endpoint.history() {
            *runs.entry(run.path).or_insert(0) += 1;
        }
    }
    runs
}

fn to_f64(number: u64) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}
