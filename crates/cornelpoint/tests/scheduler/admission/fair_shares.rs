//! Shares of tenants in a surge in which one of them sends too much.

use cornelpoint::scheduler::SchedulerSettings;

use super::replay::Scenario;
use super::replay::replay;

const SEEDS: u64 = 4;
/// Largest, middle and smallest tenant.
const FLOODING: [usize; 3] = [0, 9, 19];

/// Mean share of the owed work served in time of the worst tenth of the tenants and of all,
/// and the work served in time.
fn figures(flooding: usize, has_tenants: bool) -> [f64; 3] {
    let mut sums = [0.0; 3];
    for seed in 1..=SEEDS {
        let replayed = replay(&Scenario {
            seed,
            flooding: Some(flooding),
            has_tenants,
            settings: SchedulerSettings::default(),
        });
        sums[0] += replayed.worst_tenth();
        sums[1] += replayed.owed_in_time();
        sums[2] += replayed.served_core_s();
    }
    sums.map(|sum| sum / SEEDS as f64)
}

/// Guards against tenants that are pushed below their share by one that sends 7.5 times its
/// usual load, and against shares that cost served work: without shares the worst two of
/// 20 tenants get nothing while the largest floods.
#[test]
fn a_flooding_tenant_costs_the_others_no_share() {
    for flooding in FLOODING {
        let (before, after) = (figures(flooding, false), figures(flooding, true));
        let is_better = before
            .iter()
            .zip(after)
            .all(|(before, after)| after > *before);
        assert!(is_better, "{flooding}: {before:?} to {after:?}");
    }
}
