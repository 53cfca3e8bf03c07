//! Compares strategies for sharing slots on the same seeded traces, in virtual
//! time.
//!
//! Goodput is relative to that of a single dispatcher with an exact view of all
//! slots on the same trace.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a replay are small and not negative"
)]

mod central;
mod cost;
mod fleet;
mod granted;
mod lent;
mod local;
mod outcome;
mod replay;
mod sharing;
mod trace;

use self::fleet::FLEETS;
use self::fleet::Fleet;
use self::outcome::Outcome;
use self::replay::FullQueue;
use self::replay::Outage;
use self::replay::Setup;
use self::sharing::STRATEGIES;
use self::sharing::Strategy;
use self::trace::DURATION_MS;
use self::trace::Load;
use self::trace::Shape;

const SEEDS: std::ops::Range<u64> = 1..4;
const QUEUE_REQUESTS: usize = 2_000;
const OUTAGE: Outage = Outage {
    pool: 2,
    zone: 0,
    from_ms: 9_000,
    to_ms: 10_500,
};

struct Case {
    name: &'static str,
    load: Load,
    outage: Option<Outage>,
}

const fn load(shape: Shape, heavy_gateway: bool) -> Load {
    Load {
        shape,
        heavy_gateway,
    }
}

const CASES: [Case; 4] = [
    Case {
        name: "surge of five times the mean, pool by pool",
        load: load(Shape::Surge, false),
        outage: None,
    },
    Case {
        name: "the same, one gateway with triple load",
        load: load(Shape::Surge, true),
        outage: None,
    },
    Case {
        name: "the same, holder of the surging pool lost in one zone",
        load: load(Shape::Surge, false),
        outage: Some(OUTAGE),
    },
    Case {
        name: "steady load of 0.8, one gateway with triple load",
        load: load(Shape::Steady(0.8), true),
        outage: None,
    },
];

fn main() {
    for fleet in &FLEETS {
        for case in &CASES {
            report(fleet, case);
        }
        report_full_queue(fleet);
    }
    report_messages();
    report_cost();
}

fn report(fleet: &Fleet, case: &Case) {
    println!("\n{}: {}, seeds {SEEDS:?}", fleet.name, case.name);
    println!(
        "| strategy | goodput % | p99 wait ms | other services' p99 wait ms | late % | refused % \
         | expired % | p50 wait of expired ms | over 8 | connections | messages/request | messages/s | peak messages/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut best = 0;
    for strategy in STRATEGIES {
        let outcome = run(fleet, case.load, setup(strategy, case.outage));
        if strategy == Strategy::Central {
            best = outcome.in_time;
        }
        print_row(strategy, &outcome, best);
    }
}

fn setup(strategy: Strategy, outage: Option<Outage>) -> Setup {
    Setup {
        strategy,
        outage,
        queue_requests: QUEUE_REQUESTS,
        full_queue: FullQueue::RefuseNewcomer,
    }
}

/// Compares which request is rejected when a queue is full.
fn report_full_queue(fleet: &Fleet) {
    println!(
        "\n{}: full queue, slots lent, surge, seeds {SEEDS:?}",
        fleet.name
    );
    println!(
        "| queue | refused when full | served in time % | p50 wait ms | p50 wait of refused ms |"
    );
    println!("|---|---|---|---|---|");
    for queue_requests in [50, 100, 200] {
        for full_queue in [FullQueue::RefuseNewcomer, FullQueue::RefuseLast] {
            let setup = Setup {
                queue_requests,
                full_queue,
                ..setup(Strategy::Lent, None)
            };
            let outcome = run(fleet, load(Shape::Surge, false), setup);
            println!(
                "| {queue_requests} | {full_queue:?} | {:.2} | {} | {} |",
                percent(outcome.in_time, outcome.arrived),
                outcome.wait_ms.value_at_quantile(0.5),
                outcome.rejected_after_ms.value_at_quantile(0.5),
            );
        }
    }
}

/// Reports messages by number of gateways that share the same endpoints.
fn report_messages() {
    println!("\nmessages against gateways, slots lent, surge, seeds {SEEDS:?}");
    println!("| gateways | goodput % | messages/s | messages/s for each gateway |");
    println!("|---|---|---|---|");
    for gateways in [4, 8, 16, 32] {
        let fleet = Fleet {
            gateways,
            ..FLEETS[0]
        };
        let load = load(Shape::Surge, false);
        let best = run(&fleet, load, setup(Strategy::Central, None));
        let outcome = run(&fleet, load, setup(Strategy::Lent, None));
        let per_s = outcome.messages as f64 / seconds();
        println!(
            "| {gateways} | {:.2} | {per_s:.0} | {:.0} |",
            percent(outcome.in_time, best.in_time),
            per_s / gateways as f64,
        );
    }
}

/// Reports the cost of one exchange when all gateways hold slots and have queued
/// requests.
fn report_cost() {
    println!("\ncost of one exchange, with two encodings of the messages in its time");
    println!(
        "| gateways | endpoints | time as a ratio | us | request bytes | reply bytes | dump bytes |"
    );
    println!("|---|---|---|---|---|---|---|");
    let first = cost::measure(8, 3);
    for (gateways, endpoints) in [(8, 3), (8, 12), (8, 60), (32, 12), (128, 12), (128, 60)] {
        let cost = cost::measure(gateways, endpoints);
        println!(
            "| {gateways} | {endpoints} | {:.1} | {:.1} | {} | {} | {} |",
            cost.exchange_ns / first.exchange_ns,
            cost.exchange_ns / 1_000.0,
            cost.request_bytes,
            cost.reply_bytes,
            cost.holder_bytes,
        );
    }
}

fn seconds() -> f64 {
    (DURATION_MS / 1_000 * SEEDS.count() as u64) as f64
}

fn run(fleet: &Fleet, load: Load, setup: Setup) -> Outcome {
    let mut sum = Outcome::new();
    for seed in SEEDS {
        let arrivals = trace::generate(fleet, load, seed);
        sum.add(&replay::run(fleet, &arrivals, setup));
    }
    sum
}

fn print_row(strategy: Strategy, outcome: &Outcome, best: u64) {
    println!(
        "| {} | {:.2} | {} | {} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {:.2} | {:.0} | {} |",
        strategy.name(),
        percent(outcome.in_time, best),
        outcome.wait_ms.value_at_quantile(0.99),
        outcome.wait_outside_surge_ms.value_at_quantile(0.99),
        percent(outcome.late, outcome.arrived),
        percent(outcome.rejected, outcome.arrived),
        percent(outcome.expired, outcome.arrived),
        outcome.rejected_after_ms.value_at_quantile(0.5),
        outcome.peak_over_slots,
        outcome.peak_connections,
        outcome.messages as f64 / outcome.arrived as f64,
        outcome.messages as f64 / seconds(),
        outcome.peak_messages_per_s,
    );
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
