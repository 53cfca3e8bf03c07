//! Jobs that reach an owner whose workers have not reported yet.

use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;

use super::replay::WORKERS;
use super::replay::entries;
use crate::support::POOL;
use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;

/// Submits a job to an owner that has inherited 20 jobs and lists 24 workers of 32 cores,
/// none of which has reported.
fn submit_to_new_owner(weighs_loss: bool) -> SubmitAnswer {
    let settings = SchedulerSettings {
        weighs_loss,
        ..SchedulerSettings::default()
    };
    let mut scheduler = PoolScheduler::new(POOL, 2, settings);
    scheduler.set_queues(std::iter::once(&queue()));
    for number in 1..=20 {
        let (record, spec) = job(vec![step(8, 5000)]);
        scheduler.restore(job_id(number), record, spec, None, at(10));
    }
    scheduler.apply_registry(&entries(WORKERS), true, at(20));
    let (record, spec) = job(vec![step(8, 5000)]);
    scheduler.submit(job_id(99), record, spec, at(30))
}

/// Guards against jobs that a new owner refuses until its workers report: it takes the pool
/// for one of 64 cores, so that half a second of inherited work is a wait of six.
#[test]
fn a_new_owner_counts_the_workers_that_are_listed() {
    assert_eq!(submit_to_new_owner(true), SubmitAnswer::Storing);
    let unchanged = submit_to_new_owner(false);
    assert!(matches!(unchanged, SubmitAnswer::Rejected { .. }));
}

/// Guards against entries of other programs, which may name any capacity: the sum over all
/// workers overflowed, and the process ended.
#[test]
fn capacities_of_any_size_are_added_up() {
    let settings = SchedulerSettings {
        weighs_loss: true,
        ..SchedulerSettings::default()
    };
    let mut scheduler = PoolScheduler::new(POOL, 1, settings);
    scheduler.set_queues(std::iter::once(&queue()));
    let mut listed = entries(2);
    for entry in &mut listed {
        entry.capacity.cpu_millicores = u64::MAX;
        entry.capacity.memory_mb = u64::MAX;
    }
    scheduler.apply_registry(&listed, true, at(20));
    let (record, spec) = job(vec![step(8, 5000)]);
    let answer = scheduler.submit(job_id(1), record, spec, at(30));
    assert_eq!(answer, SubmitAnswer::Storing);
}
