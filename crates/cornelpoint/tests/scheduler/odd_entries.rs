//! Registry entries and jobs with values that nobody expects.

use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

/// Another program's entry names the machine of a worker and a start in the far
/// future.
#[test]
fn an_entry_from_the_future_ends_a_worker_that_runs_a_task() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    let started = starts(&mut scheduler, 120);
    let (worker, task, run) = &started[0];
    let incarnation = u32::from(worker == "w2");
    let task = task.parse().expect("a valid task");
    let done = OrderOutcome::Done { clock_ms: 1130 };
    scheduler.start_replied(incarnation, task, *run, done, at(130));
    let odd = RegistryEntry {
        machine: Some(format!("machine-{worker}")),
        ..entry("odd", u64::MAX / 2)
    };
    let entries = [entry("w1", 5), entry("w2", 5), odd];
    scheduler.apply_registry(&entries, true, at(200));
    scheduler.confirm_ownership(300);
    assert_eq!(starts(&mut scheduler, 300), []);
}

/// Guards against a task that runs twice: another program on a worker's machine
/// registered itself, with a service that no configuration names, and the worker counted
/// as ended.
#[test]
fn an_entry_of_another_program_on_its_machine_does_not_end_a_worker() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    scheduler.set_pools([POOL, "spare"].into_iter());
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    let started = starts(&mut scheduler, 120);
    let (worker, task, run) = &started[0];
    let incarnation = u32::from(worker == "w2");
    let task = task.parse().expect("a valid task");
    let done = OrderOutcome::Done { clock_ms: 1130 };
    scheduler.start_replied(incarnation, task, *run, done, at(130));
    let of_machine = |pool: &str| RegistryEntry {
        machine: Some(format!("machine-{worker}")),
        pool: pool.to_owned(),
        ..entry("other", 6)
    };
    let entries = [entry("w1", 5), entry("w2", 5), of_machine("mystery")];
    scheduler.apply_registry(&entries, true, at(200));
    scheduler.confirm_ownership(300);
    assert_eq!(starts(&mut scheduler, 300), []);
    // A move to another pool does end it.
    let entries = [entry("w1", 5), entry("w2", 5), of_machine("spare")];
    scheduler.apply_registry(&entries, true, at(400));
    scheduler.confirm_ownership(500);
    assert_eq!(starts(&mut scheduler, 500).len(), 1);
}

#[test]
fn a_task_larger_than_any_worker_starts_beside_another() {
    let mut scheduler = ready_scheduler(&["w1"]);
    for (number, cpu_millicores) in [(1, 1000), (2, u64::MAX)] {
        let (record, spec) = job(vec![step(1, cpu_millicores)]);
        scheduler.submit(job_id(number), record, spec, at(100));
        store_batches(&mut scheduler, 100);
    }
    let started = starts(&mut scheduler, 120);
    let tasks: Vec<&str> = started.iter().map(|(_, task, _)| task.as_str()).collect();
    assert_eq!(tasks, ["0000000000000001.0.0.0"]);
}
