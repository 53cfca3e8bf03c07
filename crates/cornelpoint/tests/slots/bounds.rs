//! Limits on running requests under seeded random schedules of faults.

use cornelpoint::slots::HolderSettings;

use super::builder::MAX_DEADLINE_MS;
use super::builder::SLOTS;
use super::builder::settings;
use super::schedule::Faults;
use super::schedule::GATEWAYS;
use super::schedule::LEAVES_AT_MS;
use super::schedule::Observations;
use super::schedule::run;

const SCHEDULES: u64 = 40;
/// Requests that a schedule must start on average for the check to be meaningful.
const MIN_STARTED: u64 = 500;
const MAX_START_AFTER_LEAVING_MS: u64 = 2_000;

fn first_seed() -> u64 {
    std::env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

fn no_faults() -> Faults {
    Faults {
        replaced_holder: false,
        two_holders: false,
        fallback_slots: 0,
        holder: settings(),
    }
}

/// Settings with which a new holder adopts until the last request of a lost
/// gateway must have ended.
fn with_long_adoption() -> HolderSettings {
    HolderSettings {
        adopt_ms: settings().lease_ms + MAX_DEADLINE_MS,
        ..settings()
    }
}

fn check(faults: Faults, max_running: u32) {
    let seeds = first_seed() * 1_000..first_seed() * 1_000 + SCHEDULES;
    let mut started = 0;
    for seed in seeds {
        let observations = run(seed, faults);
        check_one(seed, observations, max_running);
        started += observations.started;
    }
    assert!(
        started >= SCHEDULES * MIN_STARTED,
        "requests started: {started}"
    );
}

fn check_one(seed: u64, observations: Observations, max_running: u32) {
    assert!(
        observations.peak <= max_running as usize,
        "seed {seed}: {observations:?}"
    );
    let last_ms = observations.last_start_at_leaving_ms;
    assert!(
        last_ms <= LEAVES_AT_MS + MAX_START_AFTER_LEAVING_MS,
        "seed {seed}: {observations:?}"
    );
    assert_eq!(
        observations.false_drained, 0,
        "seed {seed}: {observations:?}"
    );
}

#[test]
fn single_holder_never_exceeds_the_limit() {
    check(no_faults(), SLOTS);
}

#[test]
fn single_holder_eventually_reports_the_leaving_endpoint_drained() {
    for seed in 0..SCHEDULES {
        let observations = run(seed, no_faults());
        assert!(observations.drained, "seed {seed}: {observations:?}");
    }
}

#[test]
fn replaced_holder_with_long_adoption_never_exceeds_the_limit() {
    let faults = Faults {
        replaced_holder: true,
        holder: with_long_adoption(),
        ..no_faults()
    };
    check(faults, SLOTS);
}

/// Regression test: the limit was once exceeded at these seeds.
#[test]
fn replaced_holder_with_long_adoption_never_exceeds_the_limit_at_seeds_2_5_and_1100101() {
    let faults = Faults {
        replaced_holder: true,
        holder: with_long_adoption(),
        ..no_faults()
    };
    for first in [2, 5, 1_100_101] {
        for seed in first * 1_000..first * 1_000 + SCHEDULES {
            check_one(seed, run(seed, faults), SLOTS);
        }
    }
}

#[test]
fn replaced_holder_never_exceeds_twice_the_limit() {
    let faults = Faults {
        replaced_holder: true,
        ..no_faults()
    };
    check(faults, 2 * SLOTS);
}

#[test]
fn two_holders_never_exceed_twice_the_limit() {
    let faults = Faults {
        two_holders: true,
        ..no_faults()
    };
    check(faults, 2 * SLOTS);
}

#[test]
fn fallback_adds_at_most_its_slots_per_gateway() {
    for fallback_slots in 1..=2 {
        let faults = Faults {
            two_holders: true,
            fallback_slots,
            ..no_faults()
        };
        check(faults, 2 * SLOTS + fallback_slots * GATEWAYS);
    }
}
