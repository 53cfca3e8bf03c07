//! Jobs whose route a later configuration sends elsewhere, renames or removes.

use std::thread;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::job::Resources;
use platform_standin::callers::job_body;
use platform_standin::operator;
use platform_standin::worker::WorkerStandIn;

use crate::TRANSACTION_DURATION;
use crate::caller::Caller;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;

/// Pool to which the route is sent.
const OTHER_POOL: &str = "drafters";
/// Time after which a configuration has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Guards against a job that is accepted and run a second time, since processes look for it
/// only where the newest configuration sends its route.
#[test]
fn a_repeat_after_its_route_moved_runs_twice() {
    let next = |queue: &Queue| Queue {
        name: "renamed".to_owned(),
        pool: OTHER_POOL.to_owned(),
        ..queue.clone()
    };
    follow_job("moved_and_renamed", |queue| vec![next(queue)]);
}

/// The same where the route keeps its name.
#[test]
fn a_repeat_after_its_service_changed_runs_twice() {
    let next = |queue: &Queue| Queue {
        pool: OTHER_POOL.to_owned(),
        ..queue.clone()
    };
    follow_job("moved", |queue| vec![next(queue)]);
}

/// Guards against a job that can't be asked for or cancelled once its route is gone.
#[test]
fn a_job_is_unknown_after_its_route_is_gone() {
    follow_job("gone", |_| Vec::new());
}

/// Submits a job, changes its route, and checks that the job is found by its identifier at
/// each process, also at one that starts later, and after a takeover.
fn follow_job(test: &str, next: impl Fn(&Queue) -> Vec<Queue>) {
    let mut fleet = Fleet::start(test, TRANSACTION_DURATION);
    let former = WorkerStandIn::start(&fleet.store, "w-1", POOL, None).unwrap();
    let other = WorkerStandIn::start(&fleet.store, "w-2", OTHER_POOL, None).unwrap();
    let submitter = fleet.caller(fleet.others()[0]);
    for number in [1, 2] {
        wait_until("a job is accepted", || submitter.submit(job(number)));
        wait_until("the job starts", || has_started(&former, number));
    }
    // Both pools stay, whatever the route leads to.
    let keep = [POOL, OTHER_POOL].map(|pool| Queue {
        name: format!("keep-{pool}"),
        path_prefix: format!("/keep-{pool}/"),
        pool: pool.to_owned(),
        ..fleet.queue.clone()
    });
    let queues = [keep.to_vec(), next(&fleet.queue)].concat();
    let configuration = operator::configuration(2, &queues);
    fleet
        .store
        .write(&operator::configuration_row(), &configuration);
    let kept = Caller::new(fleet.owner().caller_address, &keep[1]);
    wait_until("the other pool has an owner", || kept.submit(job(9)));
    thread::sleep(IN_FORCE);
    check_found(&fleet, 1);

    let owner = fleet.owner().name.clone();
    let token = fleet.owner_row().unwrap().fencing_token;
    fleet.owner().kill();
    wait_until("the pool has a new owner", || {
        let row = fleet.owner_row();
        row.is_some_and(|row| row.fencing_token > token)
    });
    let mut instances = fleet.instances.iter_mut();
    let killed = instances.find(|instance| instance.name == owner).unwrap();
    killed.restart();
    let restarted = Caller::new(killed.caller_address, &fleet.queue);
    wait_until("the process that started later finds the job", || {
        restarted.status(job(1)).as_deref() == Some("running")
    });
    check_found(&fleet, 1);
    wait_until("the job is cancelled", || restarted.cancel(job(1)));
    check_status(&fleet, 1, "cancelled");
    check_status(&fleet, 2, "running");
    let other_runs = other.started_runs();
    let mut other_jobs = other_runs.iter().map(|run| run.task.step.job);
    assert!(other_jobs.all(|id| id == job(9)), "{other_runs:?}");
}

/// Checks that each process knows the job, and takes a repeat for it.
fn check_found(fleet: &Fleet, number: u64) {
    check_status(fleet, number, "running");
    for instance in &fleet.instances {
        let caller = fleet.caller(instance);
        let body = job_body(Resources::default(), 10);
        let repeated = caller.submit_body(job(number), &body);
        assert_eq!(repeated, Some(200), "the repeat at {}", instance.name);
    }
}

fn check_status(fleet: &Fleet, number: u64, expected: &str) {
    for instance in &fleet.instances {
        let status = fleet.caller(instance).status(job(number));
        assert_eq!(status.as_deref(), Some(expected), "at {}", instance.name);
    }
}

fn has_started(worker: &WorkerStandIn, number: u64) -> bool {
    let runs = worker.started_runs();
    runs.iter().any(|run| run.task.step.job == job(number))
}
