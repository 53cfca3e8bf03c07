//! Takeovers of a pool, the time before them, changes of the configuration and odd
//! registry entries, with real manager processes. The bounds are those that the platform states.

mod caller;
mod configuration;
mod fleet;
mod instance;
mod keys;
mod large_jobs;
mod late_claims;
mod load;
mod lost_workers;
mod moved_routes;
mod odd_entries;
mod restarted_workers;
mod slow_advice;
mod slow_link;
mod slow_links;
mod unknown_jobs;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::RawJob;
use cornelpoint::job::Resources;
use cornelpoint_platform::callers::parse_job;
use cornelpoint_platform::store::RowKey;
use platform_standin::callers::job_body;
use platform_standin::store::ReadFault;
use platform_standin::worker::WorkerStandIn;

use crate::caller::Caller;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POLL_INTERVAL;
use crate::fleet::POOL;
use crate::fleet::holds_within;
use crate::fleet::wait_until;
use crate::load::Load;

/// Table of the owners' store heartbeats.
const HEARTBEAT_TABLE: &str = "cornelpoint-beat";
/// Table of jobs and cancellations for owners that can't be reached.
const INBOX_TABLE: &str = "cornelpoint-inbox";

/// Duration of a transaction on the users' sites.
const TRANSACTION_DURATION: Duration = Duration::from_millis(8);
/// Time after which an accepted job must be visible everywhere.
const VISIBLE: Duration = Duration::from_secs(3);
/// How old a count of waiting jobs may be.
const COUNT_AGE: Duration = Duration::from_secs(2);
/// Longest of the users' limits for a cancellation to take effect.
const CANCEL: Duration = Duration::from_secs(4);
/// Time after which most requests must be served again.
const RECOVER: Duration = Duration::from_secs(12);
/// Part of [`RECOVER`] within which a pool must have a new owner, which still has
/// to restore the pool's jobs and to start tasks.
const TAKEOVER: Duration = Duration::from_secs(8);
/// Time without heartbeats after which an owner counts as unresponsive, and some
/// more.
const UNRESPONSIVE: Duration = Duration::from_millis(1300);

/// Callers that submit jobs at each instance, one after another.
const CALLERS_PER_INSTANCE: usize = 18;

/// The owner is paused and the network forgets its connections to the store; the
/// jobs that other processes accept meanwhile go to its inbox.
#[test]
fn waiting_count_omits_jobs_accepted_while_the_owner_was_unreachable() {
    const JOBS: usize = 20;
    let fleet = Fleet::start("waiting_count", TRANSACTION_DURATION);
    let owner = fleet.owner();
    hold_back_takeover(&fleet);
    begin_inbox_poll(&fleet);
    let paused = Instant::now();
    fleet.store.silence_connections(&owner.name);
    owner.pause();
    thread::sleep(UNRESPONSIVE);
    let caller = fleet.caller(fleet.others()[0]);
    for number in 1..=JOBS as u64 {
        wait_until("a job is accepted", || caller.submit(job(number)));
    }
    let accepted = Instant::now();
    thread::sleep(Duration::from_secs(3).saturating_sub(paused.elapsed()));
    owner.resume();
    thread::sleep((VISIBLE + COUNT_AGE).saturating_sub(accepted.elapsed()));
    let callers = fleet.instances.iter();
    let callers: Vec<_> = callers.map(|instance| fleet.caller(instance)).collect();
    let polled = Instant::now();
    loop {
        let counts: Vec<_> = callers.iter().map(Caller::waiting).collect();
        // An instance that does not know the count may say so.
        assert!(
            counts.iter().flatten().all(|count| count * 2 >= JOBS),
            "counts of waiting jobs {:?} after {JOBS} were accepted: {counts:?}",
            accepted.elapsed()
        );
        let complete = counts.iter().all(|count| *count == Some(JOBS));
        if complete && polled.elapsed() > COUNT_AGE {
            return;
        }
        assert!(
            polled.elapsed() < RECOVER,
            "some jobs are not counted: {counts:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// The owner is lost while callers submit several times the number of jobs that
/// its partition of the store can take one by one. The partition needs room for
/// the claim of the next owner.
#[test]
fn submissions_to_the_inbox_overload_the_partition_of_the_pool() {
    // A partition refuses the 26th waiting transaction.
    const TRANSACTION_DURATION: Duration = Duration::from_millis(40);
    let fleet = Fleet::start("submissions_to_the_inbox", TRANSACTION_DURATION);
    let (replaced, refused) = lose_owner_under_load(&fleet, || {});
    assert_eq!(refused, 0, "the store refused transactions");
    assert!(replaced, "the pool has no new owner");
}

/// The owner is lost while callers submit jobs, and the store refuses every
/// second transaction of the pool's partition.
#[test]
fn takeover_is_held_back_while_the_inbox_is_overloaded() {
    let fleet = Fleet::start("overloaded_inbox", TRANSACTION_DURATION);
    let throttle = || fleet.store.throttle_partition(POOL);
    let (replaced, refused) = lose_owner_under_load(&fleet, throttle);
    assert!(refused > 0, "the store refused no transaction");
    assert!(
        replaced,
        "the pool has no new owner; the store refused {refused} transactions"
    );
}

/// The cancellation is in the inbox when the pool is taken over, and the new
/// owner's reads of the inbox are slow.
#[test]
fn takeover_starts_a_job_whose_cancellation_was_acknowledged() {
    const INBOX_DELAY: Duration = Duration::from_millis(700);
    let (cancelled, other) = (job(1), job(2));
    let fleet = Fleet::start("acknowledged_cancellation", TRANSACTION_DURATION);
    let owner = fleet.owner();
    let others = fleet.others();
    let caller = fleet.caller(others[0]);
    for job in [cancelled, other] {
        wait_until("a job is accepted", || caller.submit(job));
    }
    hold_back_takeover(&fleet);
    for instance in &others {
        let delay = ReadFault::Delay(INBOX_DELAY);
        let store = &fleet.store;
        store.set_read_fault(&instance.name, INBOX_TABLE, Some(delay));
    }
    owner.kill();
    wait_until("the cancellation is acknowledged", || {
        caller.cancel(cancelled)
    });
    thread::sleep(CANCEL);
    let worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, None).unwrap();
    for instance in &others {
        let store = &fleet.store;
        store.set_read_fault(&instance.name, HEARTBEAT_TABLE, None);
    }
    let has_started = |job| {
        let runs = worker.started_runs();
        runs.iter().any(|run| run.task.step.job == job)
    };
    wait_until("the other job starts", || has_started(other));
    wait_until("the cancelled job is shown as such", || {
        caller.status(cancelled).as_deref() == Some("cancelled")
    });
    assert!(!has_started(cancelled), "the cancelled job was started");
}

/// The network forgets the owner's connections to the store, and nothing else is
/// wrong with it.
#[test]
fn owner_does_not_hear_of_inbox_rows_on_a_silent_connection() {
    let fleet = Fleet::start("silent_connection", TRANSACTION_DURATION);
    let owner = fleet.owner();
    hold_back_takeover(&fleet);
    begin_inbox_poll(&fleet);
    fleet.store.silence_connections(&owner.name);
    write_to_inbox(&fleet, job(1));
    let caller = fleet.caller(owner);
    let counted = holds_within(VISIBLE + COUNT_AGE, || caller.waiting() == Some(1));
    assert!(counted, "the owner does not count the job in its inbox");
}

/// The owner knows its own jobs, but not what its inbox holds.
#[test]
fn owner_returns_a_count_though_it_can_not_read_its_inbox() {
    let fleet = Fleet::start("unreadable_inbox", TRANSACTION_DURATION);
    let owner = fleet.owner();
    let refusal = Some(ReadFault::Refuse);
    fleet
        .store
        .set_read_fault(&owner.name, INBOX_TABLE, refusal);
    write_to_inbox(&fleet, job(1));
    thread::sleep(VISIBLE + COUNT_AGE);
    let counts = fleet.instances.iter().map(|instance| {
        let caller = fleet.caller(instance);
        caller.waiting()
    });
    let counts: Vec<_> = counts.collect();
    assert!(counts.iter().all(Option::is_none), "{counts:?}");
}

/// A response of the store holds 500 changes. The owner has read one of three when
/// it is asked.
#[test]
fn waiting_count_is_taken_from_a_part_of_the_inbox() {
    const JOBS: usize = 1200;
    // Below the time-out of the long poll, so that the owner keeps reading.
    const READ_DELAY: Duration = Duration::from_millis(1800);
    let fleet = Fleet::start("part_of_the_inbox", TRANSACTION_DURATION);
    let owner = fleet.owner();
    hold_back_takeover(&fleet);
    begin_inbox_poll(&fleet);
    fleet.store.silence_connections(&owner.name);
    let delay = Some(ReadFault::Delay(READ_DELAY));
    fleet.store.set_read_fault(&owner.name, INBOX_TABLE, delay);
    for number in 1..=JOBS as u64 {
        write_to_inbox(&fleet, job(number));
    }
    thread::sleep(VISIBLE + COUNT_AGE);
    let caller = fleet.caller(owner);
    let asked = Instant::now();
    loop {
        let count = caller.waiting();
        assert!(
            count.is_none_or(|count| count * 2 >= JOBS),
            "{count:?} of {JOBS} jobs are counted"
        );
        if count == Some(JOBS) {
            return;
        }
        assert!(asked.elapsed() < RECOVER, "no complete count: {count:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// The owner is lost, but its store heartbeat can't be read.
#[test]
fn claims_that_are_held_back_use_a_whole_core() {
    const MEASURED: Duration = Duration::from_secs(2);
    let fleet = Fleet::start("held_back_claims", TRANSACTION_DURATION);
    hold_back_takeover(&fleet);
    fleet.owner().kill();
    thread::sleep(UNRESPONSIVE);
    let before: Vec<Duration> = fleet.others().iter().map(|node| node.cpu_time()).collect();
    thread::sleep(MEASURED);
    for (instance, before) in fleet.others().iter().zip(before) {
        let used = instance.cpu_time().saturating_sub(before);
        assert!(used < MEASURED / 4, "{} used {used:?}", instance.name);
    }
}

/// The caller's process is told to stop. Just before it stops to take requests, the
/// owner becomes unresponsive, so that an answer takes over a second.
#[test]
fn planned_stop_cuts_a_request_that_waits_for_the_owner() {
    const BEFORE_CLOSE: Duration = Duration::from_secs(2);
    let fleet = Fleet::start("planned_stop", TRANSACTION_DURATION);
    let owner = fleet.owner();
    hold_back_takeover(&fleet);
    let stopping = fleet.others()[0];
    let caller = fleet.caller(stopping);
    wait_until("a job is accepted", || caller.submit(job(1)));
    stopping.terminate();
    thread::sleep(BEFORE_CLOSE);
    owner.pause();
    let status = caller.submit_status(job(2));
    assert!(status.is_some(), "the request got no answer");
}

/// Kills the owner while callers submit jobs, then applies a fault of the store.
/// Returns whether the pool got a new owner within [`TAKEOVER`], and the number of
/// transactions that the store refused.
fn lose_owner_under_load(fleet: &Fleet, store_fault: impl FnOnce()) -> (bool, u64) {
    let owner = fleet.owner();
    let others = fleet.others();
    let callers = others.iter().map(|instance| fleet.caller(instance));
    let load = Load::submit(&callers.collect::<Vec<_>>(), CALLERS_PER_INSTANCE);
    thread::sleep(Duration::from_millis(500));
    owner.kill();
    store_fault();
    let replaced = holds_within(TAKEOVER, || {
        fleet.owner_row().is_some_and(|row| row.node != owner.name)
    });
    let refused = fleet.store.refused_transactions();
    drop(load);
    (replaced, refused)
}

/// Refuses the reads by which other processes find that the owner is lost.
fn hold_back_takeover(fleet: &Fleet) {
    for instance in fleet.others() {
        let refusal = Some(ReadFault::Refuse);
        let store = &fleet.store;
        store.set_read_fault(&instance.name, HEARTBEAT_TABLE, refusal);
    }
}

/// Ends the owner's long poll of the inbox by a row for another pool, so that the
/// next one has just begun.
fn begin_inbox_poll(fleet: &Fleet) {
    let row = RowKey::new(INBOX_TABLE, "another pool", "row");
    fleet.store.write(&row, b"");
    thread::sleep(Duration::from_millis(300));
}

/// Stores a job in the inbox, like a process that can't reach the owner.
fn write_to_inbox(fleet: &Fleet, job: JobId) {
    let body = job_body(Resources::default(), 10);
    let raw: RawJob = parse_job(&body).unwrap();
    let record = JobRecord {
        queue: fleet.queue.name.clone(),
        pool: POOL.to_owned(),
        accepted_unix_ms: 1,
        priority: fleet.queue.priority,
        max_attempts: fleet.queue.max_attempts,
        tenant: None,
        advice: None,
        job: raw,
    };
    let row = RowKey::new(INBOX_TABLE, POOL, format!("submit/{job}"));
    let value = rmp_serde::to_vec_named(&record).unwrap();
    fleet.store.write(&row, &value);
}
