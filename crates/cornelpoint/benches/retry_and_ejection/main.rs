//! Replays retry and ejection rules in virtual time and prints tables.
//!
//! There are 15 endpoints of 8 slots in 3 zones, and 8 gateways that evaluate
//! the endpoints independently and share one queue. A fault is active from 5 to
//! 15 s; all figures are for that time.

mod ejection_rule;
mod fault;
mod figures;
mod replay;
mod retry_policy;

use self::ejection_rule::RuleName;
use self::fault::Fault;
use self::fault::FaultKind;
use self::fault::FaultScope;
use self::figures::Figures;
use self::replay::GATEWAYS;
use self::replay::Replay;
use self::replay::Setting;
use self::retry_policy::RetryPolicy;

const SEEDS: u64 = 5;
/// Three fifths of the capacity of the endpoints.
const REQUESTS_PER_S: u64 = 330;
/// A tenth of `REQUESTS_PER_S`.
const LOW_REQUESTS_PER_S: u64 = 33;

fn main() {
    println!("Seeds 1 to {SEEDS}: mean values, worst values of times.\n");
    retry_tables();
    ejection_tables(REQUESTS_PER_S, GATEWAYS);
    ejection_tables(LOW_REQUESTS_PER_S, GATEWAYS);
    ejection_tables(LOW_REQUESTS_PER_S, 1);
}

fn retry_tables() {
    let faults = [
        (
            "an endpoint crashes",
            FaultKind::Crashes,
            FaultScope::Endpoint,
        ),
        ("a rack of 4 crashes", FaultKind::Crashes, FaultScope::Rack),
        ("a zone of 5 crashes", FaultKind::Crashes, FaultScope::Zone),
        (
            "endpoints restart in turn",
            FaultKind::Restarts,
            FaultScope::Service,
        ),
        (
            "a zone of 5 is cut off",
            FaultKind::CutOff,
            FaultScope::Zone,
        ),
        (
            "an endpoint fails fast",
            FaultKind::FailsFast,
            FaultScope::Endpoint,
        ),
        (
            "a rack of 4 fails fast",
            FaultKind::FailsFast,
            FaultScope::Rack,
        ),
        (
            "the whole service fails",
            FaultKind::FailsLate,
            FaultScope::Service,
        ),
    ];
    for (title, kind, scope) in faults {
        println!("Retries while {title}, {REQUESTS_PER_S} requests/s\n");
        println!("| rule | load factor | worst second | good % | p99 ms |");
        println!("|---|---|---|---|---|");
        for retry in RetryPolicy::ALL {
            let runs = replay(
                Fault { kind, scope },
                RuleName::Outcomes,
                retry,
                REQUESTS_PER_S,
                GATEWAYS,
            );
            println!(
                "| {} | {:.3} | {:.2} | {:.2} | {} |",
                retry.title(),
                mean(&runs, Figures::load_factor),
                mean(&runs, Figures::worst_load_factor),
                mean(&runs, Figures::good_percent),
                runs.iter().map(Figures::p99_ms).max().unwrap_or(0),
            );
        }
        println!();
    }
}

fn ejection_tables(requests_per_s: u64, views: usize) {
    let faults = [
        (
            "an endpoint fails fast",
            FaultKind::FailsFast,
            FaultScope::Endpoint,
        ),
        (
            "a rack of 4 fails fast",
            FaultKind::FailsFast,
            FaultScope::Rack,
        ),
        ("an endpoint hangs", FaultKind::Hangs, FaultScope::Endpoint),
        ("a zone of 5 hangs", FaultKind::Hangs, FaultScope::Zone),
        (
            "an endpoint is 10 times slower",
            FaultKind::SlowTenfold,
            FaultScope::Endpoint,
        ),
        (
            "all endpoints fail",
            FaultKind::FailsLate,
            FaultScope::Service,
        ),
        (
            "all endpoints are 10 times slower",
            FaultKind::SlowTenfold,
            FaultScope::Service,
        ),
    ];
    for (title, kind, scope) in faults {
        println!("Ejection while {title}, {requests_per_s} requests/s, {views} views\n");
        println!("| rule | avoided after ms | failed or late % | wrong ejections |");
        println!("|---|---|---|---|");
        for rule in RuleName::ALL {
            let retry = RetryPolicy::Budget(20);
            let fault = Fault { kind, scope };
            let runs = replay(fault, rule, retry, requests_per_s, views);
            let is_service = scope == FaultScope::Service;
            println!(
                "| {} | {} | {:.2} | {} |",
                rule.title(),
                avoidance_time(&runs, is_service),
                mean(&runs, Figures::failed_or_late_percent),
                wrong_ejection_count(&runs, is_service),
            );
        }
        println!();
    }
}

fn replay(
    fault: Fault,
    ejection: RuleName,
    retry: RetryPolicy,
    requests_per_s: u64,
    views: usize,
) -> Vec<Figures> {
    let setting = |seed| Setting {
        fault,
        ejection,
        retry,
        requests_per_s,
        views,
        seed,
    };
    (1..=SEEDS).map(|seed| Replay::run(setting(seed))).collect()
}

fn avoidance_time(runs: &[Figures], is_service: bool) -> String {
    let times: Option<Vec<u64>> = runs.iter().map(Figures::avoided_ms).collect();
    match times.and_then(|times| times.into_iter().max()) {
        _ if is_service => "-".to_owned(),
        Some(worst_ms) => worst_ms.to_string(),
        None => "not all".to_owned(),
    }
}

/// Number of ejections of healthy endpoints, or of any endpoints while the
/// service is at fault.
fn wrong_ejection_count(runs: &[Figures], is_service: bool) -> String {
    let count = |run: &Figures| {
        if is_service {
            run.ejections_of_affected()
        } else {
            run.wrong_ejections()
        }
    };
    let total: u64 = runs.iter().map(count).sum();
    total.to_string()
}

#[allow(clippy::cast_precision_loss)]
fn mean(runs: &[Figures], figure: impl Fn(&Figures) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
}
