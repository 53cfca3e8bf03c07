//! Steps that fit no worker, beside others that do.

use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::RegistryEntry;

use crate::support::answer_renewals;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

/// Steps that can't be placed; twice as many as a placement pass used to look at.
const UNPLACEABLE: u64 = 48;
const SHORT_JOB: u64 = 1000;

fn accept(scheduler: &mut PoolScheduler, number: u64, accepted: (JobRecord, JobSpec), now_ms: u64) {
    let (record, spec) = accepted;
    scheduler.submit_from_inbox(job_id(number), record, spec, at(now_ms));
}

/// Accepts as many jobs as can't be placed, and a short one after them. Returns the
/// workers on which tasks of the short one start.
fn short_job_beside(scheduler: &mut PoolScheduler, unplaceable: &RawStep) -> Vec<String> {
    for number in 1..=UNPLACEABLE {
        accept(scheduler, number, job(vec![unplaceable.clone()]), 100);
    }
    store_batches(scheduler, 100);
    starts(scheduler, 500);
    accept(scheduler, SHORT_JOB, job(vec![step(2, 100)]), 600);
    store_batches(scheduler, 600);
    let started = starts(scheduler, 700).into_iter();
    let of_short = format!("{}.", job_id(SHORT_JOB));
    let started = started.filter(|(_, task, _)| task.starts_with(&of_short));
    started.map(|(worker, _, _)| worker).collect()
}

/// Guards against accepted jobs that never begin: a pool had lost one of eight workers
/// while 30 lasting jobs ran a task on each, and every placement pass ended at the first
/// 24 of them.
#[test]
fn lasting_steps_short_of_a_worker_hold_back_no_other_job() {
    let lasting = RawStep {
        long_running: true,
        max_per_worker: 1,
        ..step(3, 10)
    };
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    assert_eq!(short_job_beside(&mut scheduler, &lasting).len(), 2);
}

/// The same with a label that no worker has.
#[test]
fn steps_whose_label_no_worker_has_hold_back_no_other_job() {
    let labelled = RawStep {
        required_label: Some("r9".to_owned()),
        long_running: true,
        ..step(1, 10)
    };
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    assert_eq!(short_job_beside(&mut scheduler, &labelled).len(), 2);
}

/// The same with tasks that each take most of a worker's memory.
#[test]
fn steps_that_wait_for_memory_hold_back_no_other_job() {
    let large = RawStep {
        memory_mb: 10_000,
        long_running: true,
        ..step(1, 100)
    };
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    assert_eq!(short_job_beside(&mut scheduler, &large).len(), 2);
}

/// The same with gangs that are larger than the pool.
#[test]
fn gangs_larger_than_the_pool_hold_back_no_other_job() {
    let gang = RawStep {
        gang: true,
        long_running: true,
        ..step(5, 2000)
    };
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    assert_eq!(short_job_beside(&mut scheduler, &gang).len(), 2);
}

fn labelled(id: &str, label: &str) -> RegistryEntry {
    let mut entry = entry(id, 5);
    entry.labels.push(label.to_owned());
    entry
}

/// A step that fitted no worker starts once a worker with its label joins.
#[test]
fn a_step_starts_on_a_worker_that_joins_later() {
    let wants_label = RawStep {
        required_label: Some("gpu".to_owned()),
        ..step(1, 1000)
    };
    let mut scheduler = ready_scheduler(&["w1"]);
    accept(&mut scheduler, 1, job(vec![wants_label]), 100);
    store_batches(&mut scheduler, 100);
    assert!(starts(&mut scheduler, 500).is_empty());
    let entries = [entry("w1", 5), labelled("w2", "gpu")];
    scheduler.apply_registry(&entries, true, at(600));
    scheduler.tick(at(600));
    store_batches(&mut scheduler, 600);
    let orders = answer_renewals(&mut scheduler, 700);
    assert!(orders.is_empty(), "not before the worker has reported");
    let started = starts(&mut scheduler, 700);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, "w2");
}
