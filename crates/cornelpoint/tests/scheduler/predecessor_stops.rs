//! Evacuation after a takeover, while orders of the predecessor to stop runs are
//! still being carried out.

use std::collections::BTreeSet;

use cornelpoint::job::JobProgress;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;
use crate::support::store_batches;

const STOP_MS: u64 = 400;

/// Returns the ID of the task of a step that runs on this incarnation.
fn task_on(incarnation: u32) -> String {
    format!("{}.0.0.{incarnation}", job_id(1))
}

/// Returns a report of the run that a predecessor started, at full speed.
fn listed(incarnation: u32, now_ms: u64) -> WorkerReport {
    let active_run = ActiveRun {
        task: task_on(incarnation).parse().expect("a valid task ID"),
        run: 1,
        checkpoint: String::new(),
        speed_percent: 100,
        gauge: 0,
    };
    WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        running: vec![active_run],
        ..WorkerReport::default()
    }
}

/// Returns a report of the end of that run by an order to stop.
fn stopped(incarnation: u32, now_ms: u64) -> WorkerReport {
    let completion = RunCompletion {
        sequence: 1,
        task: task_on(incarnation).parse().expect("a valid task ID"),
        run: 1,
        kind: CompletionKind::Stopped,
        checkpoint: String::new(),
    };
    WorkerReport {
        running: Vec::new(),
        completions: vec![completion],
        ..listed(incarnation, now_ms)
    }
}

/// Returns a successor's scheduler for a step with two long-running tasks, of
/// which one may be unavailable. Both workers list their runs at 10 ms, and the
/// first is to be vacated. A third has room for its task.
fn successor() -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let long_running_step = RawStep {
        long_running: true,
        max_per_worker: 1,
        may_miss: 1,
        ..step(2, 1000)
    };
    let (record, spec) = job(vec![long_running_step]);
    let progress = JobProgress::default();
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(0));
    scheduler.confirm_ownership(0);
    let entries = ["w1", "w2", "w3"].map(|id| entry(id, 5));
    scheduler.apply_registry(&entries, true, at(0));
    scheduler.vacate(&BTreeSet::from(["w1".to_owned()]), at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    for incarnation in [0, 1] {
        scheduler.renewal_replied(incarnation, Ok(listed(incarnation, 10)), at(10));
    }
    let empty = WorkerReport {
        running: Vec::new(),
        ..listed(2, 10)
    };
    scheduler.renewal_replied(2, Ok(empty), at(10));
    scheduler
}

/// Returns the tasks that are ordered to stop.
fn stops(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<String> {
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let stops = actions.into_iter().filter_map(|action| match action {
        Action::Stop { task, .. } => Some(task.to_string()),
        _ => None,
    });
    stops.collect()
}

/// Guards against too few available tasks: a worker lists a run at full speed
/// while it carries out an order to stop it, and a successor does not know the
/// orders of its predecessor.
#[test]
fn no_task_is_moved_while_another_may_have_been_stopped_by_a_predecessor() {
    let mut scheduler = successor();
    assert_eq!(stops(&mut scheduler, 20), Vec::<String>::new());
    scheduler.renewal_replied(1, Ok(stopped(1, 300)), at(300));
    scheduler.renewal_replied(0, Ok(listed(0, 1010)), at(1010));
    assert_eq!(stops(&mut scheduler, 1020), Vec::<String>::new());
}

/// The orders that a worker took from a predecessor are carried out `STOP_MS`
/// after its first report to the successor. A report requested earlier proves
/// nothing.
#[test]
fn a_task_is_moved_once_no_order_of_a_predecessor_can_be_pending() {
    let mut scheduler = successor();
    assert_eq!(stops(&mut scheduler, 20), Vec::<String>::new());
    let answered_ms = 20 + STOP_MS;
    for incarnation in [0, 1] {
        let report = listed(incarnation, answered_ms);
        scheduler.renewal_replied(incarnation, Ok(report), at(answered_ms));
    }
    assert_eq!(stops(&mut scheduler, answered_ms), Vec::<String>::new());
    for incarnation in [0, 1] {
        let report = listed(incarnation, answered_ms + 10);
        scheduler.renewal_replied(incarnation, Ok(report), at(answered_ms + 10));
    }
    assert_eq!(stops(&mut scheduler, answered_ms + 10), [task_on(0)]);
}
