//! Leases on workers that were idle for a long time, and whose clocks may be slow.

use cornelpoint::job::JobProgress;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::OrderOutcome;

use crate::fake_worker::FakeWorker;
use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Rate of the slowest clock that a worker may have, in thousandths.
const SLOWEST_PERMILLE: u64 = 980;
const EXACT_PERMILLE: u64 = 1000;
/// How long a successor waits for the leases of an owner whose process has ended.
const LEASE_EXPIRY_MS: u64 = 4350;
/// Times for which a worker has been idle.
const IDLE_MS: [u64; 5] = [1000, 10_000, 49_000, 120_000, 600_000];
/// How long a task takes, longer than a lease.
const WORK_MS: u64 = 20_000;

/// An owner and its workers.
struct Pool {
    scheduler: PoolScheduler,
    workers: Vec<FakeWorker>,
}

/// A start that was ordered.
struct Start {
    deadline_clock_ms: u64,
    task: TaskId,
    /// Time by the worker's clock at which the order arrived.
    clock_ms: u64,
}

impl Pool {
    fn new(ids: &[&str], clock_permille: u64) -> Self {
        let workers = ids
            .iter()
            .map(|id| FakeWorker::new(id, 0, clock_permille, true));
        let mut pool = Self {
            scheduler: scheduler(1),
            workers: workers.collect(),
        };
        pool.list_workers(0);
        pool
    }

    fn list_workers(&mut self, now_ms: u64) {
        let entries = self.workers.iter();
        let entries: Vec<_> = entries
            .map(|worker| entry(&worker.id, worker.born_unix_ms))
            .collect();
        self.scheduler.apply_registry(&entries, true, at(now_ms));
    }

    /// Carries out what is due; no order reaches the workers that `is_cut_off` names.
    fn drive(&mut self, now_ms: u64, is_cut_off: &dyn Fn(&str) -> bool) -> Vec<Start> {
        for worker in &mut self.workers {
            worker.advance(now_ms);
        }
        let token = self.scheduler.fencing_token();
        self.scheduler.confirm_ownership(now_ms);
        self.scheduler.tick(at(now_ms));
        store_batches(&mut self.scheduler, now_ms);
        let mut starts = Vec::new();
        for action in self.scheduler.take_actions() {
            let (Action::Start { incarnation, .. } | Action::RenewLease { incarnation, .. }) =
                action
            else {
                continue;
            };
            let (_, id) = self.scheduler.worker_address(incarnation).unwrap();
            let cut_off = is_cut_off(id);
            let worker = self.workers.iter_mut().find(|worker| worker.id == id);
            let worker = worker.unwrap();
            match action {
                Action::RenewLease {
                    acknowledged,
                    deadline_clock_ms,
                    ..
                } => {
                    let outcome = if cut_off {
                        Err(RenewalFailure::NoAnswer)
                    } else {
                        let answer =
                            worker.renew_lease(now_ms, token, acknowledged, deadline_clock_ms);
                        let answer = answer.map(|(report, _)| report);
                        answer.ok_or(RenewalFailure::Fenced)
                    };
                    self.scheduler
                        .renewal_replied(incarnation, outcome, at(now_ms));
                }
                Action::Start {
                    task,
                    run,
                    deadline_clock_ms,
                    ..
                } if !cut_off => {
                    let order = (task, run, deadline_clock_ms);
                    let outcome = worker.start(now_ms, token, order, (WORK_MS, false, 1000));
                    let OrderOutcome::Done { clock_ms } = outcome else {
                        panic!("the start was rejected: {outcome:?}");
                    };
                    starts.push(Start {
                        deadline_clock_ms,
                        task,
                        clock_ms,
                    });
                    self.scheduler
                        .start_replied(incarnation, task, run, outcome, at(now_ms));
                }
                _ => {}
            }
        }
        starts
    }

    /// Lets the workers be idle, then submits a job of one task and returns its start.
    fn start_after(&mut self, idle_ms: u64) -> Start {
        for now_ms in (0..idle_ms).step_by(100) {
            assert!(self.drive(now_ms, &|_| false).is_empty());
        }
        submit(&mut self.scheduler, 1, vec![step(1, 1000)], idle_ms);
        let mut starts = self.drive(idle_ms, &|_| false);
        assert_eq!(starts.len(), 1, "idle for {idle_ms} ms");
        starts.remove(0)
    }
}

fn scheduler(token: u64) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, token, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    scheduler
}

/// Guards against leases that outlast the wait of a successor: the owner took a slow
/// clock, which it had read long ago, to be exact.
#[test]
fn leases_on_idle_workers_with_slow_clocks_are_too_long() {
    let lease_ms = SchedulerSettings::default().lease_ms;
    for idle_ms in IDLE_MS {
        let start = Pool::new(&["w1"], SLOWEST_PERMILLE).start_after(idle_ms);
        let granted_ms = start.deadline_clock_ms - start.clock_ms;
        assert!(
            granted_ms <= lease_ms,
            "idle for {idle_ms} ms: a lease of {granted_ms} ms"
        );
    }
}

/// Guards against runs that lapse before the first renewal: a lease that allows for the
/// error of a clock that was read long ago leaves too little.
#[test]
fn leases_on_idle_workers_with_exact_clocks_are_too_short() {
    let settings = SchedulerSettings::default();
    for idle_ms in IDLE_MS {
        let start = Pool::new(&["w1"], EXACT_PERMILLE).start_after(idle_ms);
        let granted_ms = start.deadline_clock_ms - start.clock_ms;
        assert!(
            granted_ms >= settings.lease_ms - settings.renewal_wait_ms,
            "idle for {idle_ms} ms: a lease of {granted_ms} ms"
        );
    }
}

/// Guards against two runs of a task: its owner's process ends right after the start, and
/// the successor can't reach the worker.
#[test]
fn a_successor_starts_a_task_whose_run_on_a_slow_clock_goes_on() {
    for idle_ms in IDLE_MS {
        let mut pool = Pool::new(&["w1", "w2"], SLOWEST_PERMILLE);
        let start = pool.start_after(idle_ms);
        let runs = |worker: &FakeWorker| worker.runs(start.task);
        let first = pool.workers.iter().find(|worker| runs(worker));
        let first = first.unwrap().id.clone();
        let records = pool.workers.iter().map(|worker| WorkerRecord {
            id: worker.id.clone(),
            born_unix_ms: worker.born_unix_ms,
            machine: None,
        });
        let records = records.collect();
        pool.scheduler = scheduler(2);
        pool.scheduler
            .set_predecessor(records, idle_ms + LEASE_EXPIRY_MS);
        let (record, spec) = job(vec![step(1, 1000)]);
        let progress = JobProgress::default();
        pool.scheduler
            .restore(job_id(1), record, spec, Some(&progress), at(idle_ms));
        pool.list_workers(idle_ms);
        let mut started = false;
        for now_ms in (idle_ms..idle_ms + 2 * LEASE_EXPIRY_MS).step_by(10) {
            started |= !pool.drive(now_ms, &|id| id == first).is_empty();
            let running = pool.workers.iter().filter(|worker| runs(worker));
            assert!(running.count() <= 1, "idle for {idle_ms} ms: two runs");
        }
        assert!(started, "idle for {idle_ms} ms: not started again");
    }
}
