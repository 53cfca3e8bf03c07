//! Workers that crash under a task and are back, as new workers of the same
//! machines, after some seconds.

use std::collections::BTreeMap;

use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;

/// Simulated time between two looks at all workers.
const STEP_MS: u64 = 50;
/// Duration of a task that does not crash its worker, unless set otherwise.
const WORK_MS: u64 = 800;

/// How a worker is lost under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Crash {
    /// It crashes on the start of a task; back after this time.
    OnStart { down_ms: u64 },
    /// It crashes before it has answered the order to start a task; back after this
    /// time.
    BeforeAnswer { down_ms: u64 },
    /// It is cut off on the start of a task, so that the lease expires, and is heard
    /// of again after this time. The registry may list it meanwhile.
    CutOff { down_ms: u64, listed: bool },
    /// It crashes when the task has run for `after_ms`; back after `down_ms`.
    Later { after_ms: u64, down_ms: u64 },
}

impl Crash {
    fn down_ms(self) -> u64 {
        match self {
            Self::OnStart { down_ms }
            | Self::BeforeAnswer { down_ms }
            | Self::CutOff { down_ms, .. }
            | Self::Later { down_ms, .. } => down_ms,
        }
    }
}

#[derive(Debug)]
struct Machine {
    name: String,
    life: u64,
    back_ms: u64,
    draining: bool,
    running: Vec<(TaskId, u64, u64)>,
    completions: Vec<RunCompletion>,
    sequence: u64,
}

impl Machine {
    fn is_up(&self, now_ms: u64) -> bool {
        now_ms >= self.back_ms
    }

    fn entry(&self) -> RegistryEntry {
        RegistryEntry {
            machine: Some(self.name.clone()),
            draining: self.draining,
            ..entry(&format!("{}-{}", self.name, self.life), self.life)
        }
    }

    fn lose(&mut self, now_ms: u64, crash: Crash) {
        if let Crash::CutOff { down_ms, .. } = crash {
            self.back_ms = now_ms + down_ms;
            self.running.clear();
        } else {
            self.crash(now_ms, crash.down_ms());
        }
    }

    fn crash(&mut self, now_ms: u64, down_ms: u64) {
        self.back_ms = now_ms.saturating_add(down_ms);
        self.life += 1;
        self.draining = false;
        self.running.clear();
        self.completions.clear();
        self.sequence = 0;
    }

    fn complete(&mut self, task: TaskId, run: u64, kind: CompletionKind) {
        self.sequence += 1;
        self.completions.push(RunCompletion {
            sequence: self.sequence,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.running.iter().map(|&(task, run, _)| ActiveRun {
            task,
            run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
        WorkerReport {
            born_unix_ms: self.life,
            clock_ms: now_ms + 1000,
            running: running.collect(),
            completions: self.completions.clone(),
            ..WorkerReport::default()
        }
    }
}

/// A pool of machines and its scheduler.
#[derive(Debug)]
pub(crate) struct CrashWorld {
    pub(crate) scheduler: PoolScheduler,
    machines: Vec<Machine>,
    crash: Crash,
    deadly: Vec<TaskId>,
    starts: BTreeMap<TaskId, u32>,
    /// Duration of a task that does not crash its worker.
    pub(crate) work_ms: u64,
    /// Latest stored progress of each job.
    pub(crate) progress: BTreeMap<JobId, JobProgress>,
    pub(crate) now_ms: u64,
}

impl CrashWorld {
    pub(crate) fn new(machines: usize, crash: Crash) -> Self {
        let machines = (1..=machines).map(|number| Machine {
            name: format!("m{number}"),
            life: 1,
            back_ms: 0,
            draining: false,
            running: Vec::new(),
            completions: Vec::new(),
            sequence: 0,
        });
        let mut world = Self {
            scheduler: scheduler(1),
            machines: machines.collect(),
            crash,
            deadly: Vec::new(),
            starts: BTreeMap::new(),
            work_ms: WORK_MS,
            progress: BTreeMap::new(),
            now_ms: 0,
        };
        world.run_for(500);
        world
    }

    /// Submits a job with this number; `deadly` are the indexes of the tasks of its
    /// first step that crash their workers.
    pub(crate) fn submit(&mut self, number: u64, steps: Vec<RawStep>, deadly: &[u32]) {
        let (record, spec) = job(steps);
        let id = job_id(number);
        self.scheduler.submit(id, record, spec, at(self.now_ms));
        for index in deadly {
            let task = format!("{id}.0.0.{index}").parse().expect("a valid task");
            self.deadly.push(task);
        }
    }

    /// Replaces the owner by a successor that restores a job of these steps.
    pub(crate) fn take_over(&mut self, fencing_token: u64, number: u64, steps: Vec<RawStep>) {
        let (record, spec) = job(steps);
        let id = job_id(number);
        self.scheduler = scheduler(fencing_token);
        self.scheduler.confirm_ownership(self.now_ms);
        let progress = self.progress.get(&id);
        let now = at(self.now_ms);
        self.scheduler.restore(id, record, spec, progress, now);
    }

    /// Lets no task crash or cut off its worker any more.
    pub(crate) fn end_crashes(&mut self) {
        self.deadly.clear();
    }

    /// Ends the runs of gangs whose first member has none, which workers do by themselves.
    pub(crate) fn end_others_alone(&mut self) {
        let running = self.machines.iter().flat_map(|machine| &machine.running);
        let present: Vec<TaskId> = running.map(|&(task, ..)| task).collect();
        for machine in &mut self.machines {
            let (stay, alone) = std::mem::take(&mut machine.running)
                .into_iter()
                .partition(|(task, ..)| task.index == 0 || present.contains(&task.step.task(0)));
            machine.running = stay;
            for (task, run, _) in alone {
                machine.complete(task, run, CompletionKind::Alone);
            }
        }
    }

    /// Lets tasks lose their workers in another way from now on.
    pub(crate) fn set_crash(&mut self, crash: Crash) {
        self.crash = crash;
    }

    /// Lists all workers as draining.
    pub(crate) fn drain(&mut self) {
        for machine in &mut self.machines {
            machine.draining = true;
        }
    }

    /// Crashes all machines at once.
    pub(crate) fn crash_all(&mut self, down_ms: u64) {
        for machine in &mut self.machines {
            machine.crash(self.now_ms, down_ms);
        }
    }

    /// Crashes the machine that runs a task, for good.
    pub(crate) fn lose_workers_of(&mut self, task: &str) {
        let task: TaskId = task.parse().expect("a valid task");
        for machine in &mut self.machines {
            if machine.running.iter().any(|(running, ..)| *running == task) {
                machine.crash(self.now_ms, u64::MAX);
            }
        }
    }

    /// Brings all machines back.
    pub(crate) fn bring_back(&mut self) {
        for machine in &mut self.machines {
            machine.back_ms = machine.back_ms.min(self.now_ms);
        }
    }

    pub(crate) fn starts_of(&self, task: &str) -> u32 {
        let task = task.parse().expect("a valid task");
        self.starts.get(&task).copied().unwrap_or(0)
    }

    pub(crate) fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.advance_machines();
            self.scheduler.confirm_ownership(self.now_ms);
            let machines = self.machines.iter();
            let cut_off = matches!(self.crash, Crash::CutOff { listed: true, .. });
            let listed = machines.filter(|machine| cut_off || machine.is_up(self.now_ms));
            let entries: Vec<RegistryEntry> = listed.map(Machine::entry).collect();
            let now = at(self.now_ms);
            self.scheduler.apply_registry(&entries, true, now);
            self.scheduler.tick(now);
            while let Some(batch) = self.scheduler.begin_batch(now) {
                self.progress.extend(batch.progress);
                self.scheduler.batch_replied(BatchOutcome::Stored, now);
            }
            for action in self.scheduler.take_actions() {
                self.execute(&action);
            }
        }
    }

    fn advance_machines(&mut self) {
        for machine in &mut self.machines {
            let crash = self.crash;
            let due = machine.running.iter().any(|(task, _, started_ms)| {
                let after_ms = match crash {
                    Crash::OnStart { .. } | Crash::BeforeAnswer { .. } | Crash::CutOff { .. } => 0,
                    Crash::Later { after_ms, .. } => after_ms,
                };
                self.deadly.contains(task) && started_ms + after_ms <= self.now_ms
            });
            if due {
                machine.lose(self.now_ms, crash);
                continue;
            }
            let now_ms = self.now_ms;
            let (ended, running) = std::mem::take(&mut machine.running)
                .into_iter()
                .partition::<Vec<_>, _>(|(_, _, started_ms)| started_ms + self.work_ms <= now_ms);
            machine.running = running;
            for (task, run, _) in ended {
                machine.complete(task, run, CompletionKind::Done);
            }
        }
    }

    fn execute(&mut self, action: &Action) {
        let now = at(self.now_ms);
        match *action {
            Action::Start {
                incarnation,
                task,
                run,
                ..
            } => {
                let clock_ms = self.now_ms + 1000;
                let now_ms = self.now_ms;
                let crash = self.crash;
                let is_deadly = self.deadly.contains(&task);
                let outcome = match self.machine(incarnation) {
                    Some(machine) if is_deadly && matches!(crash, Crash::BeforeAnswer { .. }) => {
                        machine.crash(now_ms, crash.down_ms());
                        *self.starts.entry(task).or_default() += 1;
                        OrderOutcome::NoAnswer
                    }
                    Some(machine) => {
                        machine.running.push((task, run, now_ms));
                        *self.starts.entry(task).or_default() += 1;
                        OrderOutcome::Done { clock_ms }
                    }
                    None => OrderOutcome::NoAnswer,
                };
                self.scheduler
                    .start_replied(incarnation, task, run, outcome, now);
            }
            Action::Stop {
                incarnation,
                task,
                run,
            } => {
                let clock_ms = self.now_ms + 1000;
                if let Some(machine) = self.machine(incarnation) {
                    machine.running.retain(|running| running.0 != task);
                }
                let outcome = OrderOutcome::Done { clock_ms };
                self.scheduler
                    .stop_replied(incarnation, task, run, outcome, now);
            }
            Action::RenewLease {
                incarnation,
                acknowledged,
                ..
            } => {
                let now_ms = self.now_ms;
                let outcome = match self.machine(incarnation) {
                    Some(machine) => {
                        machine
                            .completions
                            .retain(|completion| completion.sequence > acknowledged);
                        Ok(machine.report(now_ms))
                    }
                    None => Err(RenewalFailure::NoAnswer),
                };
                self.scheduler.renewal_replied(incarnation, outcome, now);
            }
            Action::Pace { .. } | Action::RequestAdvice { .. } => {}
        }
    }

    /// Returns the machine on which an incarnation still runs.
    fn machine(&mut self, incarnation: IncarnationIndex) -> Option<&mut Machine> {
        let (_, id) = self.scheduler.worker_address(incarnation)?;
        let id = id.to_owned();
        let now_ms = self.now_ms;
        let mut machines = self.machines.iter_mut();
        machines.find(|machine| machine.is_up(now_ms) && machine.entry().id == id)
    }
}

fn scheduler(fencing_token: u64) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, fencing_token, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    scheduler
}
