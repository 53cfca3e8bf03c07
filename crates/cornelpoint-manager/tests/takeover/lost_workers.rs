//! Workers that are lost together with the owner of their pool.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standin::worker::WorkerStandIn;

use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;

const WORKERS: usize = 8;
/// Time after the last run of a task that lasts, in seconds that are calm, within which it has
/// to run again: 6 s, and the 3 s in which it has to be found running.
const RESTART: Duration = Duration::from_secs(9);

/// Guards against a pool that doesn't work: its new owner waits for all leases that its lost
/// predecessor may have granted to one worker that is lost as well.
#[test]
fn a_worker_lost_with_the_owner_keeps_its_pool_from_working() {
    let fleet = Fleet::start("lost_with_the_owner", TRANSACTION_DURATION);
    let mut workers: Vec<WorkerStandIn> = (1..=WORKERS)
        .map(|number| WorkerStandIn::start(&fleet.store, &format!("w-{number}"), POOL, None))
        .collect::<Result<_, _>>()
        .unwrap();
    let caller = fleet.caller(fleet.others()[0]);
    wait_until("a job is accepted", || caller.submit(job(1)));
    let starts = |workers: &[WorkerStandIn]| -> usize {
        let counts = workers.iter().map(|worker| worker.started_runs().len());
        counts.sum()
    };
    wait_until("the job starts", || starts(&workers) > 0);
    // The successor finds all workers in the store.
    thread::sleep(Duration::from_secs(2));
    let busy = workers
        .iter()
        .position(|worker| !worker.started_runs().is_empty());
    fleet.owner().kill();
    drop(workers.remove(busy.unwrap()));
    let lost = Instant::now();
    wait_until("the job starts again", || starts(&workers) > 0);
    let restarted = lost.elapsed();
    assert!(restarted < RESTART, "started again after {restarted:?}");
}
