//! What callers lose in a surge, and how often they are refused.

use cornelpoint::scheduler::SchedulerSettings;

use super::replay::Outcome;
use super::replay::Replay;
use super::replay::Scenario;
use super::replay::replay;

const SEEDS: u64 = 8;

fn replays(has_tenants: bool, weighs_loss: bool) -> Vec<Replay> {
    let settings = SchedulerSettings {
        weighs_loss,
        ..SchedulerSettings::default()
    };
    let replays = (1..=SEEDS).map(|seed| {
        replay(&Scenario {
            seed,
            flooding: Some(0),
            has_tenants,
            settings,
        })
    });
    replays.collect()
}

/// Guards against callers that lose more by the order of arrival than they would by the
/// value of their jobs, and that come back when there is no capacity: clients were refused
/// seven times for each job that was refused for good.
#[test]
fn less_is_lost_with_fewer_refusals() {
    let (before, after) = (replays(true, false), replays(true, true));
    let value = |replays: &[Replay]| replays.iter().map(Replay::value).sum::<f64>();
    assert!(value(&after) > value(&before));
    let refusals = |replays: &[Replay]| replays.iter().map(Replay::refusals).sum::<u32>();
    assert!(2 * refusals(&after) < refusals(&before));
}

/// Guards against large jobs that are always turned away, since they need more room for
/// their value: the largest tenth and the fifth below it are each served at least half as
/// often as all jobs.
#[test]
fn large_jobs_do_not_starve() {
    for replay in replays(true, true).iter().chain(&replays(false, true)) {
        let jobs = replay.outcomes.iter().filter(|job| job.is_of_surge());
        let mut jobs: Vec<&Outcome> = jobs.collect();
        jobs.sort_by(|one, other| other.work_core_ms.total_cmp(&one.work_core_ms));
        let rate = |jobs: &[&Outcome]| {
            let served = jobs.iter().filter(|job| job.is_in_time()).count();
            served as f64 / jobs.len() as f64
        };
        let (tenth, fifth) = (jobs.len() / 10, jobs.len() * 3 / 10);
        let all = rate(&jobs);
        assert!(rate(&jobs[..tenth]) >= all / 2.0, "largest tenth");
        assert!(rate(&jobs[tenth..fifth]) >= all / 2.0, "fifth below it");
    }
}
