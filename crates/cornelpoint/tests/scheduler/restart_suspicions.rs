//! Suspected faults around workers that restart under their identifiers.

use cornelpoint::job::JobStatus;

use crate::restart_support::BORN_AGAIN_MS;
use crate::restart_support::BORN_MS;
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

/// The answer to the start is lost, then the worker is cut off from everything: its lease is
/// by a clock that the owner has not seen.
#[test]
fn a_run_is_started_again_while_a_worker_whose_restart_nobody_saw_is_cut_off() {
    let mut scheduler = ready(&["w1", "w2"]);
    let order = start(&mut scheduler, 1, 1000, 1000);
    let worker = worker_of(&scheduler, order);
    leave_unanswered(&mut scheduler, order, 1600);
    let other = |id: &str, now_ms: u64| (id != worker).then(|| report(BORN_MS, now_ms));
    let early = passes(&mut scheduler, (1650, 11_000), &other);
    assert_eq!(
        early.starts,
        [],
        "the run lasts for the longest lease, 10 s"
    );
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
