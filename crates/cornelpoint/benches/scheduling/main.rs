//! Time of a pool scheduler's decisions at 50 to 19,000 workers and 200 jobs of
//! eight tasks each: submitting a job, placing a task, a report and a tick.
//!
//! Prints a row for each number of workers. The times are wall-clock times, to
//! be compared only as ratios within one run.

use std::time::Instant as Clock;

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
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::WorkerReport;

const POOL: &str = "quoting";
const QUEUE: &str = "quote-layout";
const WORKER_COUNTS: [u32; 4] = [50, 350, 3_000, 19_000];
const JOBS: u32 = 200;
const WAITING_STEPS: [u64; 3] = [0, 200, 2000];
const TASKS: u64 = 8;

fn main() {
    println!("workers   submit us  placing a task us  report us  tick us");
    for workers in WORKER_COUNTS {
        measure(workers);
    }
    println!("steps that wait for tenants' limits  pass us  demand us");
    for steps in WAITING_STEPS {
        measure_limited(steps);
    }
}

/// Measures a pass over steps of 20 tenants of which none may start, beside 350 workers.
fn measure_limited(steps: u64) {
    const TENANTS: u64 = 20;
    const PASSES: u64 = 200;
    let mut scheduler = scheduler(350);
    scheduler.enforce_limits(1_000_000);
    let tenants = (0..TENANTS).map(|number| {
        Some(RawTenant {
            name: format!("tenant-{number}"),
            keys: Vec::new(),
            weight_milli: 1000,
            limit: Resources {
                cpu_millicores: 100_000,
                ..Resources::default()
            },
        })
    });
    let tenants = Tenants::check(tenants.collect());
    scheduler.set_limits(1, Some(&tenants), std::iter::once(POOL));
    scheduler.confirm_configuration(1);
    for number in 0..steps {
        let (mut record, spec) = job();
        record.tenant = Some(format!("tenant-{}", number % TENANTS));
        scheduler.submit_from_inbox(id(number), record, spec, at(100));
    }
    store_batches(&mut scheduler, 200);
    scheduler.tick(at(1000));
    let began = Clock::now();
    for pass in 0..PASSES {
        scheduler.confirm_configuration(2 + pass);
        scheduler.tick(at(1001));
    }
    let pass_us = micros(began) / f64::from(u32::try_from(PASSES).expect("a small number"));
    let began = Clock::now();
    std::hint::black_box(scheduler.tenant_demand());
    let demand_us = micros(began);
    assert!(
        scheduler
            .take_actions()
            .iter()
            .all(|action| !matches!(action, Action::Start { .. }))
    );
    println!("{steps:>35}  {pass_us:>7.1}  {demand_us:>9.1}");
}

fn measure(workers: u32) {
    let mut scheduler = scheduler(workers);
    let began = Clock::now();
    for number in 0..JOBS {
        let (record, spec) = job();
        scheduler.submit(id(u64::from(number)), record, spec, at(100));
    }
    let submit_us = micros(began) / f64::from(JOBS);
    store_batches(&mut scheduler, 200);
    let began = Clock::now();
    scheduler.tick(at(1000));
    let actions = scheduler.take_actions();
    let starts = actions
        .iter()
        .filter(|action| matches!(action, Action::Start { .. }))
        .count();
    let starts = u32::try_from(starts).expect("the number of starts fits 32 bits");
    let placing_us = micros(began) / f64::from(starts.max(1));
    let began = Clock::now();
    std::hint::black_box(scheduler.report(at(1000)));
    let report_us = micros(began);
    let began = Clock::now();
    scheduler.tick(at(1001));
    let tick_us = micros(began);
    println!(
        "{workers:>7}  {submit_us:>10.1}  {placing_us:>17.1}  {report_us:>9.1}  {tick_us:>7.1}"
    );
}

fn micros(began: Clock) -> f64 {
    began.elapsed().as_secs_f64() * 1e6
}

fn at(steady_ms: u64) -> Instant {
    Instant {
        steady_ms,
        unix_ms: 1_700_000_000_000 + steady_ms,
    }
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a valid job ID")
}

fn job() -> (JobRecord, JobSpec) {
    let step = RawStep {
        replicas: TASKS,
        cpu_millicores: 1000,
        memory_mb: 100,
        estimate_ms: 500,
        ..RawStep::default()
    };
    let raw = RawJob {
        spec: "work".to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    let spec = JobSpec::try_from(raw.clone()).expect("a valid job");
    let record = JobRecord {
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        accepted_unix_ms: at(100).unix_ms,
        priority: 0,
        max_attempts: 3,
        tenant: None,
        advice: None,
        job: raw,
    };
    (record, spec)
}

fn scheduler(workers: u32) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, 1, SchedulerSettings::default());
    let queue = Queue {
        name: QUEUE.to_owned(),
        host: "example".to_owned(),
        path_prefix: "/a/".to_owned(),
        pool: POOL.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 1600,
        objective_ms: 600_000,
        timeout_ms: 3000,
        advice: None,
        public: false,
    };
    scheduler.set_queues(std::iter::once(&queue));
    let entries: Vec<RegistryEntry> = (0..workers).map(entry).collect();
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&entries, true, at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    for action in scheduler.take_actions() {
        if let Action::RenewLease { incarnation, .. } = action {
            let report = WorkerReport {
                born_unix_ms: 5,
                clock_ms: 1000,
                ..WorkerReport::default()
            };
            scheduler.renewal_replied(incarnation, Ok(report), at(10));
        }
    }
    scheduler
}

fn entry(number: u32) -> RegistryEntry {
    RegistryEntry {
        id: format!("worker-{number}"),
        pool: POOL.to_owned(),
        address: format!("worker-{number}:80"),
        zone: "a".to_owned(),
        draining: false,
        cold_remaining_ms: 0,
        capacity: Resources {
            cpu_millicores: 32_000,
            memory_mb: 131_072,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        born_unix_ms: 5,
        clock_ms: 0,
        machine: Some(format!("machine-{number}")),
    }
}

/// Confirms all pending batches as stored.
fn store_batches(scheduler: &mut PoolScheduler, now_ms: u64) {
    let mut now_ms = now_ms;
    while scheduler.begin_batch(at(now_ms)).is_some() {
        scheduler.batch_replied(BatchOutcome::Stored, at(now_ms));
        now_ms += 50;
    }
}
