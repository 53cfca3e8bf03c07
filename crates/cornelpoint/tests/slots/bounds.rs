//! Bounds of slot lending over seeded random schedules of failures.

use cornelpoint::slots::HolderSettings;

use super::builder::MAX_DEADLINE_MS;
use super::builder::SLOTS;
use super::builder::settings;
use super::schedule::Faults;
use super::schedule::GATEWAYS;
use super::schedule::LEAVES_AT_MS;
use super::schedule::Seen;
use super::schedule::run;

const SCHEDULES: u64 = 40;
/// Requests that a schedule must start on average, so that it shows something.
const LEAST_STARTED: u64 = 500;
const LEAVING_BOUND_MS: u64 = 2_000;

fn first_seed() -> u64 {
    std::env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

fn calm() -> Faults {
    Faults {
        replaced_holder: false,
        two_holders: false,
        fallback_slots: 0,
        holder: settings(),
    }
}

/// Adopts until the last request of a lost gateway must be over.
fn strict() -> HolderSettings {
    HolderSettings {
        adopt_ms: settings().lease_ms + MAX_DEADLINE_MS,
        ..settings()
    }
}

fn check(faults: Faults, most: u32) {
    let seeds = first_seed() * 1_000..first_seed() * 1_000 + SCHEDULES;
    let mut started = 0;
    for seed in seeds {
        let seen = run(seed, faults);
        check_one(seed, seen, most);
        started += seen.started;
    }
    assert!(started >= SCHEDULES * LEAST_STARTED, "started: {started}");
}

fn check_one(seed: u64, outcome: Seen, most: u32) {
    assert!(outcome.peak <= most as usize, "seed {seed}: {outcome:?}");
    let last_ms = outcome.last_start_at_left_ms;
    assert!(
        last_ms <= LEAVES_AT_MS + LEAVING_BOUND_MS,
        "seed {seed}: {outcome:?}"
    );
    assert_eq!(outcome.false_drained, 0, "seed {seed}: {outcome:?}");
}

#[test]
fn one_holder_keeps_the_limit() {
    check(calm(), SLOTS);
}

#[test]
fn one_holder_calls_an_endpoint_drained_in_the_end() {
    for seed in 0..SCHEDULES {
        let seen = run(seed, calm());
        assert!(seen.drained, "seed {seed}: {seen:?}");
    }
}

#[test]
fn a_replaced_holder_that_adopts_for_long_keeps_the_limit() {
    let faults = Faults {
        replaced_holder: true,
        holder: strict(),
        ..calm()
    };
    check(faults, SLOTS);
}

/// Seeds that have broken the limit.
#[test]
fn a_replaced_holder_keeps_the_limit_at_seeds_2_5_and_1100101() {
    let faults = Faults {
        replaced_holder: true,
        holder: strict(),
        ..calm()
    };
    for first in [2, 5, 1_100_101] {
        for seed in first * 1_000..first * 1_000 + SCHEDULES {
            check_one(seed, run(seed, faults), SLOTS);
        }
    }
}

#[test]
fn a_replaced_holder_keeps_twice_the_limit() {
    let faults = Faults {
        replaced_holder: true,
        ..calm()
    };
    check(faults, 2 * SLOTS);
}

#[test]
fn two_holders_keep_twice_the_limit() {
    let faults = Faults {
        two_holders: true,
        ..calm()
    };
    check(faults, 2 * SLOTS);
}

#[test]
fn the_fallback_adds_at_most_its_slots_for_each_gateway() {
    for fallback_slots in 1..=2 {
        let faults = Faults {
            two_holders: true,
            fallback_slots,
            ..calm()
        };
        check(faults, 2 * SLOTS + fallback_slots * GATEWAYS);
    }
}
