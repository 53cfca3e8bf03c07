//! Replay of a load in which three tasks in a hundred take seven times as long and estimates
//! are off by up to nine tenths.

use std::collections::BTreeMap;

use cornelpoint::job::RawStep;
use cornelpoint::scheduler::SchedulerEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::copy_pool::CopyPool;
use crate::support::job_id;
use crate::support::step;

const WORKERS: usize = 12;
const JOBS: u64 = 400;
const TASKS: u64 = 8;
const MEAN_MS: u64 = 800;
/// The objective of a job: 1.6 times the usual duration of its tasks and 600 ms.
const OBJECTIVE_MS: u64 = MEAN_MS * 8 / 5 + 600;
/// A run is late after 1.5 times the mean, which its copy takes at most, unless it is slow
/// as well; the orders and looks in between take some hundred milliseconds.
const COPIED_MS: u64 = MEAN_MS * 3 + 300;

#[derive(Debug)]
struct Outcome {
    in_time: usize,
    within_copied: usize,
    slowest_tenth_ms: u64,
    work_ms: u64,
    copies: usize,
}

/// Plays the load at a little more than half of the pool's capacity.
fn play(seed: u64, speculative: bool) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut work_random = ChaCha8Rng::seed_from_u64(seed + 1);
    let mut pool = CopyPool::new(WORKERS);
    let mut submitted_ms = BTreeMap::new();
    let mut next_ms = 200;
    while pool.now_ms < 200 + JOBS * 300 + 20_000 {
        let number = submitted_ms.len() as u64;
        if number < JOBS && pool.now_ms >= next_ms {
            next_ms += random.random_range(100..500);
            let estimate_ms = MEAN_MS * random.random_range(10..190) / 100;
            let raw = RawStep {
                estimate_ms,
                speculative,
                ..step(TASKS, 1000)
            };
            pool.accept(number, vec![raw]);
            submitted_ms.insert(job_id(number), pool.now_ms);
        }
        pool.advance(&mut |_, _, _| {
            let usual_ms = MEAN_MS * work_random.random_range(50..150) / 100;
            let is_slow = work_random.random_range(0..100) < 3;
            if is_slow { usual_ms * 7 } else { usual_ms }
        });
    }
    let mut took_ms = BTreeMap::new();
    for (at_ms, run) in &pool.ended {
        let id = run.task.step.job;
        if run.kind == cornelpoint::worker::CompletionKind::Done {
            took_ms.insert(id, at_ms - submitted_ms[&id]);
        }
    }
    let mut took_ms: Vec<u64> = took_ms.into_values().collect();
    took_ms.sort_unstable();
    assert_eq!(took_ms.len() as u64, JOBS);
    let within = |limit_ms: u64| {
        let within = took_ms.iter().filter(|took_ms| **took_ms <= limit_ms);
        within.count()
    };
    let slowest = &took_ms[took_ms.len() * 9 / 10..];
    let is_copy = |event: &&SchedulerEvent| matches!(event, SchedulerEvent::CopyStarted { .. });
    Outcome {
        in_time: within(OBJECTIVE_MS),
        within_copied: within(COPIED_MS),
        slowest_tenth_ms: slowest.iter().sum::<u64>() / slowest.len() as u64,
        work_ms: pool.work_ms,
        copies: pool.events.iter().filter(is_copy).count(),
    }
}

/// Guards against copies that come too late, or for too many runs, to be of use.
#[test]
fn copies_bring_jobs_with_a_slow_task_in_time() {
    for seed in 1..=3 {
        let before = play(seed, false);
        let after = play(seed, true);
        println!("seed {seed}: before {before:?}, after {after:?}");
        assert_eq!(before.copies, 0);
        assert!(after.in_time > before.in_time);
        let jobs = usize::try_from(JOBS).unwrap();
        assert!((jobs - after.within_copied) * 2 <= jobs - before.within_copied);
        assert!(after.slowest_tenth_ms * 2 <= before.slowest_tenth_ms);
        // Copies are few, and the slow runs that they replace are stopped.
        assert!(after.work_ms <= before.work_ms);
    }
}
