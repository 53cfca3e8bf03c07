//! Workers whose capacity changes while they run tasks.

use cornelpoint::job::Resources;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::OrderOutcome;

use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

const TASK_MILLICORES: u64 = 1000;

fn submit(scheduler: &mut PoolScheduler, number: u64, tasks: u64, now_ms: u64) {
    let (record, spec) = job(vec![step(tasks, TASK_MILLICORES)]);
    scheduler.submit(job_id(number), record, spec, at(now_ms));
    store_batches(scheduler, now_ms);
}

/// Lists the worker with this capacity and returns the number of tasks started.
fn starts_with(scheduler: &mut PoolScheduler, cpu_millicores: u64, now_ms: u64) -> usize {
    let mut listed = entry("w1", 5);
    listed.capacity = Resources {
        cpu_millicores,
        ..listed.capacity
    };
    scheduler.apply_registry(&[listed], true, at(now_ms));
    starts(scheduler, now_ms).len()
}

#[test]
fn a_worker_whose_capacity_shrank_gets_more_tasks() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, 3, 100);
    assert_eq!(starts_with(&mut scheduler, 4000, 150), 3);
    submit(&mut scheduler, 2, 2, 200);
    assert_eq!(starts_with(&mut scheduler, 3000, 250), 0, "full");
    assert_eq!(
        starts_with(&mut scheduler, 1000, 300),
        0,
        "over its capacity"
    );
    assert_eq!(
        starts_with(&mut scheduler, 4000, 350),
        1,
        "grown by one task"
    );
    assert_eq!(
        starts_with(&mut scheduler, 5000, 400),
        1,
        "grown by another"
    );
}

/// What is being stopped takes room until its end is listed.
#[test]
fn a_stopping_run_leaves_room_on_a_worker_that_shrank() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, 3, 100);
    assert_eq!(starts_with(&mut scheduler, 4000, 150), 3);
    for index in 0..3 {
        let task = format!("{}.0.0.{index}", job_id(1)).parse().unwrap();
        let done = OrderOutcome::Done { clock_ms: 1160 };
        scheduler.start_replied(0, task, 1, done, at(160));
    }
    scheduler.cancel(job_id(1), at(200));
    store_batches(&mut scheduler, 200);
    submit(&mut scheduler, 2, 1, 250);
    assert_eq!(starts_with(&mut scheduler, 3000, 300), 0);
}
