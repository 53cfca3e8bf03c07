//! Successive owners under seeded faults. Invariants: a task has one run at a
//! time and none after its completion was acknowledged, no worker exceeds its
//! capacity, and every stored job finishes.

use crate::world::Mutant;
use crate::world::World;

/// Number of schedules that a test runs, unless `CORNELPOINT_SCHEDULES` sets
/// another.
const SCHEDULES: u64 = 150;

fn schedules() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = number("CORNELPOINT_SEED").unwrap_or(1) * 1_000_000;
    first..first + number("CORNELPOINT_SCHEDULES").unwrap_or(SCHEDULES)
}

fn schedules_with_violations(mutant: Mutant) -> usize {
    let worlds = schedules().map(|seed| World::new(seed, mutant).run());
    worlds.filter(|world| !world.violations.is_empty()).count()
}

#[test]
fn tasks_run_once_and_jobs_finish() {
    let (mut completed, mut takeovers) = (0, 0);
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        completed += world.completed;
        takeovers += world.takeovers;
    }
    let schedule_count = schedules().count();
    assert!(
        completed > schedule_count * 8,
        "only {completed} jobs were completed"
    );
    assert!(takeovers > schedule_count, "only {takeovers} takeovers");
}

/// Guards against orders that are carried out by another incarnation than the one that
/// they are booked on.
#[test]
fn tasks_run_twice_when_workers_restart_under_their_identifiers() {
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).with_restarts().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against orders that are carried out by an incarnation that nobody has heard of,
/// and that it lists only once a cut has ended.
#[test]
fn tasks_run_twice_when_restarted_workers_are_cut_off() {
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).with_restarts();
        let world = world.with_cuts_after_restarts().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against second runs of tasks whose step doesn't allow copies, against capacity
/// that is used twice, and against jobs that don't finish, while other steps have copies.
#[test]
fn copies_of_late_runs_break_no_rule() {
    let mut copies = 0;
    for seed in schedules() {
        let worlds = [
            World::new(seed, Mutant::None).with_copies(),
            World::new(seed, Mutant::None)
                .with_copies()
                .with_restarts()
                .with_cuts_after_restarts(),
            World::new(seed, Mutant::None)
                .with_copies()
                .with_limited_views(),
        ];
        for world in worlds {
            let world = world.run();
            assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
            copies += world.copies_made;
        }
    }
    let schedules = schedules().count();
    assert!(copies > schedules, "only {copies} copies");
}

/// Successors within a partition, registry readings that miss workers, workers that leave,
/// and slow clocks that were read long ago.
#[test]
fn tasks_run_once_in_partitions_with_limited_views() {
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).with_limited_views().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a successor that doesn't wait for a silent worker which its predecessor
/// still reaches.
#[test]
fn tasks_run_twice_when_a_pool_is_split_between_two_owners() {
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).with_limited_views();
        let world = world.with_split_pools().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The same with restarts and orders that are carried out late, by the incarnation after the
/// one that they were sent to.
#[test]
fn tasks_run_twice_when_late_orders_reach_the_next_incarnation() {
    for seed in schedules() {
        let world = World::new(seed, Mutant::None).with_restarts();
        let world = world.with_orders_that_outlast_restarts().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against calls that are carried out by an incarnation whose clock and completions
/// the owner doesn't know.
#[test]
fn calls_that_are_not_bound_to_an_incarnation_are_detected() {
    let worlds = schedules().map(|seed| World::new(seed, Mutant::UnboundCalls));
    let mut worlds = worlds.map(|world| world.with_restarts().with_cuts_after_restarts().run());
    let is_second_run = |violation: &String| violation.contains("second run");
    assert!(worlds.any(|world| world.violations.iter().any(is_second_run)));
}

#[test]
fn a_worker_that_takes_orders_of_a_fenced_owner_is_detected() {
    assert!(schedules_with_violations(Mutant::NoFence) > 0);
}

/// Guards against a successor that waits for no silent worker while its predecessor still
/// grants leases there.
#[test]
fn an_owner_that_grants_leases_without_a_quorum_is_detected() {
    // About one schedule in a hundred shows it.
    let seeds = schedules().start..schedules().start + 6 * SCHEDULES;
    let worlds = seeds.map(|seed| World::new(seed, Mutant::NoQuorum));
    let mut worlds = worlds.map(|world| world.with_limited_views().with_split_pools().run());
    let is_second_run = |violation: &String| violation.contains("second run");
    assert!(worlds.any(|world| world.violations.iter().any(is_second_run)));
}

#[test]
fn an_acknowledgement_before_the_completion_is_stored_is_detected() {
    assert!(schedules_with_violations(Mutant::EarlyAcknowledgement) > 0);
}

#[test]
fn a_successor_that_does_not_wait_for_leases_is_detected() {
    assert!(schedules_with_violations(Mutant::NoWaitForLeases) > 0);
}

/// Guards against tasks that run twice: a batch whose answer was lost was
/// written late, over newer progress.
#[test]
fn a_late_transaction_that_overwrites_newer_ones_is_detected() {
    assert!(schedules_with_violations(Mutant::NoWriteOrder) > 0);
}

/// Guards against tasks that run twice: completions that didn't fit a report were
/// taken for runs that were lost.
#[test]
fn a_report_that_does_not_say_what_it_leaves_out_is_detected() {
    assert!(schedules_with_violations(Mutant::UnmarkedReports) > 0);
}
