//! Details of how runs, leases and acknowledgements pass from an incarnation of a worker
//! to the next one.

use cornelpoint::job::JobStatus;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;

use crate::restart_support::BORN_AGAIN_MS;
use crate::restart_support::BORN_MS;
use crate::restart_support::REBORN_MS;
use crate::restart_support::completed;
use crate::restart_support::confirm;
use crate::restart_support::leave_unanswered;
use crate::restart_support::listed;
use crate::restart_support::pass;
use crate::restart_support::passes;
use crate::restart_support::ready;
use crate::restart_support::report;
use crate::restart_support::restart_listed;
use crate::restart_support::running;
use crate::restart_support::start;
use crate::restart_support::successor;
use crate::restart_support::worker_of;
use crate::support::at;
use crate::support::entry;
use crate::support::job_id;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// When the last order before the restart, at 1000 ms, is at work no longer: 2 s on its way,
/// the longest lease (10 s) by a clock that is 2 % slow, and a margin.
const FORMER_ORDERS_END_MS: u64 = 1000 + 2000 + 10_000;
const FORMER_ORDERS_GONE_MS: u64 = FORMER_ORDERS_END_MS + 2000;

/// Deadlines by the former clock mean nothing to the new incarnation.
#[test]
fn a_run_is_started_again_while_the_lease_of_a_restarted_worker_lasts() {
    let mut scheduler = ready(&["w1", "w2"]);
    let order = start(&mut scheduler, 1, 1000, 1000);
    let worker = worker_of(&scheduler, order);
    confirm(&mut scheduler, order, 0, 1002);
    restart_listed(&mut scheduler, order, &["w1", "w2"], 1010);
    let other = |id: &str, now_ms: u64| (id != worker).then(|| report(BORN_MS, now_ms));
    let early = passes(&mut scheduler, (1050, FORMER_ORDERS_END_MS), &other);
    assert_eq!(early.starts, []);
    let span_ms = (FORMER_ORDERS_END_MS, FORMER_ORDERS_GONE_MS);
    let orders = passes(&mut scheduler, span_ms, &other);
    assert_eq!(orders.starts.len(), 1, "{orders:?}");
}

/// The clock in the answer to the start is that of the new incarnation.
#[test]
fn a_lease_by_a_clock_that_was_set_back_lasts_for_minutes() {
    for stopped in [false, true] {
        let mut scheduler = ready(&["w1", "w2"]);
        let order = start(&mut scheduler, 1, 1000, 1000);
        let (incarnation, task, run) = order;
        let worker = worker_of(&scheduler, order);
        if stopped {
            leave_unanswered(&mut scheduler, order, 1010);
            let orders = passes(&mut scheduler, (1020, 1100), &|_, now_ms| {
                Some(report(BORN_MS, now_ms))
            });
            assert_eq!(orders.stops.len(), 1, "{orders:?}");
            let outcome = OrderOutcome::Done { clock_ms: 50 };
            scheduler.stop_replied(incarnation, task, run, outcome, at(1110));
        } else {
            confirm(&mut scheduler, order, 50, 1010);
        }
        let other = |id: &str, now_ms: u64| (id != worker).then(|| report(BORN_MS, now_ms));
        let early = passes(&mut scheduler, (1150, FORMER_ORDERS_END_MS), &other);
        assert_eq!(early.starts, [], "stopped: {stopped}");
        let end_ms = FORMER_ORDERS_GONE_MS + 2000;
        let orders = passes(&mut scheduler, (FORMER_ORDERS_END_MS, end_ms), &other);
        assert_eq!(orders.starts.len(), 1, "stopped: {stopped}");
    }
}

/// The stop was confirmed by the former incarnation, before or after the restart is known.
#[test]
fn a_stop_confirmed_by_a_former_incarnation_settles_a_run_on_the_next_one() {
    for confirmed_before in [true, false] {
        let mut scheduler = ready(&["w1", "w2"]);
        let order = start(&mut scheduler, 1, 1000, 1000);
        let (incarnation, task, run) = order;
        let worker = worker_of(&scheduler, order);
        leave_unanswered(&mut scheduler, order, 1010);
        let orders = passes(&mut scheduler, (1020, 1100), &|_, now_ms| {
            Some(report(BORN_MS, now_ms))
        });
        assert_eq!(orders.stops.len(), 1, "{orders:?}");
        let outcome = OrderOutcome::Done { clock_ms: 0 };
        if confirmed_before {
            scheduler.stop_replied(incarnation, task, run, outcome, at(1101));
        }
        restart_listed(&mut scheduler, order, &["w1", "w2"], 1102);
        if !confirmed_before {
            scheduler.stop_replied(incarnation, task, run, outcome, at(1103));
        }
        let orders = passes(&mut scheduler, (1150, 3000), &|id, now_ms| {
            let born_ms = if id == worker { REBORN_MS } else { BORN_MS };
            Some(report(born_ms, now_ms))
        });
        assert_eq!(orders.starts, [], "confirmed before: {confirmed_before}");
        let stop = orders.stops.first().map(|&(_, (_, task, run))| (task, run));
        assert_eq!(stop, Some((task, run)));
    }
}

/// What crashed the worker may be the run that it had not reported.
#[test]
fn a_job_is_given_up_for_crashes_beside_runs_that_had_just_started() {
    let mut scheduler = ready(&["w1"]);
    let mut order = start(&mut scheduler, 1, 1000, 1000);
    let mut born_ms = BORN_MS;
    let mut kept = Vec::new();
    for round in 0..4 {
        let now_ms = 1000 + round * 1000;
        confirm(&mut scheduler, order, 0, now_ms + 2);
        let mut known = kept.clone();
        known.push(order);
        passes(&mut scheduler, (now_ms + 50, now_ms + 100), &|_, now_ms| {
            Some(running(born_ms, now_ms, &known))
        });
        submit(&mut scheduler, 2 + round, vec![step(1, 500)], now_ms + 100);
        let started = pass(&mut scheduler, now_ms + 150, &|_| {
            Some(running(born_ms, now_ms + 150, &known))
        });
        let [(_, beside)] = started.starts.as_slice() else {
            panic!("round {round}: one start expected, found {started:?}");
        };
        confirm(&mut scheduler, *beside, 0, now_ms + 152);
        born_ms = REBORN_MS + round;
        scheduler.apply_registry(&listed(&["w1"], born_ms), true, at(now_ms + 160));
        kept = vec![*beside];
        let orders = passes(
            &mut scheduler,
            (now_ms + 200, now_ms + 950),
            &|_, now_ms| Some(running(born_ms, now_ms, &kept)),
        );
        let again = orders
            .starts
            .iter()
            .find(|(_, (_, task, _))| *task == order.1);
        order = again
            .unwrap_or_else(|| panic!("round {round}: {orders:?}"))
            .1;
    }
    assert_ne!(scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

/// Each start crashes its worker, which restarts under its identifier.
#[test]
fn a_job_that_crashes_workers_which_restart_is_never_given_up() {
    let mut scheduler = ready(&["w1"]);
    let mut order = start(&mut scheduler, 1, 1000, 1000);
    let mut now_ms = 1000;
    for born_ms in [REBORN_MS, BORN_AGAIN_MS] {
        confirm(&mut scheduler, order, 0, now_ms + 2);
        scheduler.apply_registry(&listed(&["w1"], born_ms), true, at(now_ms + 10));
        let end_ms = now_ms + 3000;
        while now_ms < end_ms {
            now_ms += 50;
            let span_ms = (now_ms, now_ms + 50);
            let idle = |_: &str, now_ms: u64| Some(report(born_ms, now_ms));
            if let Some(&(_, again)) = passes(&mut scheduler, span_ms, &idle).starts.first() {
                order = again;
                break;
            }
        }
    }
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

/// The restarted worker may be of another kind.
#[test]
fn a_task_starts_on_a_restarted_worker_that_is_not_listed_yet() {
    let mut scheduler = ready(&["w1"]);
    let order = start(&mut scheduler, 1, 1000, 1000);
    confirm(&mut scheduler, order, 0, 1002);
    let answer = |_: &str, now_ms: u64| Some(running(REBORN_MS, now_ms, &[order]));
    passes(&mut scheduler, (1050, 1200), &answer);
    submit(&mut scheduler, 2, vec![step(1, 1000)], 1200);
    let orders = passes(&mut scheduler, (1250, 2000), &answer);
    assert_eq!(orders.starts, []);
    scheduler.apply_registry(&listed(&["w1"], REBORN_MS), true, at(2000));
    let orders = passes(&mut scheduler, (2050, 2300), &answer);
    assert_eq!(orders.starts.len(), 1, "{orders:?}");
}

/// Moved runs occupy the new incarnation.
#[test]
fn a_restarted_worker_gets_more_tasks_than_fit_beside_a_former_run() {
    let mut scheduler = ready(&["w1"]);
    let order = start(&mut scheduler, 1, 3000, 1000);
    confirm(&mut scheduler, order, 0, 1002);
    restart_listed(&mut scheduler, order, &["w1"], 1010);
    submit(&mut scheduler, 2, vec![step(1, 3000)], 1020);
    let orders = passes(&mut scheduler, (1050, 3000), &|_, now_ms| {
        Some(running(REBORN_MS, now_ms, &[order]))
    });
    assert_eq!(orders.starts, []);
}

/// The worker would report the completion for ever, or its next incarnation would forget
/// one that nobody has read.
#[test]
fn a_stored_completion_of_an_idle_worker_is_acknowledged_never_or_twice() {
    let mut scheduler = ready(&["w1"]);
    let order = start(&mut scheduler, 1, 1000, 1000);
    confirm(&mut scheduler, order, 0, 1002);
    let mut acknowledged = passes(&mut scheduler, (1050, 1100), &|_, now_ms| {
        Some(completed(order, now_ms))
    })
    .acknowledged;
    let later = passes(&mut scheduler, (1100, 4000), &|_, now_ms| {
        Some(report(BORN_MS, now_ms))
    });
    acknowledged.extend(later.acknowledged);
    submit(&mut scheduler, 2, vec![step(1, 1000)], 4000);
    let later = passes(&mut scheduler, (4000, 5000), &|_, now_ms| {
        Some(report(BORN_MS, now_ms))
    });
    acknowledged.extend(later.acknowledged);
    acknowledged.retain(|sequence| *sequence != 0);
    assert_eq!(acknowledged, [1]);
}

/// A worker that did not answer may have restarted.
#[test]
fn a_completion_is_acknowledged_to_a_worker_that_did_not_answer() {
    let mut scheduler = ready(&["w1"]);
    let order = start(&mut scheduler, 1, 1000, 1000);
    confirm(&mut scheduler, order, 0, 1002);
    passes(&mut scheduler, (1050, 1100), &|_, now_ms| {
        Some(completed(order, now_ms))
    });
    let silent = passes(&mut scheduler, (1100, 3000), &|_, _| None).acknowledged;
    assert_eq!(silent[0], 1, "{silent:?}");
    assert!(silent.len() > 2 && silent[1..].iter().all(|sequence| *sequence == 0));
    let answered = passes(&mut scheduler, (3000, 6000), &|_, now_ms| {
        Some(completed(order, now_ms))
    });
    let answered: Vec<u64> = answered.acknowledged;
    assert_eq!(answered.first(), Some(&0), "{answered:?}");
    assert!(answered.contains(&1), "{answered:?}");
}

/// A restarted worker has forgotten the fencing token, so that it may still carry out an
/// order of the predecessor.
#[test]
fn a_successor_does_not_wait_for_the_report_of_a_restarted_worker() {
    let mut scheduler = successor(&["w1"]);
    let mut entries = listed(&["w2"], BORN_MS);
    entries.push(entry("w1", REBORN_MS));
    scheduler.apply_registry(&entries, true, at(1000));
    let silent = |id: &str, now_ms: u64| (id == "w2").then(|| report(BORN_MS, now_ms));
    let orders = passes(&mut scheduler, (1000, 5000), &silent);
    assert_eq!(orders.starts, []);
    let both = |id: &str, now_ms: u64| {
        let born_ms = if id == "w2" { BORN_MS } else { REBORN_MS };
        Some(report(born_ms, now_ms))
    };
    let orders = passes(&mut scheduler, (5000, 6000), &both);
    assert_eq!(orders.starts.len(), 1, "{orders:?}");
}

/// The incarnation that has reported to the successor has restarted, too.
#[test]
fn a_successor_does_not_wait_for_a_worker_that_restarts_once_more() {
    let mut scheduler = successor(&["w1"]);
    let mut entries = listed(&["w2"], BORN_MS);
    entries.push(entry("w1", REBORN_MS));
    scheduler.apply_registry(&entries, true, at(1000));
    store_batches(&mut scheduler, 1000);
    let answer = |id: &str, now_ms: u64| {
        let born_ms = if id == "w2" { BORN_MS } else { REBORN_MS };
        Some(report(born_ms, now_ms))
    };
    for now_ms in [1050, 1100, 1150] {
        let orders = pass(&mut scheduler, now_ms, &|id| answer(id, now_ms));
        assert_eq!(orders.starts, [], "not confirmed");
    }
    entries.pop();
    entries.push(entry("w1", BORN_AGAIN_MS));
    scheduler.apply_registry(&entries, true, at(1200));
    let silent = |id: &str, now_ms: u64| (id == "w2").then(|| report(BORN_MS, now_ms));
    let orders = passes(&mut scheduler, (1250, 3000), &silent);
    assert_eq!(orders.starts, []);
}

/// Each reading of the registry shows the end again.
#[test]
fn a_successor_waits_for_ownership_confirmed_after_the_latest_reading() {
    let mut scheduler = successor(&["w1"]);
    let newer = RegistryEntry {
        machine: Some("machine-w1".to_owned()),
        ..entry("w9", REBORN_MS)
    };
    scheduler.apply_registry(std::slice::from_ref(&newer), true, at(1000));
    let answer = |_: &str| Some(report(REBORN_MS, 1500));
    assert_eq!(pass(&mut scheduler, 1050, &answer).starts, []);
    scheduler.apply_registry(&[newer], true, at(1500));
    scheduler.confirm_ownership(1200);
    let mut starts = pass(&mut scheduler, 1550, &answer).starts;
    starts.extend(pass(&mut scheduler, 1600, &answer).starts);
    assert_eq!(starts.len(), 1, "{starts:?}");
}
