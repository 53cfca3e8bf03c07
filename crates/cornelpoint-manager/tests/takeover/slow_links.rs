//! Instances whose links to the store are slow.

use std::thread;
use std::time::Duration;

use cornelpoint::job::Resources;
use platform_standin::callers::job_body_with_spec;
use platform_standin::worker::WorkerStandIn;

use crate::RECOVER;
use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::holds_within;
use crate::fleet::wait_until;

/// A page of 1 MB takes longer than the timeout of a call.
const LINK_BYTES_PER_S: u64 = 500_000;
/// Longest text that a job may have.
const SPEC_BYTES: usize = 4000;
const JOBS: u64 = 300;
/// Callers that submit jobs at the same time.
const CALLERS: usize = 20;
const TASK_DURATION: Duration = Duration::from_millis(10);
const TASK: Resources = Resources {
    cpu_millicores: 10,
    memory_mb: 16,
    accelerators: 0,
};

/// Guards against a pool that its new owner never schedules: each page of its rows had
/// to arrive within 1.5 s, what had arrived was dropped, and all began anew.
#[test]
fn a_pool_is_taken_over_through_a_link_on_which_a_page_takes_seconds() {
    let link = Some(LINK_BYTES_PER_S);
    let fleet = Fleet::start_with_links("slow_links", TRANSACTION_DURATION, link);
    let caller = fleet.caller(fleet.owner());
    let body = job_body_with_spec(&"x".repeat(SPEC_BYTES), TASK, 10);
    thread::scope(|scope| {
        for first in (1..=JOBS).take(CALLERS) {
            let (caller, body) = (&caller, &body);
            scope.spawn(move || {
                for number in (first..=JOBS).step_by(CALLERS) {
                    wait_until("a job is accepted", || {
                        caller.submit_body(job(number), body) == Some(200)
                    });
                }
            });
        }
    });
    let survivors = fleet.others();
    fleet.owner().kill();
    let _worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, Some(TASK_DURATION)).unwrap();
    let callers = survivors.iter().map(|instance| fleet.caller(instance));
    let callers: Vec<_> = callers.collect();
    let has_run = || {
        let mut callers = callers.iter();
        callers.any(|caller| caller.status(job(1)).as_deref() == Some("completed"))
    };
    assert!(
        holds_within(RECOVER, has_run),
        "nothing has run since the owner was lost"
    );
}
