//! A pool whose workers take a given time for each run, answer orders at once and end
//! renewals with the next end of a run. Each worker is on a rack of its own.

use std::collections::BTreeMap;

use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerEvent;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::store_batches;

/// Interval at which the scheduler is driven.
pub(crate) const TICK_MS: u64 = 20;

/// A run that a worker was ordered to start.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRun {
    pub(crate) worker: IncarnationIndex,
    pub(crate) task: TaskId,
    pub(crate) run: u64,
    pub(crate) started_ms: u64,
    pub(crate) ends_ms: u64,
    pub(crate) kind: CompletionKind,
    pub(crate) checkpoint: String,
    /// Checkpoint in the order to start.
    pub(crate) from: String,
}

pub(crate) struct CopyPool {
    pub(crate) scheduler: PoolScheduler,
    pub(crate) now_ms: u64,
    pub(crate) active: Vec<SimulatedRun>,
    /// All ends, in order: time, and run.
    pub(crate) ended: Vec<(u64, SimulatedRun)>,
    pub(crate) events: Vec<SchedulerEvent>,
    completions: BTreeMap<IncarnationIndex, Vec<RunCompletion>>,
    sequences: BTreeMap<IncarnationIndex, u64>,
    /// Renewals that wait for the end of a run: until when.
    renewals: BTreeMap<IncarnationIndex, u64>,
    /// Workers that answer nothing.
    pub(crate) silent: Vec<IncarnationIndex>,
    pub(crate) work_ms: u64,
    /// Whether orders to start get no answer, and whether they are carried out.
    pub(crate) unanswered: Option<bool>,
}

impl CopyPool {
    pub(crate) fn new(workers: usize) -> Self {
        let ids: Vec<String> = (0..workers).map(|number| format!("w{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut scheduler = ready_scheduler(&ids);
        scheduler.apply_registry(&Self::entries(workers), true, at(10));
        Self {
            scheduler,
            now_ms: 100,
            active: Vec::new(),
            ended: Vec::new(),
            events: Vec::new(),
            completions: BTreeMap::new(),
            sequences: BTreeMap::new(),
            renewals: BTreeMap::new(),
            silent: Vec::new(),
            work_ms: 0,
            unanswered: None,
        }
    }

    pub(crate) fn entries(workers: usize) -> Vec<RegistryEntry> {
        let entries = (0..workers).map(|number| RegistryEntry {
            labels: vec!["a".to_owned(), format!("r{number}")],
            ..entry(&format!("w{number}"), 5)
        });
        entries.collect()
    }

    pub(crate) fn accept(&mut self, number: u64, steps: Vec<RawStep>) {
        self.accept_for(None, number, steps);
    }

    pub(crate) fn accept_for(&mut self, tenant: Option<&str>, number: u64, steps: Vec<RawStep>) {
        let (mut record, spec) = job(steps);
        record.tenant = tenant.map(str::to_owned);
        record.accepted_unix_ms = at(self.now_ms).unix_ms;
        let now = at(self.now_ms);
        self.scheduler
            .submit_from_inbox(job_id(number), record, spec, now);
    }

    /// Lets time pass by one tick; `work` gives the duration of a run that starts.
    pub(crate) fn advance(&mut self, work: &mut impl FnMut(TaskId, u64, IncarnationIndex) -> u64) {
        self.now_ms += TICK_MS;
        self.end_runs();
        self.scheduler.confirm_ownership(self.now_ms);
        for _ in 0..3 {
            store_batches(&mut self.scheduler, self.now_ms);
            self.scheduler.tick(at(self.now_ms));
            for action in self.scheduler.take_actions() {
                self.carry_out(action, work);
            }
            self.answer_renewals();
        }
        self.events.extend(self.scheduler.take_events());
    }

    pub(crate) fn advance_by(&mut self, duration_ms: u64, work_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.advance(&mut |_, _, _| work_ms);
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let over = self.active.extract_if(.., |run| run.ends_ms <= now_ms);
        let over: Vec<SimulatedRun> = over.collect();
        for run in over {
            let sequence = self.sequences.entry(run.worker).or_default();
            *sequence += 1;
            let completion = RunCompletion {
                sequence: *sequence,
                task: run.task,
                run: run.run,
                kind: run.kind,
                checkpoint: run.checkpoint.clone(),
            };
            self.work_ms += now_ms - run.started_ms;
            self.completions
                .entry(run.worker)
                .or_default()
                .push(completion);
            self.ended.push((now_ms, run));
        }
    }

    fn carry_out(
        &mut self,
        action: Action,
        work: &mut impl FnMut(TaskId, u64, IncarnationIndex) -> u64,
    ) {
        let now = at(self.now_ms);
        let done = OrderOutcome::Done {
            clock_ms: self.now_ms + 1000,
        };
        match action {
            Action::Start {
                incarnation,
                task,
                run,
                checkpoint,
                ..
            } => {
                if self.unanswered != Some(false) {
                    self.active.push(SimulatedRun {
                        worker: incarnation,
                        task,
                        run,
                        started_ms: self.now_ms,
                        ends_ms: self.now_ms + work(task, run, incarnation),
                        kind: CompletionKind::Done,
                        checkpoint: String::new(),
                        from: checkpoint,
                    });
                }
                let outcome = self.unanswered.map_or(done, |_| OrderOutcome::NoAnswer);
                self.scheduler
                    .start_replied(incarnation, task, run, outcome, now);
            }
            Action::Stop {
                incarnation,
                task,
                run,
            } if !self.silent.contains(&incarnation) => {
                let stopped = |active: &&mut SimulatedRun| active.task == task && active.run == run;
                if let Some(active) = self.active.iter_mut().find(stopped) {
                    active.ends_ms = self.now_ms;
                    active.kind = CompletionKind::Stopped;
                }
                self.scheduler
                    .stop_replied(incarnation, task, run, done, now);
            }
            Action::RenewLease {
                incarnation,
                acknowledged,
                wait_ms,
                ..
            } => {
                let listed = self.completions.entry(incarnation).or_default();
                listed.retain(|completion| completion.sequence > acknowledged);
                self.renewals.insert(incarnation, self.now_ms + wait_ms);
            }
            _ => {}
        }
    }

    fn answer_renewals(&mut self) {
        let due: Vec<IncarnationIndex> = self
            .renewals
            .iter()
            .filter(|(worker, until_ms)| {
                let listed = self.completions.get(worker);
                let has_ends = listed.is_some_and(|listed| !listed.is_empty());
                !self.silent.contains(worker) && (has_ends || **until_ms <= self.now_ms)
            })
            .map(|(worker, _)| *worker)
            .collect();
        for worker in due {
            self.renewals.remove(&worker);
            let report = self.report(worker);
            self.scheduler
                .renewal_replied(worker, Ok(report), at(self.now_ms));
        }
    }

    pub(crate) fn report(&self, worker: IncarnationIndex) -> WorkerReport {
        let active = self.active.iter().filter(|active| active.worker == worker);
        let running = active.map(|active| ActiveRun {
            task: active.task,
            run: active.run,
            checkpoint: active.checkpoint.clone(),
            speed_percent: 100,
            gauge: 0,
        });
        WorkerReport {
            born_unix_ms: 5,
            clock_ms: self.now_ms + 1000,
            running: running.collect(),
            completions: self.completions.get(&worker).cloned().unwrap_or_default(),
            ..WorkerReport::default()
        }
    }

    pub(crate) fn runs_of(&self, task: TaskId) -> Vec<&SimulatedRun> {
        let runs = self.active.iter();
        runs.filter(|active| active.task == task).collect()
    }
}
