//! Reports that list as many ends of runs as a report may hold, and leave out later ones.

use cornelpoint::job::JobProgress;
use cornelpoint::job::JobStatus;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::Completeness;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Ends that a worker lists at a time.
const LISTED: u64 = 500;

fn completion(sequence: u64, task: TaskId) -> RunCompletion {
    RunCompletion {
        sequence,
        task,
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    }
}

/// Returns a report of a worker that runs nothing.
fn report(completions: Vec<RunCompletion>, now_ms: u64) -> WorkerReport {
    WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        completions,
        ..WorkerReport::default()
    }
}

/// Returns a report whose ends are of other tasks.
fn cut_report(now_ms: u64) -> WorkerReport {
    let completions = (1..=LISTED).map(|sequence| {
        let task = format!("{}.0.0.0", job_id(1000 + sequence));
        completion(sequence, task.parse().unwrap())
    });
    WorkerReport {
        completeness: Completeness::MoreCompletions,
        ..report(completions.collect(), now_ms)
    }
}

/// Guards against tasks that run twice: the end of a run is not among those that a report
/// has room for, and the run was taken to be lost.
#[test]
fn a_run_whose_end_a_report_leaves_out_is_started_again() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let ordered = starts(&mut scheduler, 200);
    assert_eq!(ordered.len(), 1);
    let task: TaskId = ordered[0].1.parse().unwrap();
    let done = OrderOutcome::Done { clock_ms: 1202 };
    scheduler.start_replied(0, task, 1, done, at(202));
    assert!(starts(&mut scheduler, 210).is_empty());
    scheduler.renewal_replied(0, Ok(cut_report(800)), at(800));
    assert!(starts(&mut scheduler, 810).is_empty(), "started again");
    store_batches(&mut scheduler, 820);
    assert!(starts(&mut scheduler, 1200).is_empty(), "started again");
    let last = report(vec![completion(LISTED + 1, task)], 1300);
    scheduler.renewal_replied(0, Ok(last), at(1300));
    store_batches(&mut scheduler, 1400);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
}

/// Guards against tasks that run twice after a takeover: the successor takes a report
/// that leaves out ends for all that the worker has to say of its predecessor's runs.
#[test]
fn a_successor_starts_a_task_whose_end_a_report_leaves_out() {
    let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let record = WorkerRecord {
        id: "w1".to_owned(),
        born_unix_ms: 5,
        machine: None,
    };
    scheduler.set_predecessor(vec![record], 10_000);
    let (record, spec) = job(vec![step(1, 1000)]);
    let progress = JobProgress::default();
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(0));
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&[entry("w1", 5), entry("w2", 5)], true, at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    scheduler.renewal_replied(1, Ok(report(Vec::new(), 100)), at(100));
    scheduler.renewal_replied(0, Ok(cut_report(100)), at(100));
    assert!(starts(&mut scheduler, 200).is_empty(), "started again");
    store_batches(&mut scheduler, 300);
    let task = format!("{}.0.0.0", job_id(1)).parse().unwrap();
    let last = report(vec![completion(LISTED + 1, task)], 700);
    scheduler.renewal_replied(0, Ok(last), at(700));
    store_batches(&mut scheduler, 800);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
}
