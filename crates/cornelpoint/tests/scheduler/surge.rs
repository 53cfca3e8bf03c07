//! Thousands of tasks that become ready at once.

use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::worker::OrderOutcome;

use crate::support::at;
use crate::support::ready_scheduler;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

type Start = (u32, TaskId, u64);

/// Returns the starts that are ordered now.
fn ordered(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<Start> {
    scheduler.confirm_ownership(now_ms);
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start {
            incarnation,
            task,
            run,
            ..
        } => Some((incarnation, task, run)),
        _ => None,
    });
    starts.collect()
}

fn answer(scheduler: &mut PoolScheduler, start: Start, outcome: OrderOutcome, now_ms: u64) {
    let (incarnation, task, run) = start;
    scheduler.start_replied(incarnation, task, run, outcome, at(now_ms));
}

/// A pool of 120 workers with four free cores each and 400 tasks of one core.
fn surge() -> PoolScheduler {
    let ids: Vec<String> = (0..120).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = ready_scheduler(&ids);
    for number in 1..=50 {
        submit(&mut scheduler, number, vec![step(8, 1000)], 100);
    }
    store_batches(&mut scheduler, 110);
    scheduler
}

/// Guards against orders that time out while the process handles the answers to
/// others: a surge of 2,400 tasks a second made an owner send thousands at once, of
/// which most were sent again after their timeout.
#[test]
fn orders_to_start_in_flight_are_bounded() {
    let limit = SchedulerSettings::default().max_starts_in_flight;
    let mut scheduler = surge();
    let mut in_flight = ordered(&mut scheduler, 1000);
    assert_eq!(in_flight.len(), limit);
    assert!(ordered(&mut scheduler, 1001).is_empty());
    let mut total = in_flight.len();
    let mut now_ms = 1002;
    while !in_flight.is_empty() {
        for start in in_flight.drain(..40.min(in_flight.len())) {
            let done = OrderOutcome::Done { clock_ms: now_ms };
            answer(&mut scheduler, start, done, now_ms);
        }
        let more = ordered(&mut scheduler, now_ms);
        total += more.len();
        in_flight.extend(more);
        assert!(in_flight.len() <= limit);
        now_ms += 1;
    }
    assert_eq!(total, 400);
}

/// Guards against a limit that is never freed by the orders to a worker that has
/// ended.
#[test]
fn orders_to_an_ended_worker_do_not_count_as_in_flight() {
    let mut scheduler = surge();
    let in_flight = ordered(&mut scheduler, 1000);
    let (ended, _, _) = in_flight[0];
    let of_ended = in_flight.iter().filter(|(worker, _, _)| *worker == ended);
    let of_ended = of_ended.count();
    let (_, task, run) = in_flight[0];
    let other_life = OrderOutcome::Rejected(cornelpoint::worker::Rejection::OtherLife);
    answer(&mut scheduler, (ended, task, run), other_life, 1005);
    assert_eq!(ordered(&mut scheduler, 1010).len(), of_ended);
}

/// Guards against running work that is given up since the owner was too busy to
/// send an order: that says nothing about the worker.
#[test]
fn an_order_that_waited_for_a_connection_leaves_its_worker_in_use() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let started = ordered(&mut scheduler, 120);
    assert_eq!(started.len(), 1);
    answer(&mut scheduler, started[0], OrderOutcome::Busy, 720);
    let again = ordered(&mut scheduler, 721);
    assert_eq!(again.len(), 1, "the worker is usable at once");
    assert_eq!(again[0].1, started[0].1);
    assert!(again[0].2 > started[0].2);
}
