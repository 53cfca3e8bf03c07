//! The size of what is stored of a job, and what a successor makes of it.

use std::collections::BTreeMap;

use cornelpoint::job::BlockKey;
use cornelpoint::job::BlockProgress;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::job::RawJob;
use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::job::TaskProgress;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::Batch;
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
/// Limits of a transaction.
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
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
    blocks: BTreeMap<BlockKey, BlockProgress>,
    /// Checkpoint that each run reports.
    checkpoint: String,
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
            blocks: BTreeMap::new(),
            checkpoint: String::new(),
            largest_bytes: 0,
        }
    }

    /// Returns a successor that has read what is stored.
    fn successor(&self, record: JobRecord, spec: JobSpec, now_ms: u64) -> Self {
        let mut successor = Self::new(ready_scheduler(&["w1"]));
        let blocks = self.blocks.iter();
        let blocks = blocks.map(|(key, progress)| (key.block, progress.clone()));
        let (progress, blocks) = (self.progress.clone(), blocks.collect());
        let scheduler = &mut successor.scheduler;
        scheduler.restore_split(job_id(1), record, spec, progress, blocks, at(now_ms));
        successor
    }

    /// Returns the number of tasks that are stored as done, but for done occurrences.
    fn stored_done(&self) -> usize {
        let steps = self.progress.steps.iter().map(|step| step.done.len());
        let blocks = self.blocks.values().map(|block| block.done.len());
        steps.chain(blocks).sum()
    }

    /// Applies a batch as the platform's store would, which limits entries and size.
    fn store(&mut self, batch: Batch) {
        let progress = batch.progress.iter();
        let progress = progress.map(|(_, value)| rmp_serde::to_vec_named(value).unwrap().len());
        let blocks = batch.blocks.iter();
        let blocks = blocks.map(|(_, value)| rmp_serde::to_vec_named(value).unwrap().len());
        let sizes: Vec<usize> = progress.chain(blocks).collect();
        let entries = sizes.len() + batch.obsolete_blocks.len() + batch.records.len();
        assert!(entries < MAX_ENTRIES, "{entries} entries");
        let bytes = sizes.iter().sum::<usize>() * 4 / 3;
        assert!(bytes < MAX_TRANSACTION_BYTES, "{bytes} bytes");
        let largest = sizes.into_iter().max().unwrap_or(0);
        self.largest_bytes = self.largest_bytes.max(largest);
        if let Some((_, progress)) = batch.progress.into_iter().last() {
            self.progress = progress;
        }
        self.blocks.extend(batch.blocks);
        for key in &batch.obsolete_blocks {
            self.blocks.remove(key);
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
                checkpoint: self.checkpoint.clone(),
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
            self.store(batch);
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
    let mut successor = pool.successor(record, spec, middle_ms);
    for now_ms in (middle_ms..middle_ms + COUNT * INTERVAL_MS).step_by(5) {
        successor.step(now_ms, |_| false);
    }
    let status = successor.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
    let once = usize::try_from(COUNT).unwrap() * 8;
    let not_done = pool.blocks.values().map(|block| 8 - block.done.len());
    let expected = once - done * 8 - (7 * pool.blocks.len());
    assert_eq!(not_done.sum::<usize>(), pool.blocks.len());
    assert!(pool.blocks.len() > 5, "{} occurrences", pool.blocks.len());
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
    let done = pool.stored_done();
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

/// Guards against ends that are acknowledged though the store has refused their job's
/// progress, which outgrew a transaction: a successor started the tasks again.
#[test]
fn tasks_run_twice_whose_progress_outgrows_a_transaction() {
    const TASKS: u64 = 3000;
    const SHORT: usize = 100;
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    pool.checkpoint = "c".repeat(400);
    let small = RawStep {
        memory_mb: 0,
        saves_progress: true,
        ..step(TASKS, 0)
    };
    let (record, spec) = job(vec![small]);
    let scheduler = &mut pool.scheduler;
    scheduler.submit_from_inbox(job_id(1), record.clone(), spec.clone(), at(50));
    let is_short = |task: TaskId| task.index.is_multiple_of(30);
    for now_ms in (50..4000).step_by(20) {
        pool.step(now_ms, |task| !is_short(task));
    }
    assert_eq!(pool.started as u64, TASKS);
    assert!(pool.completions.is_empty(), "ends are not acknowledged");
    assert_eq!(pool.last_sequence, SHORT as u64);
    assert_eq!(pool.stored_done(), SHORT);
    let kept = pool.blocks.values().flat_map(|block| &block.tasks);
    assert_eq!(
        kept.filter(|task| !task.checkpoint.is_empty()).count() as u64,
        TASKS - 100
    );

    let mut successor = pool.successor(record, spec, 4000);
    for now_ms in (4000..6000).step_by(20) {
        successor.step(now_ms, |_| true);
    }
    assert_eq!(successor.started as u64, TASKS - 100);
    let ended = successor.running.iter().filter(|(task, _)| is_short(*task));
    assert_eq!(ended.count(), 0, "tasks that had ended are started again");
    successor.scheduler.cancel(job_id(1), at(6000));
    successor.blocks = pool.blocks;
    for now_ms in (6000..7000).step_by(20) {
        successor.step(now_ms, |_| true);
    }
    assert_eq!(successor.progress.status, JobStatus::Cancelled);
    assert_eq!(successor.blocks.len(), 0, "blocks of a final job are left");
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
