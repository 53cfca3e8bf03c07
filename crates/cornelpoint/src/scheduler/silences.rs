use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::TaskId;

use super::crashes::LostRun;
use super::instant::Instant;
use super::newest_incarnations::NewestIncarnations;
use super::pool_scheduler::PoolScheduler;
use super::worker_state::WorkerState;

/// Silences of workers that are not explained yet. They outlive what else is known of
/// an incarnation: the registry soon drops a worker that can't be reached.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    by_worker: BTreeMap<String, Vec<Silence>>,
    /// When tasks may be started again, unless a further silence follows.
    withheld: BTreeSet<(u64, TaskId)>,
}

/// A run on whose start a worker fell silent.
#[derive(Clone, Debug)]
struct Silence {
    born_unix_ms: u64,
    machine: Option<String>,
    /// Whether the worker was about to leave as planned.
    leaving: bool,
    run: LostRun,
}

impl Silences {
    pub(super) fn add(&mut self, worker: &WorkerState, run: LostRun) {
        let silence = Silence {
            born_unix_ms: worker.entry.born_unix_ms,
            machine: worker.entry.machine.clone(),
            leaving: worker.is_leaving(),
            run,
        };
        let silences = self.by_worker.entry(worker.entry.id.clone());
        silences.or_default().push(silence);
    }

    /// Withholds a task up to a time. Returns whether it wasn't already.
    pub(super) fn withhold(&mut self, task: TaskId, until_ms: u64) -> bool {
        self.withheld.insert((until_ms, task))
    }

    /// Whether any task may be withheld.
    pub(super) fn withhold_any(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// Returns when the next task may be started again.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.withheld.first().map(|&(until_ms, _)| until_ms)
    }

    /// Removes and returns the runs on which a worker fell silent.
    pub(super) fn take(&mut self, worker: &str) -> Vec<LostRun> {
        let taken = self.by_worker.remove(worker).unwrap_or_default();
        taken.into_iter().map(|silence| silence.run).collect()
    }

    /// Removes and returns the runs on which incarnations fell silent that have ended
    /// since, and whether these crashed.
    fn take_superseded(&mut self, newest: &NewestIncarnations<'_>) -> Vec<(LostRun, bool)> {
        let mut taken = Vec::new();
        self.by_worker.retain(|worker, silences| {
            let superseded = silences.extract_if(.., |silence| {
                newest.supersede(worker, silence.machine.as_deref(), silence.born_unix_ms)
            });
            taken.extend(superseded.map(|silence| (silence.run, !silence.leaving)));
            !silences.is_empty()
        });
        taken
    }

    /// Notes whether an incarnation that is no longer known was about to leave.
    pub(super) fn dropped(&mut self, worker: &WorkerState) {
        let silences = self.by_worker.get_mut(&worker.entry.id);
        for silence in silences.into_iter().flatten() {
            silence.leaving = worker.is_leaving();
        }
    }

    /// Removes the silences of tasks for which they no longer matter.
    pub(super) fn retain(&mut self, matters: impl Fn(TaskId) -> bool) {
        self.by_worker.retain(|_, silences| {
            silences.retain(|silence| matters(silence.run.task()));
            !silences.is_empty()
        });
    }
}

impl PoolScheduler {
    /// Settles the silences of incarnations that the registry shows to have ended.
    pub(super) fn end_superseded_silences(
        &mut self,
        newest: &NewestIncarnations<'_>,
        now: Instant,
    ) {
        for (run, crashed) in self.silences.take_superseded(newest) {
            self.silence_explained(vec![run], crashed, now);
        }
        let Self { silences, jobs, .. } = self;
        silences.retain(|task| {
            let job = jobs.get(&task.step.job);
            let job = job.filter(|job| !job.status.is_final());
            job.and_then(|job| job.task(task))
                .is_some_and(|entry| !entry.done)
        });
    }

    /// Considers tasks again that are no longer withheld.
    pub(super) fn release_withheld_tasks(&mut self, now: Instant) {
        while self
            .silences
            .due_ms()
            .is_some_and(|due_ms| due_ms <= now.steady_ms)
        {
            if let Some((_, task)) = self.silences.withheld.pop_first() {
                self.reconsider(task.step);
            }
        }
    }
}
