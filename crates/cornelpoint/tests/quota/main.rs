//! The tenants' limits over several pools, under random faults of the store, the owners and
//! the workers.

mod decisions;
mod model;

use std::ops::Range;

use crate::model::Mutant;
use crate::model::World;

/// Number of random schedules.
const SEEDS: u64 = 150;
/// Number of schedules within which each mutant has to be detected.
const MUTANT_SEEDS: u64 = 50;
/// Time that each of them covers.
const DURATION_MS: u64 = 60_000;

/// Returns the seeds, from 0 or from the value of `CORNELPOINT_SEED` on.
fn seeds(count: u64) -> Range<u64> {
    let first = std::env::var("CORNELPOINT_SEED");
    let first = first.map_or(0, |text| text.parse().expect("a whole number"));
    first..first + count
}

/// Guards against starts beyond a limit, whatever is lost, late or taken over.
#[test]
fn no_start_exceeds_a_limit() {
    let mut starts = 0;
    for seed in seeds(SEEDS) {
        let mut world = World::new(seed, None);
        world.run(DURATION_MS);
        assert!(
            world.broken.is_none(),
            "seed {seed}: {}",
            world.broken.unwrap()
        );
        assert!(world.starts > 0, "seed {seed}: nothing started");
        starts += world.starts;
    }
    println!("{starts} starts");
    assert!(starts > 150 * SEEDS, "{starts} starts");
}

/// Guards against a model that would pass a faulty scheme.
#[test]
fn each_mutant_is_detected() {
    for mutant in [
        Mutant::OldAllotment,
        Mutant::ForgottenPredecessor,
        Mutant::UncountedLateStart,
        Mutant::ForgottenWrite,
    ] {
        let detected = seeds(MUTANT_SEEDS).filter(|seed| {
            let mut world = World::new(*seed, Some(mutant));
            world.run(DURATION_MS);
            world.broken.is_some()
        });
        let detected = detected.count();
        println!("{mutant:?}: detected by {detected} of {MUTANT_SEEDS} schedules");
        assert!(detected > 0, "{mutant:?}");
    }
}

/// Guards against allotments that stay where nobody needs them: once the faults are over
/// and one pool only has work, it gets nearly the whole limit.
#[test]
fn the_only_pool_with_work_gets_nearly_the_whole_limit() {
    for seed in seeds(SEEDS) {
        let mut world = World::new(seed, None);
        world.run(20_000);
        // Silent workers of predecessors may hold what they could until their leases end.
        let share = world.share_of_only_pool(25_000);
        assert!(
            world.broken.is_none(),
            "seed {seed}: {}",
            world.broken.unwrap()
        );
        assert!(
            share >= 90,
            "seed {seed}: {share}%, {} writes",
            world.writes()
        );
    }
}
