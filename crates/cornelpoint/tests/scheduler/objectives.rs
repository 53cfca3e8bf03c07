//! What is expected of jobs, and how it follows what is measured.

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
use crate::support::store;

fn submit(scheduler: &mut PoolScheduler, number: u64, steps: Vec<RawStep>, now_ms: u64) {
    let (mut record, spec) = job(steps);
    record.accepted_unix_ms = at(now_ms).unix_ms;
    scheduler.submit(job_id(number), record, spec, at(now_ms));
    store(scheduler, now_ms);
}

/// Ends a task at the only worker.
fn end(scheduler: &mut PoolScheduler, task: &str, number: u64, now_ms: u64) {
    let ended = RunCompletion {
        sequence: number,
        task: task.parse().expect("a task"),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        completions: vec![ended],
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(now_ms));
}

/// An objective grows with a job's work: one that takes three times its
/// estimate is not late when its estimate says so.
#[test]
fn a_job_that_turns_out_longer_is_not_given_up() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let second = RawStep {
        after: vec![0],
        ..step(2, 4000)
    };
    submit(&mut scheduler, 1, vec![step(1, 4000), second], 0);
    let started = starts(&mut scheduler, 20);
    assert_eq!(started.len(), 1);
    assert!(scheduler.report(at(1900)).late_core_ms == 0);
    // By its estimate of twice 500 ms the job was due at 2.2 s.
    end(&mut scheduler, &started[0].1, 1, 1500);
    let report = scheduler.report(at(2300));
    assert_eq!(report.late_core_ms, 0);
    assert_eq!(report.backlog_core_ms, 4000);
    assert!(scheduler.report(at(5000)).late_core_ms > 0);
}

/// Callers whose estimates are all the same and a third of the truth.
#[test]
fn estimates_count_by_what_they_have_been_worth() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=16 {
        let now_ms = number * 2000;
        submit(&mut scheduler, number, vec![step(1, 1000)], now_ms);
        let started = starts(&mut scheduler, now_ms);
        assert_eq!(started.len(), 1, "job {number}");
        end(&mut scheduler, &started[0].1, number, now_ms + 1500);
        store(&mut scheduler, now_ms + 1500);
    }
    submit(&mut scheduler, 99, vec![step(1, 1000)], 40_000);
    assert_eq!(scheduler.report(at(40_000)).backlog_core_ms, 1500);
}

/// A surge shows in the rate of incoming work long before a backlog has grown.
#[test]
fn a_surge_shows_in_the_rate_of_incoming_work() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=4 {
        submit(&mut scheduler, number, vec![step(2, 4000)], 100);
    }
    // Four jobs of two tasks of half a second on four cores in half a second.
    assert_eq!(scheduler.report(at(200)).offered_millicores, 32_000);
    assert!(scheduler.is_overloaded(at(200)));
    assert_eq!(scheduler.report(at(700)).offered_millicores, 0);
}

/// A backlog of late jobs must not take the room of those that can be in time.
#[test]
fn a_job_that_starts_too_late_goes_behind_one_in_time() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 4000)], 50);
    let first = starts(&mut scheduler, 60);
    assert_eq!(first.len(), 1);
    // Due at 1.5 s, so it had to start by 1.15 s even if all goes well.
    submit(&mut scheduler, 2, vec![step(1, 4000)], 100);
    submit(&mut scheduler, 3, vec![step(1, 4000)], 1200);
    end(&mut scheduler, &first[0].1, 1, 1300);
    let started = starts(&mut scheduler, 1300);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, "0000000000000003.0.0.0");
}
