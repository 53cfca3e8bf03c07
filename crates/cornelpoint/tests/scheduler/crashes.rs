//! Tasks that crash the workers that start them. After three crashes, a task may be
//! started twice more.

use cornelpoint::job::JobStatus;
use cornelpoint::job::RawStep;

use crate::crash_world::Crash;
use crate::crash_world::CrashWorld;
use crate::support::job_id;
use crate::support::step;

const MAX_STARTS: u32 = 5;
const MACHINES: usize = 8;
const DEADLY_TASK: &str = "0000000000000001.0.0.0";

#[test]
fn a_task_that_crashes_its_workers_is_started_for_ever() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: 3000 });
    world.submit(1, vec![step(1, 1000)], &[0]);
    world.run_for(60_000);
    assert_eq!(world.starts_of(DEADLY_TASK), 2);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

#[test]
fn a_task_that_crashes_its_workers_late_is_started_for_ever() {
    let crash = Crash::Later {
        after_ms: 600,
        down_ms: 3000,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    world.submit(1, vec![step(1, 1000)], &[0]);
    world.run_for(60_000);
    let starts = world.starts_of(DEADLY_TASK);
    assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

#[test]
fn a_task_that_crashes_its_workers_before_they_answer_is_started_for_ever() {
    for down_ms in [3000, 6000] {
        let mut world = CrashWorld::new(MACHINES, Crash::BeforeAnswer { down_ms });
        world.submit(1, vec![step(1, 1000)], &[0]);
        world.run_for(60_000);
        let starts = world.starts_of(DEADLY_TASK);
        assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
        assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
    }
}

/// The leases of a lost worker expire before it is known to have crashed.
#[test]
fn a_task_whose_workers_never_come_back_is_started_on_all_of_them() {
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: u64::MAX });
    world.submit(1, vec![step(1, 1000)], &[0]);
    world.run_for(60_000);
    let starts = world.starts_of(DEADLY_TASK);
    assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
}

#[test]
fn a_new_owner_does_not_know_of_earlier_crashes() {
    let steps = || vec![step(1, 1000)];
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: 3000 });
    world.submit(1, steps(), &[0]);
    for token in 2..=6 {
        world.run_for(4000);
        world.take_over(token, 1, steps());
    }
    world.run_for(60_000);
    let starts = world.starts_of(DEADLY_TASK);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
}

/// Other reasons for the loss of workers than the task.
#[test]
fn a_task_is_given_up_though_its_workers_leave_as_planned() {
    const LOSSES: u32 = 6;
    let mut world = CrashWorld::new(2, Crash::OnStart { down_ms: 0 });
    world.submit(1, vec![step(1, 1000)], &[]);
    for _ in 0..LOSSES {
        world.run_for(100);
        world.drain();
        world.run_for(100);
        world.crash_all(1000);
        world.run_for(1000);
    }
    world.run_for(2000);
    let status = world.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

#[test]
fn a_task_is_given_up_though_its_workers_were_only_cut_off() {
    const CUTS: u32 = 6;
    let crash = Crash::CutOff {
        down_ms: 5500,
        listed: true,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    world.submit(1, vec![step(1, 1000)], &[0]);
    while world.starts_of(DEADLY_TASK) < CUTS && world.now_ms < 60_000 {
        world.run_for(1000);
    }
    assert_eq!(world.starts_of(DEADLY_TASK), CUTS);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
}

/// One cut follows another before the first has ended.
#[test]
fn a_job_is_given_up_though_its_workers_were_cut_off_at_the_same_time() {
    let crash = Crash::CutOff {
        down_ms: 20_000,
        listed: true,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    world.submit(1, vec![step(1, 1000)], &[0]);
    for _ in 0..60 {
        world.run_for(500);
        assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
    }
    world.end_crashes();
    world.run_for(25_000);
    let status = world.scheduler.status(job_id(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// The workers are cut off from the registry, too, so that their entries expire.
#[test]
fn a_silence_counts_for_ever_once_the_registry_has_dropped_its_worker() {
    const CUTS: u32 = 6;
    let crash = Crash::CutOff {
        down_ms: 5500,
        listed: false,
    };
    let mut world = CrashWorld::new(MACHINES, crash);
    world.submit(1, vec![step(1, 1000)], &[0]);
    while world.starts_of(DEADLY_TASK) < CUTS && world.now_ms < 60_000 {
        world.run_for(1000);
        assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
    }
    assert_eq!(world.starts_of(DEADLY_TASK), CUTS);
}

#[test]
fn a_lasting_task_is_given_up_after_crashes_with_much_time_between() {
    const CRASHES: u32 = 6;
    let lasting = RawStep {
        long_running: true,
        ..step(1, 1000)
    };
    let mut world = CrashWorld::new(2, Crash::OnStart { down_ms: 0 });
    world.work_ms = u64::MAX / 2;
    world.submit(1, vec![lasting], &[]);
    for _ in 0..CRASHES {
        world.run_for(40_000);
        world.crash_all(1000);
    }
    world.run_for(10_000);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
}

/// Tasks that share a worker with one that crashes it are lost with it, again and
/// again if all of them are placed together.
#[test]
fn tasks_beside_one_that_crashes_its_workers_are_given_up() {
    const JOBS: u64 = 6;
    for machines in [1, 2, MACHINES] {
        let mut world = CrashWorld::new(machines, Crash::OnStart { down_ms: 3000 });
        let steps = || -> Vec<RawStep> { vec![step(1, 500)] };
        world.submit(1, steps(), &[0]);
        for number in 2..=JOBS {
            world.submit(number, steps(), &[]);
        }
        world.run_for(30_000);
        for number in 2..=JOBS {
            let status = world.scheduler.status(job_id(number));
            assert_eq!(status, Some(JobStatus::Completed), "job {number}");
        }
        assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Failed));
    }
}

/// One task after another crashes the workers of tasks that have run for some time.
#[test]
fn lasting_tasks_are_given_up_for_the_crashes_of_others() {
    const DEADLY_JOBS: u64 = 30;
    let lasting = RawStep {
        long_running: true,
        ..step(4, 500)
    };
    let mut world = CrashWorld::new(MACHINES, Crash::OnStart { down_ms: 3000 });
    world.work_ms = u64::MAX / 2;
    world.submit(1, vec![lasting], &[]);
    for number in 2..2 + DEADLY_JOBS {
        world.run_for(2000);
        world.submit(number, vec![step(1, 500)], &[0]);
    }
    world.run_for(5000);
    assert_eq!(world.scheduler.status(job_id(1)), Some(JobStatus::Running));
    let starts = world.starts_of(&format!("{}.0.0.0", job_id(1)));
    assert!(starts > 1, "no worker of the task has crashed");
}

/// The second worker that a task crashes should run as little else as possible.
#[test]
fn a_task_that_crashed_a_worker_is_tried_on_the_fullest_one() {
    let mut world = CrashWorld::new(3, Crash::OnStart { down_ms: 3000 });
    world.work_ms = 60_000;
    world.submit(1, vec![step(3, 500)], &[]);
    world.run_for(500);
    world.submit(2, vec![step(1, 2000)], &[0]);
    world.run_for(10_000);
    assert_eq!(world.scheduler.status(job_id(2)), Some(JobStatus::Failed));
    let starts = (0..3).map(|index| world.starts_of(&format!("{}.0.0.{index}", job_id(1))));
    // The first crash takes the worker that they share.
    assert_eq!(starts.collect::<Vec<_>>(), [2; 3]);
}

/// All workers crash just after they have started lasting tasks: there are more
/// suspects than workers.
#[test]
fn lasting_tasks_are_kept_from_work_after_all_workers_crashed() {
    /// Time without a run after which a task that lasts counts as lost.
    const LOST_MS: u64 = 3000;
    const TASKS: u32 = 8;
    let lasting = RawStep {
        long_running: true,
        ..step(u64::from(TASKS), 500)
    };
    let mut world = CrashWorld::new(2, Crash::OnStart { down_ms: 0 });
    world.work_ms = u64::MAX / 2;
    world.submit(1, vec![lasting], &[]);
    world.run_for(100);
    world.crash_all(1000);
    world.run_for(1000 + LOST_MS);
    let starts = (0..TASKS).map(|index| world.starts_of(&format!("{}.0.0.{index}", job_id(1))));
    assert_eq!(starts.collect::<Vec<_>>(), [2; TASKS as usize]);
}
