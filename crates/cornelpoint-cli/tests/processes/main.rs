//! Tests of the real processes, which are killed, frozen and stopped; the
//! history checker verifies the guarantees.

mod faulty_platform;
mod fleet;
mod orders;
mod process;
mod settings;
mod zone;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cornelpoint::configuration::Generation;
use cornelpoint::request::RunState;
use cornelpoint_standin::clock::now_ms;
use cornelpoint_standin::history::History;
use cornelpoint_standin::history::Limits;
use cornelpoint_standin::history::Outcome;
use cornelpoint_standin::history::Recorder;
use cornelpoint_standin::history::check;
use serde_json::Value;

use self::fleet::Fleet;
use self::fleet::ZONES;
use self::fleet::gateway_name;
use self::fleet::wait_for;
use self::orders::Order;
use self::orders::is_answered;
use self::orders::send_orders;
use self::process::Signal;

/// Number of orders in flight when a fault occurs; fewer than the endpoints have slots.
const ORDERS_IN_FLIGHT: usize = 12;

/// Minimum number of orders that run when a fault occurs.
const MIN_RUNNING: usize = 4;

/// Time between the orders that are sent while their gateway is killed.
const ORDER_INTERVAL: Duration = Duration::from_millis(60);

/// Number of callers that each send one order at a time.
const CALLERS: usize = 8;

/// Minimum number of runs before a planned stop.
const RUNS_BEFORE_STOP: usize = 100;

/// Time after its deadline in which a request may still start.
const LATE_START_MS: u64 = 1000;

/// Sets the stop flag of a test's threads when dropped, also when the test panics.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn assert_no_violation(history: &History) {
    eprintln!("{}", summary(history));
    let violations = check(history, Limits::default());
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Counts the calls by outcome, as text.
fn summary(history: &History) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for completion in history.completions.values() {
        let outcome = match &completion.outcome {
            Outcome::Answered { status, .. } => format!("answered {status}"),
            Outcome::Refused { run, reason, .. } => format!("{reason} {}", run.as_str()),
            Outcome::Lost { found } => format!("lost: {found}"),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    format!("{} runs, outcomes {counts:?}", history.runs.len())
}

#[test]
fn processes_start_serve_dump_their_state_and_stop() {
    let fleet = Fleet::start();
    let recorder = Recorder::default();
    for number in 0..ZONES.len() {
        let order = Order::keyed(format!("order-{number}"));
        let outcome = order.call(&fleet, &recorder, number);
        assert!(is_answered(&outcome), "{outcome:?}");
    }
    for zone in &fleet.zones {
        for (process, name) in [(zone.gateway_control, "gateway"), (zone.keeper, "entry")] {
            let output = fleet.command(&["dump", "--process", &process.to_string()]);
            let dump: Value = serde_json::from_slice(&output.stdout).unwrap();
            assert_eq!(dump["instance"], format!("{name}-{}", zone.name));
        }
    }
    assert_no_violation(&fleet.finish(recorder));
}

#[test]
fn no_idempotency_key_runs_twice_when_a_gateway_is_killed() {
    let mut fleet = Fleet::start();
    let recorder = Recorder::default();
    let orders: Vec<_> = (0..4 * ORDERS_IN_FLIGHT)
        .map(|number| Order {
            work_ms: 300,
            deadline_ms: 4000,
            ..Order::keyed(format!("order-{number}"))
        })
        .collect();
    let mut killed = fleet.gateways.remove(0);
    let (fleet_ref, recorder_ref) = (&fleet, &recorder);
    let repeats: Vec<Outcome> = thread::scope(|scope| {
        let callers: Vec<_> = orders
            .iter()
            .zip(0..)
            .map(|(order, number)| {
                scope.spawn(move || {
                    thread::sleep(ORDER_INTERVAL * number);
                    order.call(fleet_ref, recorder_ref, 0);
                    order.call(fleet_ref, recorder_ref, 1)
                })
            })
            .collect();
        wait_for("ended and running orders", || {
            fleet_ref.runs() > 2 * MIN_RUNNING && fleet_ref.running() >= MIN_RUNNING
        });
        killed.signal(Signal::Kill);
        killed.wait();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    let history = fleet.finish(recorder);
    assert_no_violation(&history);
    let other = repeats
        .iter()
        .find(|repeat| !is_answered_or_unknown(repeat));
    assert_eq!(other, None);
}

fn is_answered_or_unknown(outcome: &Outcome) -> bool {
    let unknown = RunState::Unknown;
    is_answered(outcome) || matches!(outcome, Outcome::Refused { run, .. } if *run == unknown)
}

#[test]
fn a_gateway_frozen_past_deadlines_runs_no_order_twice_or_late() {
    const DEADLINE_MS: u64 = 4000;
    let fleet = Fleet::start();
    let recorder = Recorder::default();
    let orders = Order::several(ORDERS_IN_FLIGHT, 1500, DEADLINE_MS);
    thread::scope(|scope| {
        for order in &orders {
            scope.spawn(|| order.call(&fleet, &recorder, 0));
        }
        let all = ORDERS_IN_FLIGHT as u64;
        wait_for("orders in flight", || {
            fleet.requests(0) == all && fleet.running() >= MIN_RUNNING
        });
        fleet.gateways[0].signal(Signal::Stop);
        let frozen_ms = now_ms();
        for order in orders.iter().filter(|order| order.is_keyed) {
            scope.spawn(|| order.call(&fleet, &recorder, 1));
        }
        let resume_ms = frozen_ms + DEADLINE_MS + 2 * LATE_START_MS;
        wait_for("passed deadlines", || now_ms() > resume_ms);
        fleet.gateways[0].signal(Signal::Continue);
    });
    let history = fleet.finish(recorder);
    assert_no_violation(&history);
    assert_eq!(late_starts(&history, DEADLINE_MS), Vec::<String>::new());
}

#[test]
fn an_order_that_waits_at_a_frozen_gateway_past_its_deadline_does_not_run() {
    const DEADLINE_MS: u64 = 1000;
    let fleet = Fleet::start();
    let recorder = Recorder::default();
    let orders = Order::several(ORDERS_IN_FLIGHT, 100, DEADLINE_MS);
    thread::scope(|scope| {
        fleet.gateways[0].signal(Signal::Stop);
        let frozen_ms = now_ms();
        for order in &orders {
            scope.spawn(|| order.call(&fleet, &recorder, 0));
        }
        let resume_ms = frozen_ms + DEADLINE_MS + 3 * LATE_START_MS;
        wait_for("passed deadlines", || now_ms() > resume_ms);
        fleet.gateways[0].signal(Signal::Continue);
    });
    let history = fleet.finish(recorder);
    assert_no_violation(&history);
    assert_eq!(late_starts(&history, DEADLINE_MS), Vec::<String>::new());
}

/// Lists the runs that started later than the deadline of the last call allows.
fn late_starts(history: &History, deadline_ms: u64) -> Vec<String> {
    let mut late = Vec::new();
    for run in &history.runs {
        let calls = history.invocations.values();
        let own = calls.filter(|call| Some(&call.request) == run.request.as_ref());
        let limit_ms = |last_ms| last_ms + deadline_ms + LATE_START_MS;
        let last_ms = own.map(|call| call.started_ms).max();
        if last_ms.is_some_and(|last_ms| run.started_ms > limit_ms(last_ms)) {
            late.push(format!("{:?}: {} ms", run.request, run.started_ms));
        }
    }
    late
}

#[test]
fn a_planned_stop_of_a_gateway_loses_no_request() {
    let mut fleet = Fleet::start();
    let recorder = Recorder::default();
    let stop = AtomicBool::new(false);
    let mut stopped = fleet.gateways.remove(0);
    let (fleet_ref, recorder_ref, stop_flag) = (&fleet, &recorder, &stop);
    let code = thread::scope(|scope| {
        let _stop_callers = SetOnDrop(stop_flag);
        for caller in 0..CALLERS {
            scope.spawn(move || send_orders(fleet_ref, recorder_ref, caller, stop_flag));
        }
        wait_for("a steady load", || fleet_ref.runs() > RUNS_BEFORE_STOP);
        let gateway = gateway_name(0);
        recorder_ref.planned_stop(&gateway.as_str().try_into().unwrap());
        stopped.terminate()
    });
    assert_eq!(code, Some(0));
    let history = fleet.finish(recorder);
    assert_no_violation(&history);
    let mut outcomes = history.completions.values().map(|c| &c.outcome);
    assert_eq!(outcomes.find(|outcome| !is_answered(outcome)), None);
}

#[test]
fn callers_are_served_while_a_keeper_is_frozen_or_killed() {
    let mut fleet = Fleet::start();
    let recorder = Recorder::default();
    let stop = AtomicBool::new(false);
    let mut keeper = fleet.keepers.remove(1);
    let (fleet_ref, recorder_ref, stop_flag) = (&fleet, &recorder, &stop);
    thread::scope(|scope| {
        let _stop_callers = SetOnDrop(stop_flag);
        scope.spawn(move || watch_generations(fleet_ref, recorder_ref, stop_flag));
        keeper.signal(Signal::Stop);
        wait_until_served(fleet_ref, recorder_ref, "frozen");
        fleet_ref.accept(101);
        wait_for_generation(fleet_ref, Generation(2));
        keeper.signal(Signal::Continue);
        wait_until_served(fleet_ref, recorder_ref, "resumed");
        fleet_ref.accept(102);
        wait_for_generation(fleet_ref, Generation(3));
        keeper.signal(Signal::Kill);
        keeper.wait();
        wait_until_served(fleet_ref, recorder_ref, "killed");
        fleet_ref.accept(103);
        wait_for_generation(fleet_ref, Generation(4));
    });
    assert_no_violation(&fleet.finish(recorder));
}

/// Waits until each gateway answers five orders in succession.
fn wait_until_served(fleet: &Fleet, recorder: &Recorder, phase: &str) {
    let orders_in_turn = 5;
    for gateway in 0..ZONES.len() {
        wait_for("served callers", || {
            (0..orders_in_turn).all(|count| {
                let request = format!("{phase}-{gateway}-{count}-{}", now_ms());
                let order = Order {
                    deadline_ms: 2000,
                    ..Order::keyed(request)
                };
                is_answered(&order.call(fleet, recorder, gateway))
            })
        });
    }
}

fn wait_for_generation(fleet: &Fleet, generation: Generation) {
    for gateway in 0..ZONES.len() {
        let applied = || fleet.generation(gateway) >= Some(generation);
        wait_for("the generation in force", applied);
    }
}

/// Records the generations of all gateways until the stop flag is set.
fn watch_generations(fleet: &Fleet, recorder: &Recorder, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        for gateway in 0..ZONES.len() {
            if let Some(generation) = fleet.generation(gateway) {
                recorder.generation(&gateway_name(gateway), generation);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn operator_requests_succeed_despite_a_lost_platform_answer() {
    let (keeper, address) = fleet::start_single_keeper(faulty_platform::start());
    for _ in 0..5 {
        let newest = zone::get(address, "/operator/configuration");
        assert_eq!(newest, Some(Value::Null));
    }
    drop(keeper);
}
