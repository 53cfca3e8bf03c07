//! An advice service that takes long for each call and handles one at a time.

use std::thread;
use std::time::Duration;

use cornelpoint::catalog::Advice;
use cornelpoint::catalog::Queue;
use platform_standin::advice::AdviceStandIn;
use platform_standin::operator;
use platform_standin::worker::WorkerStandIn;

use crate::TRANSACTION_DURATION;
use crate::caller::Caller;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;

/// Time that the service takes for a call.
const TURN: Duration = Duration::from_millis(400);
/// Jobs that come within 4 s; the service needs 14 s for them.
const JOBS: u64 = 36;
const BETWEEN_JOBS: Duration = Duration::from_millis(110);
const TASK_DURATION: Duration = Duration::from_millis(50);

/// Guards against steps that are never started: so many calls were in flight that each was
/// given up before its turn, and asked again at the end of the line.
#[test]
fn no_call_is_answered_in_time_when_many_steps_wait_for_advice() {
    start_all("slow_advice", &[POOL]);
}

/// The same for two pools, which one process may own: they share the service.
#[test]
fn a_pool_waits_for_ever_while_another_one_calls_the_service() {
    start_all("shared_advice", &[POOL, "drafters"]);
}

/// Submits jobs to queues of these pools in turn, and waits until all are completed.
fn start_all(test: &str, pools: &[&str]) {
    let mut fleet = Fleet::start(test, TRANSACTION_DURATION);
    let advice = AdviceStandIn::start(TURN).unwrap();
    let queues = pools.iter().map(|pool| Queue {
        name: format!("advised-{pool}"),
        path_prefix: format!("/advised-{pool}/"),
        pool: (*pool).to_owned(),
        advice: Some(Advice {
            decide_ms: 100,
            each_ms: 300,
            valid_ms: 5000,
        }),
        ..fleet.queue.clone()
    });
    let queues: Vec<Queue> = queues.collect();
    let configuration = operator::configuration(2, &queues);
    fleet
        .store
        .write(&operator::configuration_row(), &configuration);
    for instance in &mut fleet.instances {
        instance.add_setting(&format!("advice = \"{}\"", advice.address));
        instance.kill();
        instance.restart();
    }
    let workers = pools.iter().map(|pool| {
        let id = format!("w-{pool}");
        WorkerStandIn::start(&fleet.store, &id, pool, Some(TASK_DURATION)).unwrap()
    });
    let _workers: Vec<WorkerStandIn> = workers.collect();
    let callers = queues.iter().zip(fleet.instances.iter().cycle());
    let callers = callers.map(|(queue, instance)| Caller::new(instance.caller_address, queue));
    let callers: Vec<Caller> = callers.collect();
    let jobs = (1..=JOBS).zip(callers.iter().cycle());
    for (number, caller) in jobs.clone() {
        wait_until("a job is accepted", || caller.submit(job(number)));
        thread::sleep(BETWEEN_JOBS);
    }
    for (number, caller) in jobs {
        wait_until("a job is completed", || {
            caller.status(job(number)).as_deref() == Some("completed")
        });
    }
    assert_eq!(advice.refused_calls(), 0);
}
