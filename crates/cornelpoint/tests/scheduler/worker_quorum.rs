//! Quorums of workers: when an owner without word from the store grants leases, and how long
//! its successor waits for workers that are silent.

use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::PredecessorBounds;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::WorkerReport;

use crate::restart_support::BORN_MS;
use crate::restart_support::Order;
use crate::restart_support::Orders;
use crate::restart_support::REBORN_MS;
use crate::restart_support::confirm;
use crate::restart_support::listed;
use crate::restart_support::pass;
use crate::restart_support::passes;
use crate::restart_support::ready;
use crate::restart_support::report;
use crate::restart_support::running;
use crate::restart_support::successor;
use crate::restart_support::worker_of;
use crate::support::at;
use crate::support::entry;
use crate::support::step;
use crate::support::submit;

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
/// When the store has replaced the predecessor.
const REPLACED_MS: u64 = 1000;
const LEASE_EXPIRY_MS: u64 = 4350;
/// End of the wait for silent workers without a quorum, as set by `successor`.
const LONGEST_WAIT_MS: u64 = 9000;
/// Time after its replacement until which a predecessor grants leases without a quorum.
const CONFIRMED_MS: u64 = 1500;
/// End of the wait with a quorum that is fenced at once.
const WAIT_MS: u64 = REPLACED_MS + CONFIRMED_MS + LEASE_EXPIRY_MS;
/// Time from the end of a wait to the next pass, and some more.
const NEXT_PASS_MS: u64 = 200;

fn bounded_successor(earlier_leases_end_ms: u64) -> PoolScheduler {
    let mut scheduler = successor(&WORKERS);
    scheduler.bound_predecessor(PredecessorBounds {
        replaced_ms: REPLACED_MS,
        earlier_leases_end_ms,
        lease_expiry_ms: LEASE_EXPIRY_MS,
    });
    scheduler.apply_registry(&listed(&WORKERS, BORN_MS), true, at(REPLACED_MS));
    scheduler
}

/// Returns when the inherited task is started.
fn started_ms(
    scheduler: &mut PoolScheduler,
    answer: &dyn Fn(&str, u64) -> Option<WorkerReport>,
) -> u64 {
    let orders = passes(scheduler, (REPLACED_MS, 2 * LONGEST_WAIT_MS), answer);
    orders.starts.first().expect("a start").0
}

fn assert_waits(scheduler: &mut PoolScheduler, answering: &[&str], end_ms: u64) {
    let answer = |id: &str, now_ms: u64| answering.contains(&id).then(|| report(BORN_MS, now_ms));
    let started_ms = started_ms(scheduler, &answer);
    assert!(
        (end_ms..end_ms + NEXT_PASS_MS).contains(&started_ms),
        "{answering:?} answer; started at {started_ms} ms, expected at {end_ms} ms"
    );
}

/// Guards against a successor that waits the longest time for silent workers, or too short
/// for workers that its predecessor may still reach.
#[test]
fn silent_workers_keep_a_pool_from_working_beside_a_quorum() {
    for (answering, end_ms) in [
        (&["w1", "w2", "w3"][..], WAIT_MS),
        (&["w2", "w3", "w4"], WAIT_MS),
        // The first worker breaks ties.
        (&["w1", "w4"], WAIT_MS),
        (&["w3", "w4"], LONGEST_WAIT_MS),
        (&["w1"], LONGEST_WAIT_MS),
    ] {
        assert_waits(&mut bounded_successor(0), answering, end_ms);
    }
}

/// Guards against a start while an owner before the predecessor may grant leases.
#[test]
fn a_quorum_ends_the_wait_for_earlier_owners() {
    let earlier_end_ms = WAIT_MS + 1000;
    let mut scheduler = bounded_successor(earlier_end_ms);
    assert_waits(&mut scheduler, &["w1", "w2", "w3"], earlier_end_ms);
}

/// Guards against a predecessor of an older version, which grants leases without a quorum.
#[test]
fn a_quorum_ends_the_wait_for_a_predecessor_that_grants_leases_without_one() {
    let mut scheduler = successor(&WORKERS);
    scheduler.apply_registry(&listed(&WORKERS, BORN_MS), true, at(REPLACED_MS));
    assert_waits(&mut scheduler, &["w1", "w2", "w3"], LONGEST_WAIT_MS);
}

/// Guards against workers that keep a pool from working since they have ended: their machines
/// have been moved, or they have restarted.
#[test]
fn workers_that_have_ended_keep_a_quorum_from_being_fenced() {
    for restarted in [false, true] {
        let mut scheduler = bounded_successor(0);
        let mut entries = listed(&["w1", "w4"], BORN_MS);
        entries.push(if restarted {
            entry("w2", REBORN_MS)
        } else {
            RegistryEntry {
                machine: Some("machine-w2".to_owned()),
                ..entry("w9", REBORN_MS)
            }
        });
        scheduler.apply_registry(&entries, true, at(REPLACED_MS));
        let answer = |id: &str, now_ms: u64| (id == "w1").then(|| report(BORN_MS, now_ms));
        let started_ms = started_ms(&mut scheduler, &answer);
        assert!(
            (WAIT_MS..WAIT_MS + NEXT_PASS_MS).contains(&started_ms),
            "restarted: {restarted}; started at {started_ms} ms"
        );
    }
}

/// Guards against two runs of a task: an owner that may have a successor starts it, or renews
/// its lease, on a worker that the successor has not reached. And against an owner that
/// doesn't ask its idle workers while the store is silent.
#[test]
fn an_owner_without_word_from_the_store_grants_leases_to_a_minority() {
    let mut scheduler = ready(&["w1", "w2", "w3"]);
    scheduler.confirm_ownership(1000);
    submit(&mut scheduler, 1, vec![step(1, 100)], 1000);
    let all = |_: &str| Some(report(BORN_MS, 1000));
    let [(_, order)] = pass(&mut scheduler, 1000, &all).starts[..] else {
        panic!("one start expected");
    };
    confirm(&mut scheduler, order, 0, 1002);
    let busy = worker_of(&scheduler, order);
    let mut silent_passes = |job: Option<u64>, span_ms: (u64, u64), only_busy: bool| {
        if let Some(job) = job {
            submit(&mut scheduler, job, vec![step(1, 100)], span_ms.0);
        }
        let mut sum = Orders::default();
        for now_ms in (span_ms.0..span_ms.1).step_by(50) {
            let orders = pass(&mut scheduler, now_ms, &|id| {
                let runs: &[Order] = if id == busy { &[order] } else { &[] };
                (id == busy || !only_busy).then(|| running(BORN_MS, now_ms, runs))
            });
            sum.starts.extend(orders.starts);
            sum.granted_ms.extend(orders.granted_ms);
        }
        sum
    };
    silent_passes(None, (1050, 2900), false);
    let quorum = silent_passes(Some(2), (2900, 3500), false);
    assert!(!quorum.starts.is_empty() && !quorum.granted_ms.is_empty());
    // The answers of the others become too old.
    silent_passes(None, (3500, 5500), true);
    let minority = silent_passes(Some(3), (5500, 7500), true);
    assert_eq!((minority.starts, minority.granted_ms), (vec![], vec![]));
    scheduler.confirm_ownership(7500);
    let confirmed = pass(&mut scheduler, 7500, &|_| None);
    assert!(!confirmed.starts.is_empty());
}

/// Guards against a quorum of a row of workers that the store may have replaced.
#[test]
fn an_owner_takes_a_row_of_workers_for_stored_whose_write_had_no_answer() {
    for in_doubt in [false, true] {
        let mut scheduler = ready(&["w1"]);
        submit(&mut scheduler, 1, vec![step(1, 100)], 250);
        let answer = |id: &str, now_ms: u64| (id == "w1").then(|| report(BORN_MS, now_ms));
        assert_eq!(
            pass(&mut scheduler, 250, &|id| answer(id, 250))
                .starts
                .len(),
            1
        );
        if in_doubt {
            scheduler.apply_registry(&listed(&WORKERS, BORN_MS), true, at(300));
            scheduler.begin_batch(at(300)).expect("a row of workers");
            scheduler.batch_replied(BatchOutcome::Unknown, at(310));
        }
        for now_ms in (350..3000).step_by(50) {
            scheduler.tick(at(now_ms));
            for action in scheduler.take_actions() {
                let Action::RenewLease { incarnation, .. } = action else {
                    continue;
                };
                let (_, id) = scheduler.worker_address(incarnation).unwrap();
                let outcome = answer(id, now_ms).ok_or(RenewalFailure::NoAnswer);
                scheduler.renewal_replied(incarnation, outcome, at(now_ms + 2));
            }
        }
        let may_grant = scheduler.may_grant_leases(0, at(3000));
        assert_eq!(may_grant, !in_doubt);
    }
}
