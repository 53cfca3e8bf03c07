//! Configurations that the store has confirmed and instances do not apply in time.

use std::thread;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use platform_standin::operator;
use platform_standin::store::ReadFault;

use crate::TRANSACTION_DURATION;
use crate::caller::Caller;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::load::Load;

/// Table of the progress of jobs.
const PROGRESS_TABLE: &str = "cornelpoint-progress";
/// Time after the end of a fault within which an instance must be up to date.
const CONTACT: Duration = Duration::from_secs(3);

/// The outage begins just after the long polls of the configuration, and is as long
/// as it takes until the next ones have been sent.
#[test]
fn route_is_unknown_after_an_outage_in_which_calls_get_no_response() {
    const BEFORE: Duration = Duration::from_millis(150);
    const OUTAGE: Duration = Duration::from_millis(3700);
    let fleet = Fleet::start("silent_outage", TRANSACTION_DURATION);
    let (added, later) = (queue(&fleet, "added"), queue(&fleet, "later"));
    write_configuration(&fleet, 2, std::slice::from_ref(&added));
    thread::sleep(BEFORE);
    fleet.store.begin_outage();
    thread::sleep(OUTAGE);
    fleet.store.end_outage();
    write_configuration(&fleet, 3, &[added, later.clone()]);
    thread::sleep(CONTACT);
    assert_eq!(instances_without(&fleet, &later), [""; 0]);
}

/// Callers' requests have opened connections that are idle when the network forgets
/// all of them.
#[test]
fn route_is_unknown_after_the_idle_connections_went_silent() {
    const CALLERS: usize = 16;
    const READ_DELAY: Duration = Duration::from_millis(300);
    const BEFORE: Duration = Duration::from_millis(150);
    let fleet = Fleet::start("idle_connections", TRANSACTION_DURATION);
    let instance = fleet.others()[0];
    let delay = Some(ReadFault::Delay(READ_DELAY));
    let store = &fleet.store;
    store.set_read_fault(&instance.name, PROGRESS_TABLE, delay);
    let caller = fleet.caller(instance);
    thread::scope(|scope| {
        for number in 1..=CALLERS as u64 {
            let caller = &caller;
            scope.spawn(move || caller.status(job(number)));
        }
    });
    let (added, later) = (queue(&fleet, "added"), queue(&fleet, "later"));
    write_configuration(&fleet, 2, std::slice::from_ref(&added));
    thread::sleep(BEFORE);
    store.silence_connections(&instance.name);
    write_configuration(&fleet, 3, &[added, later.clone()]);
    thread::sleep(CONTACT);
    assert_eq!(instances_without(&fleet, &later), [""; 0]);
}

/// Callers ask an instance for jobs that it has to look up in the store, which
/// answers these reads slowly.
#[test]
fn route_is_unknown_while_reads_for_callers_hold_all_connections() {
    const CALLERS: usize = 96;
    const READ_DELAY: Duration = Duration::from_millis(1400);
    let fleet = Fleet::start("reads_for_callers", TRANSACTION_DURATION);
    let instance = fleet.others()[0];
    let delay = Some(ReadFault::Delay(READ_DELAY));
    let store = &fleet.store;
    store.set_read_fault(&instance.name, PROGRESS_TABLE, delay);
    let caller = fleet.caller(instance);
    let load = Load::look_up(&[caller], CALLERS);
    thread::sleep(Duration::from_secs(1));
    let added = queue(&fleet, "added");
    write_configuration(&fleet, 2, std::slice::from_ref(&added));
    thread::sleep(CONTACT);
    let without = instances_without(&fleet, &added);
    drop(load);
    assert_eq!(without, [""; 0]);
}

/// Returns another queue of the fleet's pool.
fn queue(fleet: &Fleet, name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        ..fleet.queue.clone()
    }
}

/// Writes a configuration with the fleet's queue and others.
fn write_configuration(fleet: &Fleet, version: u64, others: &[Queue]) {
    let queues = [std::slice::from_ref(&fleet.queue), others].concat();
    let value = operator::configuration(version, &queues);
    fleet.store.write(&operator::configuration_row(), &value);
}

/// Returns the names of the instances that answer that there is no such queue.
fn instances_without<'a>(fleet: &'a Fleet, queue: &Queue) -> Vec<&'a str> {
    let instances = fleet.instances.iter();
    let without =
        instances.filter(|instance| Caller::new(instance.caller_address, queue).is_unknown_queue());
    without.map(|instance| instance.name.as_str()).collect()
}
