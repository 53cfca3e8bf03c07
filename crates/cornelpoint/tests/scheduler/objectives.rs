//! Objectives of jobs, and how they follow measured durations.

use cornelpoint::job::RawStep;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

fn submit(scheduler: &mut PoolScheduler, number: u64, steps: Vec<RawStep>, now_ms: u64) {
    let (mut record, spec) = job(steps);
    record.accepted_unix_ms = at(now_ms).unix_ms;
    scheduler.submit(job_id(number), record, spec, at(now_ms));
    store_batches(scheduler, now_ms);
}

/// Reports a task as done on the only worker.
fn complete_task(scheduler: &mut PoolScheduler, task: &str, number: u64, now_ms: u64) {
    let completion = RunCompletion {
        sequence: number,
        task: task.parse().expect("a valid task ID"),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        completions: vec![completion],
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(now_ms));
}

/// The objective grows with the measured work, so a job that takes three times
/// its estimate doesn't count as late by that estimate.
#[test]
fn a_job_that_takes_longer_than_estimated_gets_a_later_objective() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let second = RawStep {
        after: vec![0],
        ..step(2, 4000)
    };
    submit(&mut scheduler, 1, vec![step(1, 4000), second], 0);
    let started = starts(&mut scheduler, 20);
    assert_eq!(started.len(), 1);
    assert!(scheduler.report(at(1900)).late_core_ms == 0);
    // By its estimate of two steps of 500 ms each, the job was due at 2.2 s.
    complete_task(&mut scheduler, &started[0].1, 1, 1500);
    let report = scheduler.report(at(2300));
    assert_eq!(report.late_core_ms, 0);
    assert_eq!(report.backlog_core_ms, 4000);
    assert!(scheduler.report(at(5000)).late_core_ms > 0);
}

/// Callers give the same estimate for all jobs, a third of the real duration.
#[test]
fn estimates_are_corrected_by_measured_durations() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=16 {
        let now_ms = number * 2000;
        submit(&mut scheduler, number, vec![step(1, 1000)], now_ms);
        scheduler.confirm_ownership(now_ms);
        let started = starts(&mut scheduler, now_ms);
        assert_eq!(started.len(), 1, "job {number}");
        complete_task(&mut scheduler, &started[0].1, number, now_ms + 1500);
        store_batches(&mut scheduler, now_ms + 1500);
    }
    submit(&mut scheduler, 99, vec![step(1, 1000)], 40_000);
    assert_eq!(scheduler.report(at(40_000)).backlog_core_ms, 1500);
}

/// The rate of offered work shows a surge long before a backlog has grown.
#[test]
fn a_surge_shows_in_the_rate_of_offered_work() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=4 {
        submit(&mut scheduler, number, vec![step(2, 4000)], 100);
    }
    // In half a second, four jobs of two tasks, each half a second on four
    // cores.
    assert_eq!(scheduler.report(at(200)).offered_millicores, 32_000);
    assert!(scheduler.is_overloaded(at(200)));
    assert_eq!(scheduler.report(at(700)).offered_millicores, 0);
}

/// A backlog of late jobs must not take the capacity of jobs that can still
/// meet their objective.
#[test]
fn a_job_that_starts_too_late_is_placed_after_one_in_time() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 4000)], 50);
    let first = starts(&mut scheduler, 60);
    assert_eq!(first.len(), 1);
    // Due at 1.5 s: even by its optimistic duration it had to start by 1.15 s.
    submit(&mut scheduler, 2, vec![step(1, 4000)], 100);
    submit(&mut scheduler, 3, vec![step(1, 4000)], 1200);
    complete_task(&mut scheduler, &first[0].1, 1, 1300);
    let started = starts(&mut scheduler, 1300);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, "0000000000000003.0.0.0");
}
