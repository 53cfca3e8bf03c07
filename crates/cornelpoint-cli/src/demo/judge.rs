use std::collections::HashMap;
use std::ops::Range;

use cornelpoint::configuration::Configuration;
use cornelpoint::name::InstanceId;
use cornelpoint::name::ServiceName;
use cornelpoint::request::RunState;
use cornelpoint_standin::endpoint::EndpointStandIn;

use super::check::Check;
use super::outcome::End;
use super::outcome::Outcome;
use crate::fleet::Fleet;

const MS_PER_S: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

/// Slots of the endpoints that serve a service.
pub(super) fn slots_of(configuration: &Configuration, service: &ServiceName) -> u32 {
    configuration
        .services
        .iter()
        .filter(|candidate| &candidate.name == service)
        .flat_map(|found| {
            configuration
                .pools
                .iter()
                .filter(|pool| pool.name == found.pool)
        })
        .flat_map(|pool| &pool.endpoints)
        .map(|endpoint| endpoint.slots)
        .sum()
}

/// Answers that came in a window, as a share of what the slots can do.
pub(super) fn goodput_percent(
    outcomes: &[Outcome],
    service: &ServiceName,
    window_ms: Range<u64>,
    slots: u32,
    work_ms: u64,
) -> f64 {
    let answered = outcomes
        .iter()
        .filter(|outcome| &outcome.service == service && outcome.is_answered())
        .filter(|outcome| window_ms.contains(&outcome.ended_ms))
        .count();
    let length_s = to_f64(window_ms.end - window_ms.start) / MS_PER_S;
    let possible = f64::from(slots) * length_s * MS_PER_S / to_f64(work_ms);
    to_f64(answered as u64) / possible * PERCENT
}

/// Runs that an endpoint began after a time, in milliseconds since 1970.
pub(super) fn runs_after(fleet: &Fleet, instance: &InstanceId, after_ms: u64) -> usize {
    fleet.endpoint(instance).map_or(0, |endpoint| {
        endpoint
            .history()
            .iter()
            .filter(|run| run.started_ms > after_ms)
            .count()
    })
}

/// Compares what callers were told with what the endpoints ran.
pub(super) fn histories(fleet: &Fleet, outcomes: &[Outcome]) -> Vec<Check> {
    let runs = runs_by_path(fleet);
    let runs_of = |outcome: &Outcome| runs.get(&outcome.path).copied().unwrap_or(0);
    let count = |wrong: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| wrong(o)).count();
    let of = outcomes.len();
    let doubled = count(&|o| !o.idempotent && runs_of(o) > 1);
    let false_refusals = count(&|o| is_refused_not_run(o) && runs_of(o) > 0);
    let unfounded = count(&|o| o.is_answered() && runs_of(o) == 0);
    let wrong = count(&|o| o.end == End::WrongAnswer);
    let lost = count(&|o| matches!(o.end, End::Lost(_)));
    let over: u64 = fleet
        .endpoints
        .iter()
        .map(EndpointStandIn::dump)
        .map(|dump| dump.over_slots + dump.over_connections)
        .sum();
    vec![
        Check::none("non-idempotent requests run twice", doubled, of, "requests"),
        Check::none(
            "refusals that say not run, but ran",
            false_refusals,
            of,
            "requests",
        ),
        Check::none("answers without a run", unfounded, of, "requests"),
        Check::none(
            "answers not whole or of another request",
            wrong,
            of,
            "requests",
        ),
        Check::none("requests without any answer", lost, of, "requests"),
        Check::none(
            "requests or connections over an endpoint's limit",
            usize::try_from(over).unwrap_or(usize::MAX),
            of,
            "requests",
        ),
    ]
}

fn is_refused_not_run(outcome: &Outcome) -> bool {
    matches!(outcome.end, End::Refused(RunState::No, _))
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
