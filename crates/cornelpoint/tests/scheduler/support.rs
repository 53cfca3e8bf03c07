//! Jobs, registry entries and reports for tests.

use cornelpoint::catalog::Queue;
use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawJob;
use cornelpoint::job::RawStep;
use cornelpoint::job::Resources;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::Instant;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::WorkerReport;

pub(crate) const POOL: &str = "quoting";
pub(crate) const QUEUE: &str = "quote-layout";
const UNIX_BASE_MS: u64 = 1_700_000_000_000;

pub(crate) fn at(steady_ms: u64) -> Instant {
    Instant {
        steady_ms,
        unix_ms: UNIX_BASE_MS + steady_ms,
    }
}

pub(crate) fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a valid job ID")
}

pub(crate) fn step(replicas: u64, cpu_millicores: u64) -> RawStep {
    RawStep {
        replicas,
        cpu_millicores,
        memory_mb: 100,
        estimate_ms: 500,
        ..RawStep::default()
    }
}

pub(crate) fn job(steps: Vec<RawStep>) -> (JobRecord, JobSpec) {
    let raw = RawJob {
        spec: "work".to_owned(),
        steps,
        ..RawJob::default()
    };
    let spec = JobSpec::try_from(raw.clone()).expect("a valid job");
    let record = JobRecord {
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        accepted_unix_ms: UNIX_BASE_MS,
        priority: 0,
        max_attempts: 3,
        tenant: None,
        advice: None,
        job: raw,
    };
    (record, spec)
}

pub(crate) fn queue() -> Queue {
    Queue {
        name: QUEUE.to_owned(),
        host: "example".to_owned(),
        path_prefix: "/a/".to_owned(),
        pool: POOL.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 1600,
        objective_ms: 600,
        timeout_ms: 3000,
        advice: None,
        public: false,
    }
}

pub(crate) fn entry(id: &str, born_unix_ms: u64) -> RegistryEntry {
    RegistryEntry {
        id: id.to_owned(),
        pool: POOL.to_owned(),
        address: format!("{id}:80"),
        zone: "a".to_owned(),
        draining: false,
        cold_remaining_ms: 0,
        capacity: Resources {
            cpu_millicores: 4000,
            memory_mb: 16_000,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        born_unix_ms,
        clock_ms: 0,
        machine: Some(format!("machine-{id}")),
    }
}

/// Returns a scheduler whose workers are recorded in the store and have
/// reported once.
pub(crate) fn ready_scheduler(ids: &[&str]) -> PoolScheduler {
    ready_scheduler_with(ids, SchedulerSettings::default())
}

/// The same with these settings.
pub(crate) fn ready_scheduler_with(ids: &[&str], settings: SchedulerSettings) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, 1, settings);
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let entries: Vec<RegistryEntry> = ids.iter().map(|id| entry(id, 5)).collect();
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&entries, true, at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    answer_renewals(&mut scheduler, 0);
    scheduler
}

/// Submits a job, which is accepted and stored.
pub(crate) fn submit(scheduler: &mut PoolScheduler, number: u64, steps: Vec<RawStep>, now_ms: u64) {
    let (record, spec) = job(steps);
    let answer = scheduler.submit(job_id(number), record, spec, at(now_ms));
    assert_eq!(answer, SubmitAnswer::Storing);
    store_batches(scheduler, now_ms);
}

/// Confirms all pending batches as stored.
pub(crate) fn store_batches(scheduler: &mut PoolScheduler, now_ms: u64) {
    for round in 0..8 {
        let now = at(now_ms + round * 50);
        if scheduler.begin_batch(now).is_none() {
            return;
        }
        scheduler.batch_replied(BatchOutcome::Stored, now);
    }
}

/// Answers every lease renewal with an empty report and returns the other
/// actions.
pub(crate) fn answer_renewals(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<Action> {
    let mut others = Vec::new();
    for action in scheduler.take_actions() {
        match action {
            Action::RenewLease { incarnation, .. } => {
                let report = WorkerReport {
                    born_unix_ms: 5,
                    clock_ms: now_ms + 1000,
                    ..WorkerReport::default()
                };
                scheduler.renewal_replied(incarnation, Ok(report), at(now_ms));
            }
            other => others.push(other),
        }
    }
    scheduler.tick(at(now_ms));
    others
}

/// Returns the starts among the pending actions: worker, task and run number.
pub(crate) fn starts(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<(String, String, u64)> {
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions();
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start {
            incarnation,
            task,
            run,
            ..
        } => {
            let (_, id) = scheduler.worker_address(incarnation)?;
            Some((id.to_owned(), task.to_string(), run))
        }
        _ => None,
    });
    starts.collect()
}
