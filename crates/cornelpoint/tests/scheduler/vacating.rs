//! Workers that are vacated for a surge of another pool.

use std::collections::BTreeSet;

use cornelpoint::job::RawStep;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::submit;

/// Time at which a job that was submitted at 100 ms, whose task is expected to take
/// 500 ms, is late.
const LATE_MS: u64 = 3000;

/// A scheduler with one worker, which runs a task of a job.
fn busy(saves_progress: bool) -> PoolScheduler {
    let mut scheduler = ready_scheduler(&["w1"]);
    let step = RawStep {
        saves_progress,
        ..step(1, 1000)
    };
    submit(&mut scheduler, 1, vec![step], 100);
    assert_eq!(starts(&mut scheduler, 120).len(), 1);
    let task = "0000000000000001.0.0.0".parse().unwrap();
    let done = OrderOutcome::Done { clock_ms: 1130 };
    scheduler.start_replied(0, task, 1, done, at(130));
    scheduler
}

/// Returns the number of runs that are stopped when the worker is vacated.
fn stops_when_vacated(scheduler: &mut PoolScheduler, now_ms: u64) -> usize {
    scheduler.confirm_ownership(now_ms);
    scheduler.take_actions();
    scheduler.vacate(&BTreeSet::from(["w1".to_owned()]), at(now_ms));
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let stops = actions.iter();
    let stops = stops.filter(|action| matches!(action, Action::Stop { .. }));
    stops.count()
}

/// The machine serves the surge sooner, and no work is lost.
#[test]
fn a_late_run_that_saves_its_progress_is_stopped() {
    assert_eq!(stops_when_vacated(&mut busy(true), LATE_MS), 1);
}

#[test]
fn a_run_that_would_lose_its_work_ends_first() {
    assert_eq!(stops_when_vacated(&mut busy(false), LATE_MS), 0);
}

#[test]
fn a_run_of_a_job_in_time_ends_first() {
    assert_eq!(stops_when_vacated(&mut busy(true), 200), 0);
}

/// Guards against maintenance that comes too late: the next task of a step that lasts
/// may move only once the one before is reported at full speed, which took up to a
/// second longer than it did.
#[test]
fn a_task_that_lasts_is_soon_seen_at_full_speed() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let lasting = RawStep {
        long_running: true,
        ..step(1, 1000)
    };
    submit(&mut scheduler, 1, vec![lasting], 100);
    assert_eq!(starts(&mut scheduler, 120).len(), 1);
    let task = "0000000000000001.0.0.0".parse().unwrap();
    let done = OrderOutcome::Done { clock_ms: 1130 };
    scheduler.start_replied(0, task, 1, done, at(130));
    let mut waits_ms = Vec::new();
    for (now_ms, speed_percent) in [(140, 0), (600, 40), (1100, 100)] {
        let report = WorkerReport {
            born_unix_ms: 5,
            clock_ms: now_ms + 1000,
            running: vec![ActiveRun {
                task,
                run: 1,
                checkpoint: String::new(),
                speed_percent,
                gauge: 0,
            }],
            ..WorkerReport::default()
        };
        scheduler.confirm_ownership(now_ms);
        scheduler.renewal_replied(0, Ok(report), at(now_ms));
        scheduler.tick(at(now_ms));
        for action in scheduler.take_actions() {
            if let Action::RenewLease { wait_ms, .. } = action {
                waits_ms.push(wait_ms);
            }
        }
    }
    assert_eq!(waits_ms.last(), Some(&1000));
    let warming_up = &waits_ms[..waits_ms.len() - 1];
    assert!(warming_up.len() >= 2);
    assert!(
        warming_up.iter().all(|wait_ms| *wait_ms <= 200),
        "{waits_ms:?}"
    );
}

/// Replays a wave that takes half of the workers down. Guards against tasks that last
/// and move to workers that are due themselves.
#[test]
fn tasks_that_last_avoid_workers_due_for_maintenance() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut scheduler = ready_scheduler(&ids);
    let due = ["w1", "w2", "w3"].map(str::to_owned);
    scheduler.set_due(&BTreeSet::from(due));
    let lasting = RawStep {
        long_running: true,
        max_per_worker: 1,
        ..step(3, 1000)
    };
    submit(&mut scheduler, 1, vec![lasting], 100);
    let started = starts(&mut scheduler, 120);
    let workers: BTreeSet<&str> = started.iter().map(|(id, _, _)| id.as_str()).collect();
    assert_eq!(workers, BTreeSet::from(["w4", "w5", "w6"]));
    submit(&mut scheduler, 2, vec![step(24, 1000)], 200);
    let started = starts(&mut scheduler, 300);
    assert_eq!(started.len(), 21, "other tasks use all workers");
}
