//! Reports that leave out runs or completions: beyond the platform's limit, or in rows
//! that can't be read.

use cornelpoint::job::JobProgress;
use cornelpoint::job::JobStatus;
use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::ActiveRun;
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
use crate::support::step;
use crate::support::submit;

/// Completions in one report at most, as the platform states.
const MAX_COMPLETIONS: usize = 500;
/// More tasks than completions fit in two reports.
const TASKS: u32 = 1200;
const INTERVAL_MS: u64 = 5;
const LEASE_MS: u64 = 4000;
const STOP_MS: u64 = 400;

/// The worker `w1` and the scheduler of its pool.
struct Pool {
    scheduler: PoolScheduler,
    store_answers: bool,
    running: Vec<(TaskId, u64)>,
    /// Whether the rows of runs can't be read.
    unreadable: bool,
    completions: Vec<RunCompletion>,
    last_sequence: u64,
    starts: Vec<(TaskId, u64)>,
    stops: Vec<(TaskId, u64)>,
    renewals: usize,
}

impl Pool {
    fn new(scheduler: PoolScheduler) -> Self {
        Self {
            scheduler,
            store_answers: true,
            running: Vec::new(),
            unreadable: false,
            completions: Vec::new(),
            last_sequence: 0,
            starts: Vec::new(),
            stops: Vec::new(),
            renewals: 0,
        }
    }

    /// Returns the pool after a takeover. The predecessor's leases end at
    /// `leases_end_ms`.
    fn taken_over(tasks: u64, leases_end_ms: u64) -> Self {
        let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
        let queue = queue();
        scheduler.set_queues(std::iter::once(&queue));
        let (record, spec) = job(vec![small_step(tasks)]);
        let progress = JobProgress::default();
        scheduler.restore(job_id(1), record, spec, Some(&progress), at(0));
        let worker = WorkerRecord {
            id: "w1".to_owned(),
            born_unix_ms: 5,
            machine: Some("machine-w1".to_owned()),
        };
        scheduler.set_predecessor(vec![worker], leases_end_ms);
        scheduler.confirm_ownership(0);
        scheduler.apply_registry(&[entry("w1", 5)], true, at(0));
        Self::new(scheduler)
    }

    fn end_run(&mut self, task: TaskId, run: u64, kind: CompletionKind) {
        self.last_sequence += 1;
        self.completions.push(RunCompletion {
            sequence: self.last_sequence,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.running.iter().map(|&(task, run)| ActiveRun {
            task,
            run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
        let readable = running.filter(|_| !self.unreadable);
        let completions = self.completions.iter().take(MAX_COMPLETIONS).cloned();
        WorkerReport {
            born_unix_ms: 5,
            clock_ms: now_ms + 1000,
            running: readable.collect(),
            completions: completions.collect(),
            completeness: if self.completions.len() >= MAX_COMPLETIONS {
                Completeness::MoreCompletions
            } else if self.unreadable {
                Completeness::UnreadableRows
            } else {
                Completeness::Complete
            },
        }
    }

    fn advance(&mut self, now_ms: u64) {
        self.scheduler.confirm_ownership(now_ms);
        self.scheduler.tick(at(now_ms));
        for action in self.scheduler.take_actions() {
            let done = OrderOutcome::Done {
                clock_ms: now_ms + 1000,
            };
            match action {
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                } => {
                    self.starts.push((task, run));
                    self.running.push((task, run));
                    self.scheduler
                        .start_replied(incarnation, task, run, done, at(now_ms));
                }
                Action::Stop {
                    incarnation,
                    task,
                    run,
                } => {
                    self.stops.push((task, run));
                    self.scheduler
                        .stop_replied(incarnation, task, run, done, at(now_ms));
                }
                Action::RenewLease {
                    incarnation,
                    acknowledged,
                    ..
                } => {
                    self.renewals += 1;
                    self.completions
                        .retain(|completion| completion.sequence > acknowledged);
                    let report = self.report(now_ms);
                    self.scheduler
                        .renewal_replied(incarnation, Ok(report), at(now_ms + 2));
                }
                _ => {}
            }
        }
        if self.scheduler.begin_batch(at(now_ms)).is_some() {
            let outcome = if self.store_answers {
                BatchOutcome::Stored
            } else {
                BatchOutcome::Unknown
            };
            self.scheduler.batch_replied(outcome, at(now_ms));
        }
    }

    fn advance_until(&mut self, from_ms: u64, until_ms: u64) {
        let step_ms = usize::try_from(INTERVAL_MS).unwrap();
        for now_ms in (from_ms..until_ms).step_by(step_ms) {
            self.advance(now_ms);
        }
    }

    /// Ends the runs of the first job's tasks as done.
    fn end_first_runs(&mut self) {
        for index in 0..TASKS {
            let task = format!("{}.0.0.{index}", job_id(1));
            self.end_run(task.parse().unwrap(), 1, CompletionKind::Done);
        }
    }

    fn assert_completed_by_first_runs(&self, starts: usize) {
        assert_eq!(self.starts.len(), starts, "starts");
        let status = self.scheduler.status(job_id(1));
        assert_eq!(status, Some(JobStatus::Completed));
        assert!(
            self.completions.len() < MAX_COMPLETIONS,
            "{} completions unread",
            self.completions.len()
        );
    }
}

fn small_step(tasks: u64) -> RawStep {
    RawStep {
        memory_mb: 0,
        ..step(tasks, 0)
    }
}

/// Returns a pool whose job of one task is confirmed as running, in a row that can't be
/// read from 2000 ms on.
fn with_unreadable_run() -> Pool {
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    submit(&mut pool.scheduler, 1, vec![small_step(1)], 100);
    pool.advance_until(500, 2000);
    assert_eq!(pool.starts.len(), 1);
    pool.unreadable = true;
    pool
}

/// The worker lists the first 500 of its completions; runs of the others are in no list.
#[test]
fn tasks_run_twice_whose_completions_exceed_a_report() {
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    submit(&mut pool.scheduler, 1, vec![small_step(TASKS.into())], 100);
    pool.advance_until(500, 1000);
    assert_eq!(pool.starts.len(), TASKS as usize);
    for (task, run) in std::mem::take(&mut pool.running) {
        pool.end_run(task, run, CompletionKind::Done);
    }
    pool.advance_until(1000, 3000);
    pool.assert_completed_by_first_runs(TASKS as usize);
}

/// The same while the store doesn't answer: nothing can be acknowledged.
#[test]
fn tasks_run_twice_whose_completions_exceed_a_report_during_an_outage_of_the_store() {
    let mut pool = Pool::new(ready_scheduler(&["w1"]));
    submit(&mut pool.scheduler, 1, vec![small_step(TASKS.into())], 100);
    pool.advance_until(500, 1000);
    for (task, run) in std::mem::take(&mut pool.running) {
        pool.end_run(task, run, CompletionKind::Done);
    }
    pool.store_answers = false;
    pool.advance_until(1000, 1000 + 2 * LEASE_MS);
    pool.store_answers = true;
    pool.advance_until(1000 + 2 * LEASE_MS, 3000 + 2 * LEASE_MS);
    pool.assert_completed_by_first_runs(TASKS as usize);
}

/// The successor learns of the runs from these reports only.
#[test]
fn a_successor_starts_tasks_again_whose_completions_exceed_a_report() {
    let mut pool = Pool::taken_over(TASKS.into(), 2 * LEASE_MS);
    pool.end_first_runs();
    pool.advance_until(0, LEASE_MS);
    pool.assert_completed_by_first_runs(0);
}

/// The leases of the predecessor end before the store has answered.
#[test]
fn a_successor_starts_tasks_again_when_the_leases_end_before_their_completions_are_read() {
    let mut pool = Pool::taken_over(TASKS.into(), LEASE_MS);
    pool.end_first_runs();
    pool.store_answers = false;
    pool.advance_until(0, 2 * LEASE_MS);
    pool.store_answers = true;
    pool.advance_until(2 * LEASE_MS, 3 * LEASE_MS);
    pool.assert_completed_by_first_runs(0);
}

#[test]
fn a_task_runs_twice_when_the_row_of_its_run_can_not_be_read() {
    let mut pool = with_unreadable_run();
    pool.advance_until(2000, 2000 + LEASE_MS);
    assert_eq!(pool.starts.len(), 1, "{:?}", pool.starts);
    // It can be read again.
    pool.unreadable = false;
    pool.advance_until(2000 + LEASE_MS, 4000 + LEASE_MS);
    assert_eq!((pool.starts.len(), pool.stops.len()), (1, 0));
}

/// The worker drops the run on the order to stop it and lists no completion.
#[test]
fn an_unreadable_row_keeps_a_task_for_ever() {
    let mut pool = with_unreadable_run();
    let end_ms = 2000 + 3 * LEASE_MS;
    let mut stopped_ms = None;
    for now_ms in (2000..end_ms).step_by(20) {
        pool.advance(now_ms);
        if !pool.stops.is_empty() {
            stopped_ms.get_or_insert(now_ms);
        }
        if pool.starts.len() > 1 {
            let stopped_ms = stopped_ms.expect("stopped before it is started again");
            assert!(now_ms > stopped_ms + STOP_MS, "the stop may be in progress");
            assert_eq!(pool.stops[0], pool.starts[0]);
            return;
        }
    }
    panic!("not started again");
}

/// A run that the successor doesn't know may be in that row until the leases end.
#[test]
fn a_successor_starts_a_task_beside_its_run_in_an_unreadable_row() {
    let mut pool = Pool::taken_over(1, LEASE_MS);
    pool.unreadable = true;
    pool.advance_until(0, LEASE_MS);
    assert_eq!(pool.starts.len(), 0, "{:?}", pool.starts);
    pool.advance_until(LEASE_MS, LEASE_MS + 1000);
    assert_eq!(pool.starts.len(), 1, "started once the leases have ended");
}

/// A worker answers at once while it has completions that are not acknowledged.
#[test]
fn a_worker_with_an_unreadable_row_is_asked_without_pause() {
    let mut pool = with_unreadable_run();
    let renewals = pool.renewals;
    pool.advance_until(2000, 5000);
    let renewals = pool.renewals - renewals;
    assert!(
        renewals <= 11,
        "{renewals} renewals in 3 s, every 300 ms at most"
    );
}
