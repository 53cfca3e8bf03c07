//! Tasks on whose start workers fall silent, which may have crashed or be cut off.

use cornelpoint::job::JobStatus;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::RenewalFailure;

use crate::crash_world::Crash;
use crate::crash_world::CrashWorld;
use crate::support::at;
use crate::support::job_id;
use crate::support::starts;
use crate::support::step;

const MACHINES: usize = 8;
const TASK: &str = "0000000000000001.0.0.0";
/// Silences after which a task is withheld.
const SILENCES: u32 = 3;
/// Time after which leases have expired.
const LEASE_MS: u64 = 5000;
/// A task must start well within this time of a change that lets it.
const SOON_MS: u64 = 500;
const CUT_MS: u64 = 20_000;

fn lasting() -> RawStep {
    RawStep {
        long_running: true,
        ..step(1, 1000)
    }
}

/// Runs a job until its first task is withheld, and returns when it was first started.
fn withhold(world: &mut CrashWorld, steps: Vec<RawStep>) -> u64 {
    world.submit(1, steps, &[0]);
    let mut first_ms = None;
    while world.starts_of(TASK) < SILENCES {
        assert!(world.now_ms < 60_000, "not started {SILENCES} times");
        world.run_for(50);
        world.end_others_alone();
        if world.starts_of(TASK) > 0 {
            first_ms.get_or_insert(world.now_ms);
        }
    }
    world.run_for(100);
    world.end_others_alone();
    world.end_crashes();
    world.run_for(LEASE_MS);
    assert_eq!(world.starts_of(TASK), SILENCES);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
    first_ms.unwrap()
}

#[test]
fn a_healthy_task_is_not_completed_after_its_workers_were_lost_for_good() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: u64::MAX });
    withhold(&mut world, vec![step(1, 1000)]);
    world.run_for(35_000);
    assert_eq!(world.starts_of(TASK), SILENCES + 1);
    let status = world.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// No event but the end of the time wakes the scheduler.
#[test]
fn nothing_wakes_the_scheduler_for_a_task_that_is_no_longer_withheld() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: u64::MAX });
    withhold(&mut world, vec![step(1, 1000)]);
    world.run_for(1000);
    let scheduler = &mut world.scheduler;
    let due_ms = scheduler.next_tick_ms(at(world.now_ms)).unwrap();
    assert!((world.now_ms + 10_000..world.now_ms + 30_000).contains(&due_ms));
    scheduler.confirm_ownership(due_ms - 1);
    assert!(starts(scheduler, due_ms - 1).is_empty());
    let started = starts(scheduler, due_ms);
    assert_eq!(started.len(), 1);
    assert_eq!(
        scheduler.next_tick_ms(at(due_ms + 1)).map(|ms| ms > due_ms),
        Some(true)
    );
}

#[test]
fn a_withheld_task_is_started_late_after_its_workers_are_heard_of_again() {
    for listed in [true, false] {
        for lasts in [true, false] {
            let down_ms = CUT_MS;
            let mut world = CrashWorld::new(MACHINES, Crash::CutOff { down_ms, listed });
            let steps = vec![if lasts { lasting() } else { step(1, 1000) }];
            if lasts {
                world.work_ms = u64::MAX / 2;
            }
            let first_ms = withhold(&mut world, steps);
            world.run_for(first_ms + CUT_MS - 100 - world.now_ms);
            assert_eq!(world.starts_of(TASK), SILENCES);
            world.run_for(100 + SOON_MS);
            assert_eq!(
                world.starts_of(TASK),
                SILENCES + 1,
                "listed {listed}, lasts {lasts}"
            );
            world.run_for(CUT_MS);
            let status = world.scheduler.status(job_id(1));
            let expected = if lasts {
                JobStatus::Running
            } else {
                JobStatus::Completed
            };
            assert_eq!(status, Some(expected), "listed {listed}, lasts {lasts}");
        }
    }
}

#[test]
fn members_of_a_gang_are_started_while_one_is_withheld() {
    const OTHER: &str = "0000000000000001.0.0.1";
    let crash = Crash::CutOff {
        down_ms: CUT_MS,
        listed: true,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    let gang = RawStep {
        gang: true,
        max_per_worker: 1,
        ..step(2, 1000)
    };
    let first_ms = withhold(&mut world, vec![gang]);
    world.run_for(first_ms + CUT_MS - 100 - world.now_ms);
    assert_eq!(world.starts_of(OTHER), SILENCES);
    world.run_for(5000);
    assert_eq!(world.starts_of(OTHER), SILENCES + 1);
    assert_eq!(world.starts_of(TASK), SILENCES + 1);
    let status = world.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// The last worker is known to have crashed, so that its crash, and no silence, makes the
/// task one to be withheld.
#[test]
fn a_task_is_started_for_ever_while_silences_and_a_crash_are_too_many() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: u64::MAX });
    world.submit(1, vec![step(1, 1000)], &[0]);
    while world.starts_of(TASK) < SILENCES {
        world.run_for(50);
    }
    world.set_crash(Crash::OnStart { down_ms: 1000 });
    world.run_for(100);
    world.end_crashes();
    world.run_for(10_000);
    assert_eq!(world.starts_of(TASK), SILENCES);
    world.run_for(25_000);
    let status = world.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// A run that lasts clears its task.
#[test]
fn silences_before_a_long_run_withhold_a_task_after_it() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: u64::MAX });
    world.work_ms = u64::MAX / 2;
    withhold(&mut world, vec![lasting()]);
    world.run_for(70_000);
    assert_eq!(world.starts_of(TASK), SILENCES + 1);
    world.lose_workers_of(TASK);
    while world.starts_of(TASK) < SILENCES + 2 {
        assert!(world.now_ms < 120_000, "not started again");
        world.run_for(50);
    }
    world.lose_workers_of(TASK);
    world.run_for(LEASE_MS);
    assert_eq!(world.starts_of(TASK), SILENCES + 3);
    world.bring_back();
    world.run_for(1000);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
}

/// The order to start gets no answer, and the worker never comes back.
#[test]
fn a_task_is_started_for_ever_on_workers_that_never_answer() {
    let crash = Crash::BeforeAnswer { down_ms: u64::MAX };
    let mut world = CrashWorld::new(MACHINES, crash);
    world.submit(1, vec![step(1, 1000)], &[0]);
    world.run_for(60_000);
    let starts = world.starts_of(TASK);
    assert!((2..=5).contains(&starts), "{starts} starts");
}

/// Another worker answers at the addresses of those that fell silent.
#[test]
fn a_silence_does_not_become_a_crash_when_another_worker_has_the_address() {
    let crash = Crash::CutOff {
        down_ms: CUT_MS,
        listed: true,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    withhold(&mut world, vec![step(1, 1000)]);
    let now = at(world.now_ms);
    for incarnation in 0..MACHINES {
        let incarnation = u32::try_from(incarnation).unwrap();
        let outcome = Err(RenewalFailure::OtherIncarnation);
        world.scheduler.renewal_replied(incarnation, outcome, now);
    }
    world.run_for(100);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

/// The leases of a worker have expired, and the registry has dropped it, before it is
/// back.
#[test]
fn a_task_that_crashes_its_workers_is_started_for_ever_if_they_are_back_late() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: 6000 });
    world.submit(1, vec![step(1, 1000)], &[0]);
    world.run_for(20_000);
    let starts = world.starts_of(TASK);
    assert!((2..=5).contains(&starts), "{starts} starts");
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

/// Workers that left as planned have not crashed, even if they could not be reached then.
#[test]
fn a_job_is_given_up_for_silent_workers_that_left_as_planned() {
    for removed_first in [true, false] {
        let crash = Crash::CutOff {
            down_ms: CUT_MS,
            listed: true,
        };
        let mut world = CrashWorld::new(MACHINES, crash);
        world.submit(1, vec![step(1, 1000)], &[0]);
        for _ in 0..4 {
            world.run_for(LEASE_MS);
            world.drain();
            world.run_for(100);
            if removed_first {
                world.scheduler.apply_registry(&[], true, at(world.now_ms));
            }
            world.crash_all(0);
        }
        let status = world.scheduler.status(job_id(1));
        assert_eq!(
            status,
            Some(JobStatus::Running),
            "removed first: {removed_first}"
        );
    }
}
