//! Jobs that callers were told are unknown or cancelled, and whose submission is written later.

use std::thread;
use std::time::Duration;

use platform_standin::worker::WorkerStandIn;

use crate::CANCEL;
use crate::INBOX_TABLE;
use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;
use crate::hold_back_takeover;

/// How much later the store carries out a write.
const LATE: Duration = Duration::from_secs(5);
/// Number of the job that is cancelled.
const CANCELLED: u64 = 1;
/// Number of another job, which starts last.
const OTHER: u64 = 2;

/// Guards against a job that starts though its cancellation was answered with 410: the write
/// of its submission was done later.
#[test]
fn a_cancelled_job_starts_when_its_submission_is_written_late() {
    starts_no_cancelled_job("late_submission", |fleet| fleet.others()[0].name.clone());
}

/// The same where another process answers the cancellation, which knows of no submission.
#[test]
fn a_job_starts_that_another_process_has_shown_as_unknown() {
    starts_no_cancelled_job("late_elsewhere", |fleet| fleet.others()[1].name.clone());
}

fn starts_no_cancelled_job(test: &str, canceller: impl Fn(&Fleet) -> String) {
    let fleet = Fleet::start(test, TRANSACTION_DURATION);
    let edge = fleet.others()[0];
    let canceller = canceller(&fleet);
    let canceller = fleet.others().into_iter().find(|it| it.name == canceller);
    let canceller = fleet.caller(canceller.unwrap());
    let worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, None).unwrap();
    let store = &fleet.store;
    store.set_late_writes(&edge.name, INBOX_TABLE, Some(LATE));
    fleet.owner().kill();
    let caller = fleet.caller(edge);
    assert_eq!(caller.submit_status(job(CANCELLED)), Some(504));
    store.set_late_writes(&edge.name, INBOX_TABLE, None);
    wait_until("the cancellation is answered", || {
        canceller.cancel_status(job(CANCELLED)) == Some(410)
    });
    assert_eq!(store.late_transactions(&edge.name), 1);
    thread::sleep(LATE + CANCEL);
    wait_until("another job starts", || {
        caller.submit(job(OTHER)) && has_started(&worker, OTHER)
    });
    assert!(
        !has_started(&worker, CANCELLED),
        "the cancelled job was started"
    );
    assert!(matches!(
        caller.status(job(CANCELLED)).as_deref(),
        None | Some("cancelled")
    ));
}

/// Guards against a refusal, or 410, of a job whose own submission may still be written.
#[test]
fn a_job_is_shown_as_unknown_while_its_submission_may_be_written() {
    let fleet = Fleet::start("uncertain_submission", TRANSACTION_DURATION);
    let edge = fleet.others()[0];
    let store = &fleet.store;
    store.set_late_writes(&edge.name, INBOX_TABLE, Some(LATE));
    hold_back_takeover(&fleet);
    fleet.owner().kill();
    let caller = fleet.caller(edge);
    assert_eq!(caller.submit_status(job(CANCELLED)), Some(504));
    let status = caller.get_status(&job(CANCELLED).to_string());
    assert_eq!(status, Some(503));
    store.begin_outage();
    let repeated = caller.submit_status(job(CANCELLED));
    store.end_outage();
    assert!(matches!(repeated, Some(504) | None), "{repeated:?}");
}

fn has_started(worker: &WorkerStandIn, number: u64) -> bool {
    let runs = worker.started_runs();
    runs.iter().any(|run| run.task.step.job == job(number))
}
