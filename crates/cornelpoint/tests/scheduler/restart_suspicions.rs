//! Suspected faults around workers that restart under their identifiers.

use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;

use crate::fake_worker::FakeWorker;
use crate::restart_support::BORN_AGAIN_MS;
use crate::restart_support::BORN_MS;
use crate::restart_support::Order;
use crate::restart_support::REBORN_MS;
use crate::restart_support::confirm;
use crate::restart_support::leave_unanswered;
use crate::restart_support::listed;
use crate::restart_support::passes;
use crate::restart_support::ready;
use crate::restart_support::report;
use crate::restart_support::start;
use crate::restart_support::worker_of;
use crate::support::at;
use crate::support::entry;
use crate::support::job_id;
use crate::support::step;
use crate::support::submit;

/// Rate of the slowest clock that a worker may have, in thousandths.
const SLOWEST_PERMILLE: u64 = 980;

/// The answer to the start is lost, then the worker is cut off from everything. Its lease is
/// by a clock that the owner has not seen, and ends no later than the owner expects.
#[test]
fn a_run_is_started_again_while_a_worker_whose_restart_nobody_saw_is_cut_off() {
    for arrived_ms in [1000, 1600] {
        let mut scheduler = ready(&["w1", "w2"]);
        submit(&mut scheduler, 1, vec![step(1, 1000)], 1000);
        scheduler.confirm_ownership(1000);
        let (order, lease_end_ms) = start_with_lease(&mut scheduler);
        let (_, task, run) = order;
        let worker = worker_of(&scheduler, order);
        let mut restarted = FakeWorker::new(&worker, REBORN_MS, SLOWEST_PERMILLE, true);
        let deadline_clock_ms = restarted.clock_ms(arrived_ms) + lease_end_ms - arrived_ms;
        let start = (task, run, deadline_clock_ms);
        restarted.start(arrived_ms, 1, start, (60_000, false, 1000));
        leave_unanswered(&mut scheduler, order, 1600);
        let other = |id: &str, now_ms: u64| (id != worker).then(|| report(BORN_MS, now_ms));
        let mut is_started_again = false;
        for now_ms in (1650..11_000).step_by(50) {
            restarted.advance(now_ms);
            let orders = passes(&mut scheduler, (now_ms, now_ms + 50), &other);
            is_started_again |= !orders.starts.is_empty();
            let runs_twice = is_started_again && restarted.runs(task);
            assert!(!runs_twice, "two runs at {now_ms} ms");
        }
        assert!(is_started_again, "the task was never started again");
    }
}

/// Returns the start that is due at 1000 ms, and the latest end of its lease.
fn start_with_lease(scheduler: &mut PoolScheduler) -> (Order, u64) {
    scheduler.tick(at(1000));
    let actions = scheduler.take_actions();
    let start = actions.into_iter().find_map(|action| match action {
        Action::Start {
            incarnation,
            task,
            run,
            lease_end_ms,
            ..
        } => Some(((incarnation, task, run), lease_end_ms)),
        _ => None,
    });
    start.expect("a start")
}

/// A worker that shuts down as announced has not crashed.
#[test]
fn a_job_is_given_up_for_workers_that_leave_as_planned_and_restart() {
    let mut scheduler = ready(&["w1"]);
    let mut order = start(&mut scheduler, 1, 1000, 1000);
    let mut now_ms = 1000;
    let mut former_ms = BORN_MS;
    for born_ms in [REBORN_MS, BORN_AGAIN_MS] {
        confirm(&mut scheduler, order, 0, now_ms + 2);
        let mut draining = entry("w1", former_ms);
        draining.draining = true;
        scheduler.apply_registry(&[draining], true, at(now_ms + 5));
        former_ms = born_ms;
        scheduler.apply_registry(&listed(&["w1"], born_ms), true, at(now_ms + 10));
        let end_ms = now_ms + 3000;
        while now_ms < end_ms {
            now_ms += 50;
            let span_ms = (now_ms, now_ms + 50);
            let idle = |_: &str, now_ms: u64| Some(report(born_ms, now_ms));
            if let Some(&(_, again)) = passes(&mut scheduler, span_ms, &idle).starts.first() {
                order = again;
                break;
            }
        }
    }
    assert_ne!(scheduler.status(job_id(1)), Some(JobStatus::Failed));
}
