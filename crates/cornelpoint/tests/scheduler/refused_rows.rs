//! A store that refuses the rows of a job, or that a slow link keeps from answering.

use cornelpoint::job::JobId;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerEvent;
use cornelpoint::scheduler::StoredJobs;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;

const REFUSED: u64 = 7;

fn has_rows_of(batch: &Batch, id: JobId) -> bool {
    let mut records = batch.records.iter().map(|(job, _)| *job);
    let mut progress = batch.progress.iter().map(|(job, _)| *job);
    records.any(|job| job == id) || progress.any(|job| job == id)
}

/// Stores batches until none is left, with a store that refuses one job. Returns the
/// jobs accepted and rejected.
fn store_all(scheduler: &mut PoolScheduler, start_ms: u64) -> (Vec<JobId>, Vec<JobId>) {
    let (mut accepted, mut rejected) = (Vec::new(), Vec::new());
    for round in 0..40 {
        let now = at(start_ms + round * 30);
        let Some(batch) = scheduler.begin_batch(now) else {
            continue;
        };
        let outcome = if has_rows_of(&batch, job_id(REFUSED)) {
            BatchOutcome::Invalid
        } else {
            BatchOutcome::Stored
        };
        let StoredJobs {
            accepted: more,
            rejected: more_rejected,
            ..
        } = scheduler.batch_replied(outcome, now);
        accepted.extend(more);
        rejected.extend(more_rejected);
    }
    (accepted, rejected)
}

/// Guards against a pool that stores nothing any more, since a transaction with one row
/// that the store refuses is tried again for ever.
#[test]
fn a_job_that_the_store_refuses_holds_back_no_other() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=20 {
        let (record, spec) = job(vec![step(1, 10)]);
        let answer = scheduler.submit(job_id(number), record, spec, at(100));
        assert_eq!(answer, SubmitAnswer::Storing);
    }
    let (accepted, rejected) = store_all(&mut scheduler, 100);
    assert_eq!(rejected, [job_id(REFUSED)]);
    assert_eq!(accepted.len(), 19);
    scheduler.confirm_ownership(2000);
    assert_eq!(starts(&mut scheduler, 2000).len(), 19);
    assert_eq!(scheduler.status(job_id(REFUSED)), None);
    assert!(scheduler.begin_batch(at(3000)).is_none(), "nothing is left");
}

/// An accepted job can't be rejected any more; it is left out and reported.
#[test]
fn an_accepted_job_that_the_store_refuses_is_reported() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=20 {
        let (record, spec) = job(vec![step(1, 10)]);
        scheduler.submit_from_inbox(job_id(number), record, spec, at(100));
    }
    let (accepted, rejected) = store_all(&mut scheduler, 100);
    assert_eq!(rejected, []);
    assert_eq!(accepted.len(), 19);
    let events = scheduler.take_events();
    let reported = events.iter().any(|event| {
        matches!(event, SchedulerEvent::JobUnstorable { job, accepted: true, .. }
            if *job == job_id(REFUSED))
    });
    assert!(reported, "{events:?}");
}

/// Guards against an end that is acknowledged though the store has refused its job's
/// progress: the worker forgets it, and a successor would start the task again. The end of
/// another job before it is acknowledged.
#[test]
fn an_end_is_acknowledged_whose_job_the_store_refuses() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in [1, REFUSED] {
        let (record, spec) = job(vec![step(1, 1000)]);
        scheduler.submit_from_inbox(job_id(number), record, spec, at(100));
    }
    scheduler.begin_batch(at(110));
    scheduler.batch_replied(BatchOutcome::Stored, at(110));
    scheduler.confirm_ownership(150);
    let mut started = starts(&mut scheduler, 150);
    started.sort_by_key(|(_, task, _)| task.clone());
    assert_eq!(started.len(), 2);
    let completions = (1..)
        .zip(started)
        .map(|(sequence, (_, task, run))| RunCompletion {
            sequence,
            task: task.parse().expect("a valid task ID"),
            run,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        });
    let mut report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: 2000,
        completions: completions.collect(),
        ..WorkerReport::default()
    };
    let mut acknowledged = 0;
    for now_ms in (200..8000).step_by(400) {
        scheduler.renewal_replied(0, Ok(report.clone()), at(now_ms));
        store_all(&mut scheduler, now_ms);
        scheduler.confirm_ownership(now_ms + 300);
        scheduler.tick(at(now_ms + 300));
        for action in scheduler.take_actions() {
            if let Action::RenewLease {
                acknowledged: up_to,
                ..
            } = action
            {
                acknowledged = acknowledged.max(up_to);
                let listed = &mut report.completions;
                listed.retain(|completion| completion.sequence > up_to);
            }
        }
    }
    assert_eq!(acknowledged, 1);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
    assert_eq!(scheduler.status(job_id(REFUSED)), Some(JobStatus::Running));
}

/// Guards against a pool that stores nothing any more, since its link doesn't carry a
/// whole batch before the timeout of the call, and the same batch is tried again.
#[test]
fn a_batch_that_a_slow_link_does_not_carry_in_time_is_tried_in_parts() {
    const JOBS: u64 = 80;
    /// What the link carries within the timeout.
    const CARRIED_BYTES: usize = 100_000;
    let mut scheduler = ready_scheduler(&["w1"]);
    for number in 1..=JOBS {
        let (mut record, _) = job(vec![step(1, 10)]);
        record.job.spec = "x".repeat(4000);
        let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
        scheduler.submit_from_inbox(job_id(number), record, spec, at(100));
    }
    let mut accepted = 0;
    for round in 0..40 {
        let now = at(100 + round * 1500);
        let Some(batch) = scheduler.begin_batch(now) else {
            break;
        };
        let specs = batch.records.iter();
        let bytes: usize = specs.map(|(_, record)| record.job.spec.len()).sum();
        let outcome = if bytes > CARRIED_BYTES {
            BatchOutcome::Unknown
        } else {
            BatchOutcome::Stored
        };
        accepted += scheduler.batch_replied(outcome, now).accepted.len();
    }
    assert_eq!(accepted as u64, JOBS);
}
