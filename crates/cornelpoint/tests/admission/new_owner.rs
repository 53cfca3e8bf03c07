//! Jobs that reach an owner whose workers have not reported yet.

use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawJob;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;

use crate::replay::POOL;
use crate::replay::QUEUE;
use crate::replay::WORKERS;
use crate::replay::at;
use crate::replay::entry;
use crate::replay::queue;

fn job() -> (JobRecord, JobSpec) {
    let raw = RawJob {
        spec: "work".to_owned(),
        steps: vec![RawStep {
            replicas: 8,
            cpu_millicores: 3100,
            memory_mb: 100,
            estimate_ms: 800,
            ..RawStep::default()
        }],
        ..RawJob::default()
    };
    let spec = JobSpec::try_from(raw.clone()).expect("a valid job");
    let record = JobRecord {
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        accepted_unix_ms: at(0).unix_ms,
        priority: 0,
        max_attempts: 3,
        tenant: None,
        job: raw,
    };
    (record, spec)
}

/// Submits a job to an owner that has inherited 20 jobs and lists 24 workers of 32 cores,
/// none of which has reported.
fn submit_to_new_owner(weighs_loss: bool) -> SubmitAnswer {
    let settings = SchedulerSettings {
        weighs_loss,
        ..SchedulerSettings::default()
    };
    let mut scheduler = PoolScheduler::new(POOL, 2, settings);
    scheduler.set_queues(std::iter::once(&queue()));
    let id = |number: usize| -> JobId { format!("{number:016x}").parse().unwrap() };
    for number in 1..=20 {
        let (record, spec) = job();
        scheduler.restore(id(number), record, spec, None, at(10));
    }
    let entries: Vec<_> = (0..WORKERS).map(entry).collect();
    scheduler.apply_registry(&entries, true, at(20));
    let (record, spec) = job();
    scheduler.submit(id(99), record, spec, at(30))
}

/// Guards against jobs that a new owner refuses until its workers report: it takes the pool
/// for one of 64 cores, so that half a second of inherited work is a wait of six.
#[test]
fn a_new_owner_counts_the_workers_that_are_listed() {
    assert_eq!(submit_to_new_owner(true), SubmitAnswer::Storing);
    let unchanged = submit_to_new_owner(false);
    assert!(matches!(unchanged, SubmitAnswer::Rejected { .. }));
}
