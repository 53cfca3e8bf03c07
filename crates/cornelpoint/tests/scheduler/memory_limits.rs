//! What the jobs of a pool may hold in the memory of its owner.

use cornelpoint::job::JobSpec;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::MemoryLimits;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Reports that the started tasks are done, with sequence numbers from `sequence` on.
fn end(scheduler: &mut PoolScheduler, started: &[(String, String, u64)], sequence: u64, now: u64) {
    let completions = (sequence..)
        .zip(started)
        .map(|(sequence, (_, task, run))| RunCompletion {
            sequence,
            task: task.parse().expect("a valid task ID"),
            run: *run,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        });
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: now + 1000,
        completions: completions.collect(),
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(now));
}

/// Guards against an owner that holds records of more tasks than it has memory for.
#[test]
fn tasks_beyond_the_memory_are_started_as_others_end() {
    const TASKS: usize = 7;
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.set_memory_limits(MemoryLimits {
        tasks: TASKS,
        ..MemoryLimits::least()
    });
    submit(&mut scheduler, 1, vec![step(10, 0), step(6, 0)], 100);
    let mut total = 0;
    let mut now_ms = 120;
    while total < 16 {
        let started = starts(&mut scheduler, now_ms);
        assert!((1..=TASKS).contains(&started.len()), "{started:?}");
        end(&mut scheduler, &started, total as u64 + 1, now_ms + 10);
        total += started.len();
        now_ms += 30;
    }
    assert_eq!(total, 16);
}

/// Guards against an owner that begins all occurrences of a job at once, however many
/// are due, and against one that begins none of another job meanwhile.
#[test]
fn occurrences_beyond_the_memory_begin_as_others_end() {
    const STEPS: usize = 3;
    const COUNT: u64 = 12;
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.set_memory_limits(MemoryLimits {
        steps: STEPS,
        ..MemoryLimits::least()
    });
    for number in [1, 2] {
        let (mut record, _) = job(vec![step(1, 0)]);
        record.job.repeat_count = COUNT;
        let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
        scheduler.submit(job_id(number), record, spec, at(100));
    }
    store_batches(&mut scheduler, 100);
    let mut begun = 0;
    let mut now_ms = 120;
    for round in 0..40 {
        let started = starts(&mut scheduler, now_ms);
        assert!(started.len() <= STEPS + 2, "{started:?}");
        if round == 0 {
            let of_second = |task: &str| task.starts_with(&job_id(2).to_string());
            assert!(started.iter().any(|(_, task, _)| of_second(task)));
        }
        end(&mut scheduler, &started, begun as u64 + 1, now_ms + 10);
        begun += started.len();
        now_ms += 30;
    }
    assert_eq!(begun as u64, 2 * COUNT);
}

/// Guards against accepted jobs that no successor has the memory to read, and against
/// large jobs that keep out ordinary ones.
#[test]
fn a_job_beyond_the_memory_is_refused_until_others_end() {
    let large = || {
        vec![
            RawStep {
                replicas: 10_000,
                ..step(1, 10)
            };
            500
        ]
    };
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut accepted = 0;
    let refused = loop {
        let (mut record, _) = job(large());
        record.job.repeat_count = 1;
        record.job.first_unix_ms = at(1_000_000).unix_ms;
        let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
        match scheduler.submit(job_id(accepted + 1), record, spec, at(100)) {
            SubmitAnswer::Storing => accepted += 1,
            answer => break answer,
        }
        assert!(accepted < 1000, "nothing bounds what jobs hold");
    };
    assert!(matches!(refused, SubmitAnswer::Rejected { .. }));
    assert!(accepted > 5, "{accepted} jobs of 300 kB fill 4 MB");
    store_batches(&mut scheduler, 100);
    submit(&mut scheduler, 2000, vec![step(1, 10)], 500);
    scheduler.cancel(job_id(1), at(600));
    store_batches(&mut scheduler, 600);
    let (_, spec) = job(large());
    assert!(scheduler.has_memory_of(spec.held_bytes()));
}

/// Guards against an owner that holds any number of final jobs.
#[test]
fn final_jobs_fill_the_memory_until_they_expire() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut count = 0;
    let (record, spec) = job(vec![step(1, 10)]);
    while scheduler.has_memory_of(spec.held_bytes()) {
        submit(&mut scheduler, count, vec![step(1, 10)], 100);
        scheduler.cancel(job_id(count), at(100));
        store_batches(&mut scheduler, 100);
        count += 1;
        assert!(count < 20_000, "nothing bounds the number of final jobs");
    }
    assert!(count > 10_000, "{count} final jobs of 800 bytes fill 8 MB");
    let refused = scheduler.submit(job_id(count), record, spec, at(200));
    assert!(matches!(refused, SubmitAnswer::Rejected { .. }));
}
