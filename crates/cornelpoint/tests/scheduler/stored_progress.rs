//! The size of what is stored of a job, and what a successor makes of it.

use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::job::RawJob;
use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::job::TaskProgress;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;

/// Largest value of a row, as the platform states.
const ROW_BYTES: usize = 65_536;
const INTERVAL_MS: u64 = 10;

/// A worker that ends each run at once, unless `runs_on` says otherwise.
struct Pool {
    scheduler: PoolScheduler,
    acknowledged: u64,
    last_sequence: u64,
    running: Vec<(TaskId, u64)>,
    completions: Vec<RunCompletion>,
    started: usize,
    progress: JobProgress,
    largest_bytes: usize,
}

impl Pool {
    fn new(scheduler: PoolScheduler) -> Self {
        Self {
            scheduler,
            acknowledged: 0,
            last_sequence: 0,
            running: Vec::new(),
            completions: Vec::new(),
            started: 0,
            progress: JobProgress::default(),
            largest_bytes: 0,
        }
    }

    fn step(&mut self, now_ms: u64, runs_on: impl Fn(TaskId) -> bool) {
        self.scheduler.confirm_ownership(now_ms);
        self.scheduler.tick(at(now_ms));
        let mut answers_renewal = false;
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                } => {
                    let done = OrderOutcome::Done {
                        clock_ms: now_ms + 1000,
                    };
                    self.scheduler
                        .start_replied(incarnation, task, run, done, at(now_ms));
                    self.started += 1;
                    if runs_on(task) {
                        self.running.push((task, run));
                    } else {
                        self.last_sequence += 1;
                        self.completions.push(RunCompletion {
                            sequence: self.last_sequence,
                            task,
                            run,
                            kind: CompletionKind::Done,
                            checkpoint: String::new(),
                        });
                    }
                }
                Action::RenewLease { acknowledged, .. } => {
                    self.acknowledged = acknowledged;
                    answers_renewal = true;
                }
                _ => {}
            }
        }
        let acknowledged = self.acknowledged;
        self.completions
            .retain(|completion| completion.sequence > acknowledged);
        if answers_renewal {
            let running = self.running.iter().map(|&(task, run)| ActiveRun {
                task,
                run,
                checkpoint: String::new(),
                speed_percent: 100,
                gauge: 0,
            });
            let report = WorkerReport {
                born_unix_ms: 5,
                clock_ms: now_ms + 1000,
                running: running.collect(),
                completions: self.completions.clone(),
                ..WorkerReport::default()
            };
            self.scheduler.renewal_replied(0, Ok(report), at(now_ms));
        }
        if let Some(batch) = self.scheduler.begin_batch(at(now_ms)) {
            for (_, progress) in batch.progress {
                let bytes = rmp_serde::to_vec_named(&progress).unwrap().len();
                self.largest_bytes = self.largest_bytes.max(bytes);
                self.progress = progress;
            }
            self.scheduler
                .batch_replied(BatchOutcome::Stored, at(now_ms));
        }
    }
}

fn scheduled_job(count: u64, tasks: u64) -> (JobRecord, JobSpec) {
    let (mut record, _) = job(vec![step(tasks, 100)]);
    record.job = RawJob {
        repeat_count: count,
        first_unix_ms: at(100).unix_ms,
        interval_ms: INTERVAL_MS,
        ..record.job
    };
    let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
    (record, spec)
}

/// Guards against a pool that stores nothing any more: the progress of a job that had
/// run 230 times outgrew its row, which was tried again for ever.
#[test]
fn progress_of_a_job_that_runs_often_fits_a_row() {
    const COUNT: u64 = 2000;
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    let (record, spec) = scheduled_job(COUNT, 8);
    pool.scheduler
        .submit_from_inbox(job_id(1), record.clone(), spec.clone(), at(50));
    // The first occurrence lasts; each hundredth one runs on, too.
    let runs_on = |task: TaskId| task.step.occurrence.is_multiple_of(100) && task.index == 0;
    for now_ms in (50..100 + COUNT * INTERVAL_MS / 2).step_by(5) {
        pool.step(now_ms, runs_on);
    }
    let done = pool.progress.done_occurrences.len();
    assert!(done > 900, "{done} occurrences are stored as done");
    assert!(
        pool.largest_bytes <= ROW_BYTES,
        "{} bytes",
        pool.largest_bytes
    );

    let middle_ms = 100 + COUNT * INTERVAL_MS / 2;
    let mut successor = Pool::new(ready_scheduler(&["w1"]));
    let progress = pool.progress.clone();
    successor
        .scheduler
        .restore(job_id(1), record, spec, Some(&progress), at(middle_ms));
    for now_ms in (middle_ms..middle_ms + COUNT * INTERVAL_MS).step_by(5) {
        successor.step(now_ms, |_| false);
    }
    let status = successor.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
    let once = usize::try_from(COUNT).unwrap() * 8;
    let not_done = pool.progress.steps.iter().map(|step| 8 - step.done.len());
    let expected = once - done * 8 - (7 * pool.progress.steps.len());
    assert_eq!(not_done.sum::<usize>(), pool.progress.steps.len());
    assert_eq!(successor.started, expected);
}

/// The same for one step of thousands of tasks, of which each third one is not done.
#[test]
fn progress_of_a_step_of_many_tasks_fits_a_row() {
    const TASKS: u64 = 9000;
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    let small = RawStep {
        memory_mb: 0,
        ..step(TASKS, 0)
    };
    let (record, spec) = job(vec![small]);
    pool.scheduler
        .submit_from_inbox(job_id(1), record, spec, at(50));
    let runs_on = |task: TaskId| task.index.is_multiple_of(3);
    for now_ms in (50..3000).step_by(5) {
        pool.step(now_ms, runs_on);
    }
    let done: usize = pool.progress.steps.iter().map(|step| step.done.len()).sum();
    assert!(
        done > 5000,
        "{done} tasks are stored as done, {} started",
        pool.started
    );
    assert!(
        pool.largest_bytes <= ROW_BYTES,
        "{} bytes",
        pool.largest_bytes
    );
}

/// Rows of earlier versions list each task that is done.
#[test]
fn progress_that_lists_each_done_task_is_restored() {
    let tasks = [0, 1].map(|index| TaskProgress {
        index,
        done: true,
        last_run: 1,
        ..TaskProgress::default()
    });
    let progress = JobProgress {
        status: JobStatus::Running,
        tasks: tasks.to_vec(),
        ..JobProgress::default()
    };
    let mut scheduler = ready_scheduler(&["w1"]);
    let (record, spec) = job(vec![step(3, 1000)]);
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(100));
    let started = starts(&mut scheduler, 200);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, "0000000000000001.0.0.2");
}
