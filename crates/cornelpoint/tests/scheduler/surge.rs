//! Thousands of tasks that become ready at once.

use std::collections::BTreeMap;

use cornelpoint::job::JobId;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

type Start = (u32, TaskId, u64);

/// Returns the starts that are ordered now.
fn ordered(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<Start> {
    scheduler.confirm_ownership(now_ms);
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start {
            incarnation,
            task,
            run,
            ..
        } => Some((incarnation, task, run)),
        _ => None,
    });
    starts.collect()
}

fn answer(scheduler: &mut PoolScheduler, start: Start, outcome: OrderOutcome, now_ms: u64) {
    let (incarnation, task, run) = start;
    scheduler.start_replied(incarnation, task, run, outcome, at(now_ms));
}

/// A pool of 120 workers with four free cores each and 400 tasks of one core.
fn surge() -> PoolScheduler {
    let ids: Vec<String> = (0..120).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = ready_scheduler(&ids);
    for number in 1..=50 {
        submit(&mut scheduler, number, vec![step(8, 1000)], 100);
    }
    store_batches(&mut scheduler, 110);
    scheduler
}

/// Guards against orders that time out while the process handles the answers to
/// others: a surge of 2,400 tasks a second made an owner send thousands at once, of
/// which most were sent again after their timeout.
#[test]
fn orders_to_start_in_flight_are_bounded() {
    let limit = SchedulerSettings::default().max_starts_in_flight;
    let mut scheduler = surge();
    let mut in_flight = ordered(&mut scheduler, 1000);
    assert_eq!(in_flight.len(), limit);
    assert!(ordered(&mut scheduler, 1001).is_empty());
    let mut total = in_flight.len();
    let mut now_ms = 1002;
    while !in_flight.is_empty() {
        for start in in_flight.drain(..40.min(in_flight.len())) {
            let done = OrderOutcome::Done { clock_ms: now_ms };
            answer(&mut scheduler, start, done, now_ms);
        }
        let more = ordered(&mut scheduler, now_ms);
        total += more.len();
        in_flight.extend(more);
        assert!(in_flight.len() <= limit);
        now_ms += 1;
    }
    assert_eq!(total, 400);
}

/// Guards against a limit that is never freed by the orders to a worker that has
/// ended.
#[test]
fn orders_to_an_ended_worker_do_not_count_as_in_flight() {
    let mut scheduler = surge();
    let in_flight = ordered(&mut scheduler, 1000);
    let (ended, _, _) = in_flight[0];
    let of_ended = in_flight.iter().filter(|(worker, _, _)| *worker == ended);
    let of_ended = of_ended.count();
    let (_, task, run) = in_flight[0];
    let other_life = OrderOutcome::Rejected(cornelpoint::worker::Rejection::OtherLife);
    answer(&mut scheduler, (ended, task, run), other_life, 1005);
    assert_eq!(ordered(&mut scheduler, 1010).len(), of_ended);
}

/// Guards against running work that is given up since the owner was too busy to
/// send an order: that says nothing about the worker.
#[test]
fn an_order_that_waited_for_a_connection_leaves_its_worker_in_use() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let started = ordered(&mut scheduler, 120);
    assert_eq!(started.len(), 1);
    answer(&mut scheduler, started[0], OrderOutcome::Busy, 720);
    let again = ordered(&mut scheduler, 721);
    assert_eq!(again.len(), 1, "the worker is usable at once");
    assert_eq!(again[0].1, started[0].1);
    assert!(again[0].2 > started[0].2);
}

/// Duration of a transaction of the store, with the way there and back.
const TRANSACTION_MS: u64 = 25;
/// Mean duration of a task; the durations spread over half of it either way.
const TASK_MS: u64 = 640;
/// Longest wait for the acceptance of a job: an entry instance waits for an owner
/// this long.
const MAX_ACCEPT_MS: u64 = 1200;
/// Longest time from a completion to its acknowledgement.
const MAX_ACKNOWLEDGE_MS: u64 = 1200;

/// Worker that ends its runs at given times.
#[derive(Default)]
pub(crate) struct Worker {
    /// Active runs with the times of their ends.
    pub(crate) active: Vec<(TaskId, u64, u64)>,
    /// Completions with the times at which they were listed.
    completions: Vec<(RunCompletion, u64)>,
    last_sequence: u64,
    pub(crate) renewal: Option<u64>,
}

impl Worker {
    pub(crate) fn end_runs(&mut self, now_ms: u64) {
        let (ended, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|(_, _, end_ms)| *end_ms <= now_ms);
        self.active = active;
        let ended: Vec<(TaskId, u64, u64)> = ended;
        for (task, run, _) in ended {
            self.last_sequence += 1;
            let completion = RunCompletion {
                sequence: self.last_sequence,
                task,
                run,
                kind: CompletionKind::Done,
                checkpoint: String::new(),
            };
            self.completions.push((completion, now_ms));
        }
    }

    /// Acknowledges completions; returns the longest time that one had waited.
    pub(crate) fn acknowledge(&mut self, sequence: u64, now_ms: u64) -> u64 {
        let (acknowledged, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.completions)
            .into_iter()
            .partition(|(completion, _)| completion.sequence <= sequence);
        self.completions = left;
        let waits = acknowledged.iter().map(|(_, at_ms)| now_ms - at_ms);
        waits.max().unwrap_or(0)
    }

    /// Returns the report on a lease renewal, if there is something to report or the
    /// renewal's wait is over.
    pub(crate) fn due_report(&mut self, now_ms: u64) -> Option<WorkerReport> {
        let at_ms = self.renewal?;
        if at_ms > now_ms && self.completions.is_empty() {
            return None;
        }
        self.renewal = None;
        Some(self.report(now_ms))
    }

    fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.active.iter().map(|&(task, run, _)| ActiveRun {
            task,
            run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
        let completions = self.completions.iter();
        WorkerReport {
            born_unix_ms: 5,
            clock_ms: now_ms + 1000,
            running: running.collect(),
            completions: completions.map(|(ended, _)| ended.clone()).collect(),
            ..WorkerReport::default()
        }
    }
}

/// Guards against rows that wait while others are stored again and again: in a surge
/// each transaction of the store is full, the rows of jobs with low identifiers came
/// first, and completions were acknowledged only when no row waited. Replays ten
/// seconds with 600 jobs of four tasks a second.
#[test]
fn rows_are_stored_in_turn_in_a_surge() {
    let ids: Vec<String> = (0..120).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = ready_scheduler(&ids);
    let mut workers: BTreeMap<u32, Worker> = BTreeMap::new();
    let mut submitted: BTreeMap<JobId, u64> = BTreeMap::new();
    let mut stored_at_ms = None;
    let (mut longest_accept_ms, mut longest_acknowledge_ms) = (0, 0);
    let mut accepted = 0;
    for now_ms in (1000..11_000).step_by(5) {
        scheduler.confirm_ownership(now_ms);
        for number in now_ms * 3..now_ms * 3 + 3 {
            // Identifiers are in no order.
            let id = job_id((number * 0x9E37_79B9) & 0xFFFF_FFFF);
            let (record, spec) = job(vec![step(4, 300)]);
            if scheduler.submit(id, record, spec, at(now_ms)) == SubmitAnswer::Storing {
                submitted.insert(id, now_ms);
            }
        }
        if stored_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            stored_at_ms = None;
            let stored = scheduler.batch_replied(BatchOutcome::Stored, at(now_ms));
            for id in stored.accepted {
                let waited_ms = now_ms - submitted.remove(&id).unwrap();
                longest_accept_ms = longest_accept_ms.max(waited_ms);
                accepted += 1;
            }
        }
        for (&incarnation, worker) in &mut workers {
            worker.end_runs(now_ms);
            if let Some(report) = worker.due_report(now_ms) {
                scheduler.renewal_replied(incarnation, Ok(report), at(now_ms));
            }
        }
        scheduler.tick(at(now_ms));
        for action in scheduler.take_actions() {
            match action {
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                } => {
                    let worker = workers.entry(incarnation).or_default();
                    let spread_ms = (u64::from(task.index) * 397 + now_ms * 31) % TASK_MS;
                    let end_ms = now_ms + TASK_MS / 2 + spread_ms;
                    worker.active.push((task, run, end_ms));
                    let done = OrderOutcome::Done {
                        clock_ms: now_ms + 1000,
                    };
                    scheduler.start_replied(incarnation, task, run, done, at(now_ms));
                }
                Action::RenewLease {
                    incarnation,
                    acknowledged,
                    wait_ms,
                    ..
                } => {
                    let worker = workers.entry(incarnation).or_default();
                    let waited_ms = worker.acknowledge(acknowledged, now_ms);
                    longest_acknowledge_ms = longest_acknowledge_ms.max(waited_ms);
                    worker.renewal = Some(now_ms + wait_ms);
                }
                _ => {}
            }
        }
        if stored_at_ms.is_none() && scheduler.begin_batch(at(now_ms)).is_some() {
            stored_at_ms = Some(now_ms + TRANSACTION_MS);
        }
    }
    let waiting_ms = submitted.values().map(|at_ms| 11_000 - at_ms).max();
    longest_accept_ms = longest_accept_ms.max(waiting_ms.unwrap_or(0));
    let listed = workers
        .values()
        .flat_map(|worker| worker.completions.iter());
    let listed_ms = listed.map(|(_, at_ms)| 11_000 - at_ms).max();
    longest_acknowledge_ms = longest_acknowledge_ms.max(listed_ms.unwrap_or(0));
    assert!(accepted > 500, "{accepted} jobs accepted");
    assert!(
        longest_accept_ms <= MAX_ACCEPT_MS,
        "accepted after {longest_accept_ms} ms"
    );
    assert!(
        longest_acknowledge_ms <= MAX_ACKNOWLEDGE_MS,
        "acknowledged after {longest_acknowledge_ms} ms"
    );
}

/// Guards against callers that are held until their time is up, four hundred of them in
/// an outage of four seconds, though nothing can be stored.
#[test]
fn jobs_are_rejected_at_once_while_the_store_is_down() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut submit_at = |number, now_ms| {
        let (record, spec) = job(vec![step(1, 1000)]);
        let answer = scheduler.submit(job_id(number), record, spec, at(now_ms));
        let began = scheduler.begin_batch(at(now_ms)).is_some();
        (answer, began)
    };
    assert_eq!(submit_at(1, 1000), (SubmitAnswer::Storing, true));
    assert_eq!(submit_at(2, 1500), (SubmitAnswer::Storing, false));
    let rejected = SubmitAnswer::Rejected {
        retry_after_ms: 2000,
    };
    assert_eq!(submit_at(3, 1600), (rejected, false));
    assert_eq!(submit_at(1, 1700), (SubmitAnswer::Storing, false));
    // The next commit is tried at once where the store resets connections.
    scheduler.batch_replied(BatchOutcome::Unknown, at(1710));
    assert!(scheduler.begin_batch(at(1740)).is_some());
    let (record, spec) = job(vec![step(1, 1000)]);
    let answer = scheduler.submit(job_id(3), record, spec, at(1750));
    assert_eq!(answer, rejected);
    let stored = scheduler.batch_replied(BatchOutcome::Stored, at(1800));
    assert_eq!(stored.accepted, [job_id(1), job_id(2)]);
    let (record, spec) = job(vec![step(1, 1000)]);
    let answer = scheduler.submit(job_id(3), record, spec, at(1900));
    assert_eq!(answer, SubmitAnswer::Storing);
}
