//! Workers that restart under their identifiers before anybody has heard of it.

use std::thread;
use std::time::Duration;

use cornelpoint::scheduler::SchedulerSettings;
use platform_standin::worker::WorkerStandIn;

use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;

/// How long the former incarnation has run; its clock is ahead by as much.
const FORMER_AGE: Duration = Duration::from_secs(6);
const RUN_DURATION: Duration = Duration::from_millis(50);

/// Guards against two runs of a task: an order by the clock of the former incarnation gives
/// the next one a lease that its owner doesn't know, and its answer may be lost.
#[test]
fn a_worker_that_restarted_unseen_gets_a_lease_by_the_clock_of_its_former_incarnation() {
    let fleet = Fleet::start("restarted_unseen", TRANSACTION_DURATION);
    let duration = Some(RUN_DURATION);
    let mut worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, duration).unwrap();
    let caller = fleet.caller(fleet.owner());
    wait_until("a job is accepted", || caller.submit(job(1)));
    wait_until("the first job starts", || !worker.started_runs().is_empty());
    thread::sleep(FORMER_AGE);
    worker.restart().unwrap();
    wait_until("a job is accepted", || caller.submit(job(2)));
    wait_until("the job starts", || !worker.started_runs().is_empty());
    let longest_ms = SchedulerSettings::default().lease_ms;
    for run in worker.started_runs() {
        assert!(run.lease_ms <= longest_ms, "{run:?}");
    }
}
