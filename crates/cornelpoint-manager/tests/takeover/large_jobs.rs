//! Jobs whose rows are larger than a row may be.

use std::time::Duration;

use cornelpoint::job::Resources;
use platform_standin::callers::long_job_body;
use platform_standin::worker::WorkerStandIn;

use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;

/// Steps of the largest job that callers may submit.
const STEPS: usize = 1000;
const TASK: Resources = Resources {
    cpu_millicores: 10,
    memory_mb: 1,
    accelerators: 0,
};
const TASK_DURATION: Duration = Duration::from_millis(50);

/// Guards against a pool that stores nothing any more: a job of many steps was answered
/// with 504 at each attempt, and all later jobs of the pool with it.
#[test]
fn a_job_of_many_steps_is_stored_and_survives_its_owner() {
    let fleet = Fleet::start("large_jobs", TRANSACTION_DURATION);
    let caller = fleet.caller(fleet.others()[0]);
    let body = long_job_body(STEPS, TASK, 50);
    wait_until("the large job is accepted", || {
        caller.submit_body(job(1), &body) == Some(200)
    });
    wait_until("another job is accepted", || caller.submit(job(2)));
    let token = fleet.owner_row().unwrap().fencing_token;
    let survivors = fleet.others();
    fleet.owner().kill();
    wait_until("the pool has a new owner", || {
        fleet
            .owner_row()
            .is_some_and(|row| row.fencing_token > token)
    });
    let _worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, Some(TASK_DURATION)).unwrap();
    let callers = survivors.iter().map(|instance| fleet.caller(instance));
    let callers: Vec<_> = callers.collect();
    for number in [1, 2] {
        wait_until("the job is completed", || {
            let mut callers = callers.iter();
            callers.any(|caller| caller.status(job(number)).as_deref() == Some("completed"))
        });
    }
}
