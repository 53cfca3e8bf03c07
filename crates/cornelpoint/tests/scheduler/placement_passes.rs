//! Placement passes under random changes of workers and jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::Rejection;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::step;
use crate::support::store_batches;

const WORKERS: usize = 5;
const ROUNDS: u64 = 400;
const SEEDS: u64 = 20;

#[derive(Default)]
struct Worker {
    running: Vec<(TaskId, u64)>,
    completions: Vec<RunCompletion>,
    last_sequence: u64,
    /// Whether a lease renewal waits for an answer.
    renewal: bool,
}

struct World {
    random: ChaCha8Rng,
    scheduler: PoolScheduler,
    entries: Vec<RegistryEntry>,
    workers: BTreeMap<IncarnationIndex, Worker>,
    jobs: u64,
    /// Number of workers that were replaced.
    replaced: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let ids: Vec<String> = (0..WORKERS).map(|number| format!("w{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut entries: Vec<RegistryEntry> = ids.iter().map(|id| entry(id, 5)).collect();
        entries[0].labels.push("gpu".to_owned());
        let mut scheduler = ready_scheduler(&ids);
        scheduler.apply_registry(&entries, true, at(10));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            scheduler,
            entries,
            workers: BTreeMap::new(),
            jobs: 0,
            replaced: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn submit(&mut self, now_ms: u64) {
        self.jobs += 1;
        let replicas = self.random.random_range(1..6);
        let cpu_millicores = self.random.random_range(1..30) * 100;
        let raw = RawStep {
            memory_mb: self.random.random_range(1..100) * 100,
            gang: self.chance(20),
            max_per_worker: u64::from(self.chance(40)),
            required_label: self.chance(20).then(|| "gpu".to_owned()),
            long_running: self.chance(20),
            ..step(replicas, cpu_millicores)
        };
        let (record, spec) = job(vec![raw]);
        let id = job_id(self.jobs);
        self.scheduler
            .submit_from_inbox(id, record, spec, at(now_ms));
    }

    /// Ends some runs and answers some lease renewals.
    fn report(&mut self, now_ms: u64) {
        let incarnations: Vec<IncarnationIndex> = self.workers.keys().copied().collect();
        for incarnation in incarnations {
            let ends = self.chance(30);
            let answers = self.chance(60);
            let failed = self.chance(10);
            let born_unix_ms = self.born_unix_ms(incarnation);
            let Some(worker) = self.workers.get_mut(&incarnation) else {
                continue;
            };
            if ends && !worker.running.is_empty() {
                let (task, run) = worker.running.remove(0);
                worker.last_sequence += 1;
                worker.completions.push(RunCompletion {
                    sequence: worker.last_sequence,
                    task,
                    run,
                    kind: if failed {
                        CompletionKind::Failed
                    } else {
                        CompletionKind::Done
                    },
                    checkpoint: String::new(),
                });
            }
            if !answers || !std::mem::take(&mut worker.renewal) {
                continue;
            }
            let running = worker.running.iter().map(|&(task, run)| ActiveRun {
                task,
                run,
                checkpoint: String::new(),
                speed_percent: 100,
                gauge: 0,
            });
            let report = WorkerReport {
                born_unix_ms,
                clock_ms: now_ms + 1000,
                running: running.collect(),
                completions: worker.completions.clone(),
                ..WorkerReport::default()
            };
            self.scheduler
                .renewal_replied(incarnation, Ok(report), at(now_ms));
        }
    }

    /// Changes the registry's entry of a worker.
    fn change_entry(&mut self, now_ms: u64) {
        let number = self.random.random_range(0..WORKERS);
        let drains = self.chance(30);
        let cores = self.random.random_range(2..6);
        let changed = &mut self.entries[number];
        changed.draining = drains;
        changed.capacity.cpu_millicores = cores * 1000;
        self.scheduler
            .apply_registry(&self.entries, true, at(now_ms));
    }

    /// Returns some of the workers.
    fn some_workers(&mut self, percent: u32) -> BTreeSet<String> {
        let ids = self.entries.iter().map(|entry| entry.id.clone());
        let ids: Vec<String> = ids.collect();
        ids.into_iter().filter(|_| self.chance(percent)).collect()
    }

    /// Leaves some lease renewals without an answer.
    fn lose_answers(&mut self, now_ms: u64) {
        let incarnations: Vec<IncarnationIndex> = self.workers.keys().copied().collect();
        for incarnation in incarnations {
            let lost = self.chance(10);
            let worker = self.workers.entry(incarnation).or_default();
            if lost && std::mem::take(&mut worker.renewal) {
                let lost = Err(RenewalFailure::NoAnswer);
                self.scheduler
                    .renewal_replied(incarnation, lost, at(now_ms));
            }
        }
    }

    /// Replaces the worker on a machine.
    fn replace(&mut self, now_ms: u64) {
        let number = self.random.random_range(0..WORKERS);
        let replaced = &mut self.entries[number];
        let scheduler = &self.scheduler;
        self.workers.retain(|&incarnation, _| {
            let address = scheduler.worker_address(incarnation);
            address.is_some_and(|(_, id)| id != replaced.id)
        });
        self.replaced += 1;
        replaced.id = format!("w{number}-{}", self.replaced);
        replaced.born_unix_ms = 5 + self.replaced;
        self.scheduler
            .apply_registry(&self.entries, true, at(now_ms));
    }

    /// Changes what placement depends on, without a reading of the registry.
    fn change_workers(&mut self, now_ms: u64) {
        if self.chance(10) {
            let vacating = self.some_workers(30);
            self.scheduler.vacate(&vacating, at(now_ms));
        }
        if self.chance(10) {
            let due = self.some_workers(30);
            self.scheduler.set_due(&due);
        }
        if self.chance(5) {
            self.replace(now_ms);
        }
        self.lose_answers(now_ms);
    }

    /// Returns the start of an incarnation.
    fn born_unix_ms(&self, incarnation: IncarnationIndex) -> u64 {
        let address = self.scheduler.worker_address(incarnation);
        let entry = self
            .entries
            .iter()
            .find(|entry| address.is_some_and(|(_, id)| id == entry.id));
        entry.map_or(5, |entry| entry.born_unix_ms)
    }

    /// Carries out the orders; returns the number of starts.
    fn carry_out(&mut self, now_ms: u64) -> usize {
        let mut starts = 0;
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                } => {
                    starts += 1;
                    let rejected = self.chance(5);
                    let outcome = if rejected {
                        OrderOutcome::Rejected(Rejection::NoCapacity)
                    } else {
                        let worker = self.workers.entry(incarnation).or_default();
                        worker.running.push((task, run));
                        OrderOutcome::Done {
                            clock_ms: now_ms + 1000,
                        }
                    };
                    self.scheduler
                        .start_replied(incarnation, task, run, outcome, at(now_ms));
                }
                Action::Stop {
                    incarnation,
                    task,
                    run,
                } => {
                    let worker = self.workers.entry(incarnation).or_default();
                    worker.running.retain(|active| *active != (task, run));
                    let done = OrderOutcome::Done {
                        clock_ms: now_ms + 1000,
                    };
                    self.scheduler
                        .stop_replied(incarnation, task, run, done, at(now_ms));
                }
                Action::RenewLease {
                    incarnation,
                    acknowledged,
                    ..
                } => {
                    let worker = self.workers.entry(incarnation).or_default();
                    worker
                        .completions
                        .retain(|completion| completion.sequence > acknowledged);
                    worker.renewal = true;
                }
                Action::Pace { .. } | Action::RequestAdvice { .. } => {}
            }
        }
        starts
    }

    fn tick(&mut self, now_ms: u64) -> usize {
        self.scheduler.confirm_ownership(now_ms);
        self.scheduler.tick(at(now_ms));
        let mut starts = self.carry_out(now_ms);
        // Rejected starts are placed again.
        self.scheduler.tick(at(now_ms));
        let mut more = self.carry_out(now_ms);
        while more > 0 {
            starts += more;
            self.scheduler.tick(at(now_ms));
            more = self.carry_out(now_ms);
        }
        starts
    }
}

/// Passes compare a step that fitted no worker only with workers that have changed
/// since. Considering all workers again must not start anything more.
#[test]
fn a_pass_over_changed_workers_misses_no_step_that_fits() {
    let base: u64 = std::env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    for seed in base * 1000..base * 1000 + SEEDS {
        let mut world = World::new(seed);
        let mut started = 0;
        for round in 1..=ROUNDS {
            let now_ms = 1000 + round * 50;
            if world.chance(40) {
                world.submit(now_ms);
            }
            if world.chance(5) {
                let id = job_id(world.random.random_range(0..=world.jobs));
                world.scheduler.cancel(id, at(now_ms));
            }
            if world.chance(5) {
                world.change_entry(now_ms);
            }
            world.report(now_ms);
            store_batches(&mut world.scheduler, now_ms);
            started += world.tick(now_ms);
            let entries = world.entries.clone();
            world.scheduler.apply_registry(&entries, true, at(now_ms));
            let missed = world.tick(now_ms);
            assert_eq!(missed, 0, "seed {seed}, round {round}");
        }
        assert!(started > 100, "seed {seed}: {started} starts");
    }
}

/// The same while workers are vacated, due for maintenance, silent and replaced.
#[test]
fn a_pass_misses_no_step_that_fits_a_worker_that_is_usable_again() {
    let base: u64 = std::env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    for seed in base * 1000..base * 1000 + SEEDS {
        let mut world = World::new(seed);
        let mut started = 0;
        for round in 1..=ROUNDS {
            let now_ms = 1000 + round * 50;
            if world.chance(40) {
                world.submit(now_ms);
            }
            if world.chance(10) {
                let id = job_id(world.random.random_range(0..=world.jobs));
                world.scheduler.cancel(id, at(now_ms));
            }
            if world.chance(5) {
                world.change_entry(now_ms);
            }
            world.change_workers(now_ms);
            world.report(now_ms);
            if world.chance(50) {
                store_batches(&mut world.scheduler, now_ms);
            }
            started += world.tick(now_ms);
            let entries = world.entries.clone();
            world.scheduler.apply_registry(&entries, true, at(now_ms));
            let missed = world.tick(now_ms);
            assert_eq!(missed, 0, "seed {seed}, round {round}");
        }
        assert!(started > 100, "seed {seed}: {started} starts");
    }
}
