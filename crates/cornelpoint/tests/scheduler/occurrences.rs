//! Scheduled jobs whose occurrences overlap, over a change of owners.

use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::job::RawJob;
use cornelpoint::job::TaskProgress;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::answer_renewals;
use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

const INTERVAL_MS: u64 = 1000;

/// A job that runs `count` times, each second from `first_ms` on.
fn scheduled_job(count: u64, first_ms: u64) -> (JobRecord, JobSpec) {
    let (mut record, _) = job(vec![step(1, 1000)]);
    record.job = RawJob {
        repeat_count: count,
        first_unix_ms: at(first_ms).unix_ms,
        interval_ms: INTERVAL_MS,
        ..record.job
    };
    let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
    (record, spec)
}

fn done(occurrence: u32) -> TaskProgress {
    TaskProgress {
        occurrence,
        done: true,
        last_run: 1,
        ..TaskProgress::default()
    }
}

/// A successor that has restored the job from its stored progress.
fn successor(job: (JobRecord, JobSpec), tasks: Vec<TaskProgress>, now_ms: u64) -> PoolScheduler {
    let progress = JobProgress {
        status: JobStatus::Running,
        tasks,
        ..JobProgress::default()
    };
    let mut scheduler = ready_scheduler(&["w1"]);
    let (record, spec) = job;
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(now_ms));
    scheduler
}

fn task_name(occurrence: u32) -> String {
    format!("{}.{occurrence}.0.0", job_id(1))
}

/// Applies a report that lists an occurrence's run as active or done; returns whether
/// the run is ordered to stop.
fn report(scheduler: &mut PoolScheduler, occurrence: u32, is_done: bool, now_ms: u64) -> bool {
    let task = task_name(occurrence).parse().expect("a valid task ID");
    let mut report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        ..WorkerReport::default()
    };
    if is_done {
        report.completions.push(RunCompletion {
            sequence: 1,
            task,
            run: 1,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        });
    } else {
        report.running.push(ActiveRun {
            task,
            run: 1,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
    }
    scheduler.renewal_replied(0, Ok(report), at(now_ms));
    let actions = scheduler.take_actions();
    actions
        .iter()
        .any(|action| matches!(action, Action::Stop { task: stopped, .. } if *stopped == task))
}

/// Guards against an occurrence that is stopped and never started again: its owner was
/// killed while it was at work and later ones were done.
#[test]
fn a_successor_goes_on_with_an_occurrence_that_later_ones_have_overtaken() {
    let tasks = vec![done(1), done(2)];
    let mut scheduler = successor(scheduled_job(3, 0), tasks, 2500);
    assert!(!report(&mut scheduler, 0, false, 2600));
    assert!(starts(&mut scheduler, 2700).is_empty());
    assert!(!report(&mut scheduler, 0, true, 2800));
    store_batches(&mut scheduler, 2800);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
}

/// The same where the run was lost together with the owner.
#[test]
fn a_successor_starts_an_occurrence_again_that_later_ones_have_overtaken() {
    let tasks = vec![done(0), done(3)];
    let mut scheduler = successor(scheduled_job(4, 0), tasks, 3500);
    answer_renewals(&mut scheduler, 3600);
    scheduler.confirm_ownership(3600);
    scheduler.tick(at(3600));
    let started = starts(&mut scheduler, 3600);
    let started: Vec<&str> = started.iter().map(|(_, task, _)| task.as_str()).collect();
    assert_eq!(started, [task_name(1), task_name(2)]);
}

/// Guards against a run that is stopped since the successor's clock is behind, so that
/// the occurrence is not due for it.
#[test]
fn a_successor_with_a_slow_clock_goes_on_with_an_occurrence_that_has_begun() {
    let mut scheduler = successor(scheduled_job(2, 3000), Vec::new(), 2000);
    assert!(!report(&mut scheduler, 0, false, 2100));
    assert!(starts(&mut scheduler, 3100).is_empty());
}

/// Guards against a completion that is acknowledged and not recorded, for the same
/// reason: the task would run a second time.
#[test]
fn a_successor_with_a_slow_clock_records_an_occurrence_that_is_done() {
    let mut scheduler = successor(scheduled_job(1, 3000), Vec::new(), 2000);
    report(&mut scheduler, 0, true, 2100);
    store_batches(&mut scheduler, 2200);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
    assert!(starts(&mut scheduler, 3100).is_empty());
}
