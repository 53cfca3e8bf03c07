//! Workers that have ended and are still listed in the registry.

use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::Rejection;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::entry;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Returns the workers to which lease renewals are sent now.
fn renewed(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<String> {
    scheduler.confirm_ownership(now_ms);
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let renewed = actions.into_iter().filter_map(|action| match action {
        Action::RenewLease { incarnation, .. } => Some(incarnation),
        _ => None,
    });
    let renewed: Vec<u32> = renewed.collect();
    let workers = renewed
        .into_iter()
        .map(|incarnation| scheduler.worker_address(incarnation).unwrap().1.to_owned());
    workers.collect()
}

/// Lets all lease renewals fail that are due until `until_ms`; returns their number.
fn failed_renewals(scheduler: &mut PoolScheduler, from_ms: u64, until_ms: u64) -> usize {
    let mut count = 0;
    for now_ms in (from_ms..until_ms).step_by(10) {
        scheduler.confirm_ownership(now_ms);
        scheduler.tick(at(now_ms));
        for action in scheduler.take_actions() {
            if let Action::RenewLease { incarnation, .. } = action {
                count += 1;
                let failure = Err(RenewalFailure::NoAnswer);
                scheduler.renewal_replied(incarnation, failure, at(now_ms));
            }
        }
    }
    count
}

/// Replays a wave of moves: the registry lists the former worker of each machine
/// for some seconds beside its new one. Each reading took the former ones for new
/// workers, so that an owner tried to reach hundreds of ended workers four times a
/// second.
#[test]
fn former_workers_of_machines_are_not_contacted_again() {
    let ids: Vec<String> = (0..40).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = ready_scheduler(&ids);
    let former = ids.iter().map(|id| entry(id, 5));
    let moved = ids.iter().map(|id| RegistryEntry {
        pool: "design".to_owned(),
        machine: Some(format!("machine-{id}")),
        ..entry(&format!("new-{id}"), 900)
    });
    let listed: Vec<RegistryEntry> = former.chain(moved).collect();
    for now_ms in (1000..5000).step_by(250) {
        scheduler.apply_registry(&listed, true, at(now_ms));
        store_batches(&mut scheduler, now_ms);
        assert_eq!(renewed(&mut scheduler, now_ms), [""; 0], "{now_ms} ms");
    }
}

/// Guards against repeated calls to an address at which another incarnation
/// answers, until the registry lists that one.
#[test]
fn an_ended_incarnation_is_not_contacted_again_while_it_is_listed() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let other = Err(RenewalFailure::OtherIncarnation);
    scheduler.renewal_replied(0, other, at(200));
    for now_ms in (250..4000).step_by(250) {
        scheduler.apply_registry(&[entry("w1", 5)], true, at(now_ms));
        store_batches(&mut scheduler, now_ms);
        assert_eq!(renewed(&mut scheduler, now_ms), [""; 0], "{now_ms} ms");
    }
    scheduler.apply_registry(&[entry("w1", 4100)], true, at(4200));
    store_batches(&mut scheduler, 4200);
    assert_eq!(renewed(&mut scheduler, 4200), ["w1"]);
}

/// A worker that has crashed stays listed for some seconds; while nothing runs
/// there, few calls find out whether it is back.
#[test]
fn silent_workers_without_runs_are_contacted_at_growing_intervals() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.renewal_replied(0, Err(RenewalFailure::NoAnswer), at(200));
    let count = failed_renewals(&mut scheduler, 200, 5000);
    assert!((4..=6).contains(&count), "{count} calls");
}

/// Replays the replacement of workers whose addresses go to others: a task is started
/// on one after another that has ended already. Guards against a job that is given up
/// for crashing workers on which it never ran.
#[test]
fn a_start_rejected_by_another_incarnation_is_no_crash() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut scheduler = ready_scheduler(&ids);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    for attempt in 0..5 {
        let now_ms = 200 + attempt * 50;
        scheduler.confirm_ownership(now_ms);
        scheduler.tick(at(now_ms));
        let actions = scheduler.take_actions();
        let start = actions.into_iter().find_map(|action| match action {
            Action::Start {
                incarnation,
                task,
                run,
                ..
            } => Some((incarnation, task, run)),
            _ => None,
        });
        let (incarnation, task, run) = start.unwrap();
        let outcome = OrderOutcome::Rejected(Rejection::OtherLife);
        scheduler.start_replied(incarnation, task, run, outcome, at(now_ms + 10));
    }
    scheduler.confirm_ownership(500);
    assert_eq!(starts(&mut scheduler, 500).len(), 1);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Pending));
}

/// A worker that is unresponsive, runs nothing and is missing from one reading of the
/// registry is listed again before its leases are over.
#[test]
fn a_worker_that_is_listed_again_is_never_contacted_again() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let [(_, task, run)] = starts(&mut scheduler, 200).try_into().unwrap();
    let task = task.parse().unwrap();
    let done = OrderOutcome::Done { clock_ms: 1200 };
    scheduler.start_replied(0, task, run, done, at(200));
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: 1300,
        completions: vec![RunCompletion {
            sequence: 1,
            task,
            run,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        }],
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(300));
    store_batches(&mut scheduler, 300);
    scheduler.renewal_replied(0, Err(RenewalFailure::NoAnswer), at(700));
    scheduler.apply_registry(&[], true, at(800));
    failed_renewals(&mut scheduler, 800, 2000);
    let contacted = (2000..10_000).step_by(500).find(|&now_ms| {
        scheduler.apply_registry(&[entry("w1", 5)], true, at(now_ms));
        renewed(&mut scheduler, now_ms) == ["w1"]
    });
    assert_eq!(contacted, Some(2000));
}
