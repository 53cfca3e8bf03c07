//! A worker that restarts under its identifier has seen no fencing token, while a
//! predecessor still acts on its ownership.

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

const TAKEOVER_MS: u64 = 1000;
/// When the predecessor sends its last order.
const ORDER_MS: u64 = TAKEOVER_MS + 20;
/// When all leases of the predecessor have ended.
const LEASES_END_MS: u64 = TAKEOVER_MS + 6500 + 4350;
/// How long the task takes, longer than a lease.
const WORK_MS: u64 = 20_000;

/// Guards against two runs of a task: the restart of a recorded worker, which the
/// successor can't reach, ended the wait for it, and the predecessor started the task there.
#[test]
fn a_successor_does_not_wait_for_a_worker_that_restarted_and_lost_its_fence() {
    let task: TaskId = format!("{}.0.0.0", job_id(1)).parse().unwrap();
    let lease_ms = SchedulerSettings::default().lease_ms;
    let mut restarted = FakeWorker::new("w1", TAKEOVER_MS - 10, 1000, true);
    let mut other = FakeWorker::new("w2", 0, 1000, true);
    let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let record = WorkerRecord {
        id: "w1".to_owned(),
        born_unix_ms: 1,
        machine: None,
    };
    scheduler.set_predecessor(vec![record], LEASES_END_MS);
    let (record, spec) = job(vec![step(1, 1000)]);
    let progress = JobProgress::default();
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(TAKEOVER_MS));
    let entries = [&restarted, &other].map(|worker| entry(&worker.id, worker.born_unix_ms));
    scheduler.apply_registry(&entries, true, at(TAKEOVER_MS));
    let mut started = false;
    for now_ms in (TAKEOVER_MS..2 * LEASES_END_MS).step_by(20) {
        restarted.advance(now_ms);
        other.advance(now_ms);
        if now_ms == ORDER_MS {
            let deadline_clock_ms = 1000 + (now_ms + 10 - TAKEOVER_MS) + lease_ms;
            let order = (task, 1, deadline_clock_ms);
            let outcome = restarted.start(now_ms, 1, order, (WORK_MS, false, 1000));
            assert!(matches!(outcome, OrderOutcome::Done { .. }));
        }
        scheduler.confirm_ownership(now_ms);
        scheduler.tick(at(now_ms));
        store_batches(&mut scheduler, now_ms);
        for action in scheduler.take_actions() {
            match action {
                Action::RenewLease {
                    incarnation,
                    acknowledged,
                    deadline_clock_ms,
                    ..
                } => {
                    let (_, id) = scheduler.worker_address(incarnation).unwrap();
                    let answer = (id == other.id)
                        .then(|| other.renew_lease(now_ms, 2, acknowledged, deadline_clock_ms));
                    let report = answer.flatten().map(|(report, _)| report);
                    let outcome = report.ok_or(RenewalFailure::NoAnswer);
                    scheduler.renewal_replied(incarnation, outcome, at(now_ms));
                }
                Action::Start {
                    incarnation,
                    run,
                    deadline_clock_ms,
                    ..
                } => {
                    assert!(!restarted.runs(task), "two runs at {now_ms} ms");
                    let order = (task, run, deadline_clock_ms);
                    let outcome = other.start(now_ms, 2, order, (WORK_MS, false, 1000));
                    scheduler.start_replied(incarnation, task, run, outcome, at(now_ms));
                    started = true;
                }
                _ => {}
            }
        }
    }
    assert!(started, "the task was never started again");
}
