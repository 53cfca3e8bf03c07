//! A replayed surge: tenants that submit jobs to one pool, retry when refused, and
//! simulated workers.

use std::collections::BTreeMap;

use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawStep;
use cornelpoint::job::Resources;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;
use crate::surge::Worker;

pub(crate) const TENANTS: usize = 20;
pub(crate) const WORKERS: usize = 24;
/// Workers that join the pool in a surge, and when.
const JOINING_WORKERS: usize = 12;
const JOIN_MS: u64 = 8500;
const WORKER_MILLICORES: u64 = 32_000;
/// Work of a mean job: 8 tasks of 0.8 s on 3.1 cores each.
const MEAN_JOB_CORE_MS: f64 = 19_840.0;
/// Mean demand, in jobs per millisecond: two fifths of the capacity.
const MEAN_RATE: f64 = 0.4 * 768.0 / MEAN_JOB_CORE_MS;
const SURGE_START_MS: u64 = 6000;
const SURGE_END_MS: u64 = 12_500;
const END_MS: u64 = 24_000;
const STEP_MS: u64 = 10;
const TRANSACTION_MS: u64 = 25;
/// A client tries this often in all.
const MAX_ATTEMPTS: u32 = 5;

pub(crate) struct Scenario {
    pub(crate) seed: u64,
    /// Tenant that sends 7.5 times its usual load in the surge.
    pub(crate) flooding: Option<usize>,
    pub(crate) has_tenants: bool,
    pub(crate) settings: SchedulerSettings,
}

/// What became of a job.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) tenant: usize,
    pub(crate) first_ms: u64,
    /// Work of the job, in core-milliseconds.
    pub(crate) work_core_ms: f64,
    duration_ms: u64,
    /// Whether it was sent within its tenant's weight in jobs a second.
    pub(crate) owed: bool,
    pub(crate) refusals: u32,
    pub(crate) done_ms: Option<u64>,
}

impl Outcome {
    pub(crate) fn is_in_time(&self) -> bool {
        let allowed_ms = self.duration_ms * 8 / 5 + 600;
        self.done_ms
            .is_some_and(|at_ms| at_ms <= self.first_ms + allowed_ms)
    }

    /// Whether it was first sent in the surge.
    pub(crate) fn is_of_surge(&self) -> bool {
        (SURGE_START_MS..SURGE_END_MS).contains(&self.first_ms)
    }

    /// Value by the callers' formula, relative to a mean job.
    pub(crate) fn value(&self) -> f64 {
        let full = (0.3 + 0.7 * self.work_core_ms / MEAN_JOB_CORE_MS).min(4.0);
        let allowed_ms = self.duration_ms * 8 / 5 + 600;
        match self.done_ms {
            Some(at_ms) if at_ms <= self.first_ms + allowed_ms => full,
            Some(at_ms) if at_ms <= self.first_ms + 3 * allowed_ms => full / 14.0,
            _ => 0.0,
        }
    }
}

pub(crate) struct Replay {
    pub(crate) outcomes: Vec<Outcome>,
    /// Answers and starts in their order, one number each.
    pub(crate) trace: Vec<u64>,
}

pub(crate) fn tenant_name(tenant: usize) -> String {
    format!("t{tenant:02}")
}

/// Rounds a power, whose last bits differ between platforms and would change the replay.
fn power(base: f64, exponent: f64) -> f64 {
    const STEPS: f64 = 1_048_576.0;
    (base.powf(exponent) * STEPS).round() / STEPS
}

/// Share of the usual load that a tenant sends.
fn usual_share(tenant: usize) -> f64 {
    let weight = |number: usize| power(number as f64 + 1.0, -1.2);
    weight(tenant) / (0..TENANTS).map(weight).sum::<f64>()
}

/// Weight in jobs a second: what a tenant usually sends in a surge.
fn weight(tenant: usize) -> f64 {
    5.0 * MEAN_RATE * 1000.0 * usual_share(tenant)
}

fn tenants() -> Tenants {
    let raw = (0..TENANTS).map(|tenant| {
        Some(RawTenant {
            name: tenant_name(tenant),
            keys: Vec::new(),
            weight_milli: (weight(tenant) * 1000.0) as u64,
            limit: Resources::default(),
        })
    });
    Tenants::check(raw.collect())
}

/// Returns the entries of workers that are larger than those of other tests.
pub(crate) fn entries(count: usize) -> Vec<RegistryEntry> {
    let entries = (0..count).map(|number| {
        let mut listed = entry(&format!("w{number}"), 5);
        listed.capacity.cpu_millicores = WORKER_MILLICORES;
        listed.capacity.memory_mb = 64_000;
        listed
    });
    entries.collect()
}

/// Replays a scenario.
pub(crate) fn replay(scenario: &Scenario) -> Replay {
    let mut scheduler = PoolScheduler::new(POOL, 1, scenario.settings);
    scheduler.set_queues(std::iter::once(&queue()));
    if scenario.has_tenants {
        scheduler.set_tenants(Some(&tenants()));
    }
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&entries(WORKERS), true, at(0));
    let mut world = World {
        scheduler,
        random: ChaCha8Rng::seed_from_u64(scenario.seed),
        workers: BTreeMap::new(),
        jobs: Vec::new(),
        retries: BTreeMap::new(),
        owed_jobs: [0.0; TENANTS],
        stored_at_ms: None,
        trace: Vec::new(),
    };
    let mut now_ms = 0;
    while now_ms < END_MS {
        if now_ms == JOIN_MS {
            let entries = entries(WORKERS + JOINING_WORKERS);
            world.scheduler.apply_registry(&entries, true, at(now_ms));
        }
        world.step(scenario, now_ms);
        now_ms += STEP_MS;
    }
    Replay {
        outcomes: world.jobs.into_iter().map(|job| job.2).collect(),
        trace: world.trace,
    }
}

struct World {
    scheduler: PoolScheduler,
    random: ChaCha8Rng,
    workers: BTreeMap<u32, Worker>,
    jobs: Vec<(JobRecord, JobSpec, Outcome)>,
    /// Jobs to be sent again, by time.
    retries: BTreeMap<u64, Vec<usize>>,
    /// Jobs that each tenant is still owed within the current second.
    owed_jobs: [f64; TENANTS],
    stored_at_ms: Option<u64>,
    trace: Vec<u64>,
}

fn id_of(job: usize) -> JobId {
    job_id(job as u64 + 1)
}

impl World {
    fn step(&mut self, scenario: &Scenario, now_ms: u64) {
        self.scheduler.confirm_ownership(now_ms);
        for (tenant, owed) in self.owed_jobs.iter_mut().enumerate() {
            let burst = weight(tenant).max(1.0);
            *owed = (*owed + weight(tenant) * STEP_MS as f64 / 1000.0).min(burst);
        }
        let due = self.retries.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.retries, due);
        for job in due.into_values().flatten() {
            self.submit(job, now_ms);
        }
        let surge = (SURGE_START_MS..SURGE_END_MS).contains(&now_ms);
        for tenant in 0..TENANTS {
            let mut rate = MEAN_RATE * usual_share(tenant) * if surge { 5.0 } else { 1.0 };
            if surge && scenario.flooding == Some(tenant) {
                rate *= 7.5;
            }
            let mut expected = if now_ms < SURGE_END_MS {
                rate * STEP_MS as f64
            } else {
                0.0
            };
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    let job = self.new_job(tenant, now_ms);
                    self.submit(job, now_ms);
                }
                expected -= 1.0;
            }
        }
        self.run_workers(now_ms);
        self.store(now_ms);
    }

    fn new_job(&mut self, tenant: usize, now_ms: u64) -> usize {
        // Sizes spread by a factor of four either way around a mean of 8 tasks.
        let tasks = power(4.0, self.random.random_range(-1.0..1.0)) * 5.9;
        let tasks = tasks.round().max(1.0);
        let duration_ms = power(2.0, self.random.random_range(-1.0..1.0)) * 740.0;
        let estimate_ms = duration_ms * self.random.random_range(0.1..1.9);
        let (mut record, spec) = job(vec![RawStep {
            estimate_ms: estimate_ms as u64,
            ..step(tasks as u64, 3100)
        }]);
        record.accepted_unix_ms = at(now_ms).unix_ms;
        record.tenant = Some(tenant_name(tenant));
        let owed = self.owed_jobs[tenant] >= 1.0;
        if owed {
            self.owed_jobs[tenant] -= 1.0;
        }
        let outcome = Outcome {
            tenant,
            first_ms: now_ms,
            work_core_ms: tasks * duration_ms * 3.1,
            duration_ms: duration_ms as u64,
            owed,
            refusals: 0,
            done_ms: None,
        };
        self.jobs.push((record, spec, outcome));
        self.jobs.len() - 1
    }

    fn submit(&mut self, job: usize, now_ms: u64) {
        let (record, spec, outcome) = &mut self.jobs[job];
        let (record, spec) = (record.clone(), spec.clone());
        let answer = self.scheduler.submit(id_of(job), record, spec, at(now_ms));
        let retry_after_ms = match answer {
            SubmitAnswer::Rejected { retry_after_ms } => retry_after_ms,
            _ => 0,
        };
        self.trace.push(retry_after_ms);
        if retry_after_ms > 0 {
            outcome.refusals += 1;
            if outcome.refusals < MAX_ATTEMPTS {
                // Retry-After is in whole seconds.
                let again_ms = now_ms + retry_after_ms.div_ceil(1000) * 1000;
                self.retries.entry(again_ms).or_default().push(job);
            }
        }
    }

    fn run_workers(&mut self, now_ms: u64) {
        for (&incarnation, worker) in &mut self.workers {
            worker.end_runs(now_ms);
            if let Some(report) = worker.due_report(now_ms) {
                self.scheduler
                    .renewal_replied(incarnation, Ok(report), at(now_ms));
            }
        }
        self.scheduler.tick(at(now_ms));
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                } => {
                    let job = usize::from_str_radix(&task.step.job.to_string(), 16).unwrap() - 1;
                    self.trace.push(job as u64 + (u64::from(task.index) << 32));
                    let end_ms = now_ms + self.jobs[job].2.duration_ms;
                    let worker = self.workers.entry(incarnation).or_default();
                    worker.active.push((task, run, end_ms));
                    let done = OrderOutcome::Done {
                        clock_ms: now_ms + 1000,
                    };
                    self.scheduler
                        .start_replied(incarnation, task, run, done, at(now_ms));
                }
                Action::RenewLease {
                    incarnation,
                    acknowledged,
                    wait_ms,
                    ..
                } => {
                    let worker = self.workers.entry(incarnation).or_default();
                    worker.acknowledge(acknowledged, now_ms);
                    worker.renewal = Some(now_ms + wait_ms);
                }
                _ => {}
            }
        }
    }

    fn store(&mut self, now_ms: u64) {
        if self.stored_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.stored_at_ms = None;
            let stored = self
                .scheduler
                .batch_replied(BatchOutcome::Stored, at(now_ms));
            for ended in stored.ended {
                let job = usize::from_str_radix(&ended.id.to_string(), 16).unwrap() - 1;
                self.jobs[job].2.done_ms = Some(now_ms);
            }
        }
        if self.stored_at_ms.is_none() && self.scheduler.begin_batch(at(now_ms)).is_some() {
            self.stored_at_ms = Some(now_ms + TRANSACTION_MS);
        }
    }
}

impl Replay {
    /// Owed work of a tenant in the surge and how much of it was served in time, in
    /// core-milliseconds. Any of its jobs in time counts, up to what it is owed.
    fn owed_of(&self, tenant: usize) -> (f64, f64) {
        let jobs = self.outcomes.iter();
        let jobs = jobs.filter(|job| job.tenant == tenant && job.is_of_surge());
        let (mut owed, mut served) = (0.0, 0.0);
        for job in jobs {
            if job.owed {
                owed += job.work_core_ms;
            }
            if job.is_in_time() {
                served += job.work_core_ms;
            }
        }
        (owed, served.min(owed))
    }

    /// Mean share of the owed work served in time, of the two tenants with the least.
    pub(crate) fn worst_tenth(&self) -> f64 {
        let owed = (0..TENANTS).map(|tenant| self.owed_of(tenant));
        let mut shares: Vec<f64> = owed.map(|(owed, served)| served / owed.max(1.0)).collect();
        shares.sort_by(f64::total_cmp);
        f64::midpoint(shares[0], shares[1])
    }

    /// Share of the owed work of all tenants that was served in time.
    pub(crate) fn owed_in_time(&self) -> f64 {
        let owed: Vec<(f64, f64)> = (0..TENANTS).map(|tenant| self.owed_of(tenant)).collect();
        let sum = |part: fn(&(f64, f64)) -> f64| owed.iter().map(part).sum::<f64>();
        sum(|(_, served)| *served) / sum(|(owed, _)| *owed)
    }

    /// Work done in time, in core-seconds.
    pub(crate) fn served_core_s(&self) -> f64 {
        let served = self.outcomes.iter().filter(|job| job.is_in_time());
        served.map(|job| job.work_core_ms / 1000.0).sum()
    }

    /// Number of refusals.
    pub(crate) fn refusals(&self) -> u32 {
        self.outcomes.iter().map(|job| job.refusals).sum()
    }

    pub(crate) fn value(&self) -> f64 {
        self.outcomes.iter().map(Outcome::value).sum()
    }
}
