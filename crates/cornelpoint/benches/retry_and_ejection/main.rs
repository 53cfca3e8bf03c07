//! Replays retry and ejection rules in virtual time and prints tables.
//!
//! 15 endpoints of 8 slots in 3 zones, 8 gateways that judge by themselves,
//! one queue. A fault strikes from 5 to 15 s. All figures are of that time.

mod ejection_rule;
mod fault;
mod figures;
mod replay;
mod retry_policy;

use self::ejection_rule::RuleName;
use self::fault::Extent;
use self::fault::Fault;
use self::fault::Kind;
use self::figures::Figures;
use self::replay::GATEWAYS;
use self::replay::Replay;
use self::replay::Setting;
use self::retry_policy::RetryPolicy;

const SEEDS: u64 = 5;
/// Three fifths of what the endpoints can do.
const REQUESTS_PER_S: u64 = 330;
/// A tenth of that.
const FEW_REQUESTS_PER_S: u64 = 33;

fn main() {
    println!("Seeds 1 to {SEEDS}: mean, for times the worst.\n");
    retry_tables();
    ejection_tables(REQUESTS_PER_S, GATEWAYS);
    ejection_tables(FEW_REQUESTS_PER_S, GATEWAYS);
    ejection_tables(FEW_REQUESTS_PER_S, 1);
}

fn retry_tables() {
    let faults = [
        ("an endpoint crashes", Kind::Crashes, Extent::Endpoint),
        ("a rack of 4 crashes", Kind::Crashes, Extent::Rack),
        ("a zone of 5 crashes", Kind::Crashes, Extent::Zone),
        ("endpoints restart in turn", Kind::Restarts, Extent::Service),
        ("a zone of 5 is cut off", Kind::CutOff, Extent::Zone),
        ("an endpoint fails fast", Kind::FailsFast, Extent::Endpoint),
        ("a rack of 4 fails fast", Kind::FailsFast, Extent::Rack),
        ("the whole service fails", Kind::FailsLate, Extent::Service),
    ];
    for (title, kind, extent) in faults {
        println!("Retries while {title}, {REQUESTS_PER_S} requests/s\n");
        println!("| rule | load factor | worst second | good % | p99 ms |");
        println!("|---|---|---|---|---|");
        for retry in RetryPolicy::ALL {
            let runs = replay(
                Fault { kind, extent },
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
        ("an endpoint fails fast", Kind::FailsFast, Extent::Endpoint),
        ("a rack of 4 fails fast", Kind::FailsFast, Extent::Rack),
        ("an endpoint hangs", Kind::Hangs, Extent::Endpoint),
        ("a zone of 5 hangs", Kind::Hangs, Extent::Zone),
        (
            "an endpoint is slow by 10",
            Kind::SlowTenfold,
            Extent::Endpoint,
        ),
        (
            "the service fails everywhere",
            Kind::FailsLate,
            Extent::Service,
        ),
        (
            "the service is slow everywhere",
            Kind::SlowTenfold,
            Extent::Service,
        ),
    ];
    for (title, kind, extent) in faults {
        println!("Ejection while {title}, {requests_per_s} requests/s, {views} views\n");
        println!("| rule | avoided after ms | hurt % | wrong ejections |");
        println!("|---|---|---|---|");
        for rule in RuleName::ALL {
            let retry = RetryPolicy::Budget(20);
            let fault = Fault { kind, extent };
            let runs = replay(fault, rule, retry, requests_per_s, views);
            let is_service = extent == Extent::Service;
            println!(
                "| {} | {} | {:.2} | {} |",
                rule.title(),
                avoided(&runs, is_service),
                mean(&runs, Figures::hurt_percent),
                wrong(&runs, is_service),
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

fn avoided(runs: &[Figures], is_service: bool) -> String {
    let times: Option<Vec<u64>> = runs.iter().map(Figures::avoided_ms).collect();
    match times.and_then(|times| times.into_iter().max()) {
        _ if is_service => "-".to_owned(),
        Some(worst_ms) => worst_ms.to_string(),
        None => "not all".to_owned(),
    }
}

/// Ejections of healthy endpoints; of any while the service is at fault.
fn wrong(runs: &[Figures], is_service: bool) -> String {
    let count = |run: &Figures| {
        if is_service {
            run.ejections_of_struck()
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
