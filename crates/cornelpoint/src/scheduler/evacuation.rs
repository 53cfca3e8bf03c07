use std::collections::BTreeSet;
use std::collections::HashSet;

use crate::job::JobId;
use crate::job::TaskId;

use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::task_entry::Phase;
use super::task_entry::Run;
use super::worker_set::WorkerSet;
use super::worker_state::WorkerState;

/// Interval at which the runs of workers that are being vacated are checked
/// again.
const EVACUATION_INTERVAL_MS: u64 = 250;
/// Largest number of workers that are offered at the same time.
const MAX_CHEAPEST_WORKERS: usize = 16;

impl PoolScheduler {
    /// Vacates workers for planned maintenance or moves: they get no new tasks,
    /// short tasks run to their end, long-running tasks move as their budget
    /// allows.
    pub fn vacate(&mut self, workers: &BTreeSet<String>, now: Instant) {
        if self.vacating == *workers {
            return;
        }
        self.vacating.clone_from(workers);
        self.recent_load = None;
        for worker in self.incarnations.values_mut() {
            let vacating = workers.contains(&worker.entry.id);
            if worker.vacating && !vacating {
                worker.vacated_ms = Some(now.steady_ms);
                // Its machine has most likely been ordered to leave.
                worker.suspect(now.steady_ms);
            }
            worker.vacating = vacating;
        }
        self.placement_needed = true;
        self.changed_workers = WorkerSet::All;
    }

    /// Sets the workers whose machines are due for maintenance. Tasks that last avoid
    /// them: in a wave of half of all machines, each second task that moved would have
    /// to move again, and few tasks of a step may move at a time.
    pub fn set_due(&mut self, workers: &BTreeSet<String>) {
        if self.due == *workers {
            return;
        }
        self.due.clone_from(workers);
        for worker in self.incarnations.values_mut() {
            worker.due = workers.contains(&worker.entry.id);
        }
    }

    /// Returns the workers to be vacated that run nothing now.
    #[must_use]
    pub fn vacated(&self) -> BTreeSet<String> {
        let empty = self.incarnations.values().filter(|worker| {
            worker.vacating && worker.runs.is_empty() && !worker.is_unresponsive()
        });
        empty.map(|worker| worker.entry.id.clone()).collect()
    }

    /// Returns the usable workers that are cheapest to give up, by what they
    /// run.
    pub(super) fn cheapest(&self, now: Instant) -> Vec<String> {
        let usable = self
            .incarnations
            .values()
            .filter(|worker| Self::is_usable(worker, now));
        let active = self.active_jobs.iter();
        let late: HashSet<JobId> = active
            .filter(|id| {
                let job = self.jobs.get(*id);
                job.is_some_and(|job| job.misses_objective(now.steady_ms))
            })
            .copied()
            .collect();
        let mut costs: Vec<(usize, usize, usize, &str)> = usable
            .map(|worker| {
                let long_running_count = worker
                    .runs
                    .keys()
                    .filter(|(task, _)| self.is_long_running(*task))
                    .count();
                let waiting = worker.runs.keys().filter(|(task, run)| {
                    late.contains(&task.step.job) && self.resumes(*task, *run)
                });
                (
                    long_running_count,
                    worker.runs.len() - waiting.count(),
                    worker.runs.len(),
                    worker.entry.id.as_str(),
                )
            })
            .collect();
        costs.sort_unstable();
        let cheapest = costs.into_iter().take(MAX_CHEAPEST_WORKERS);
        cheapest.map(|(_, _, _, id)| id.to_owned()).collect()
    }

    pub(super) fn is_long_running(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.step(task.step.step).long_running)
    }

    pub(super) fn evacuation_due_ms(&self, now: Instant) -> Option<u64> {
        let leaving = self
            .incarnations
            .values()
            .any(|worker| (worker.vacating || worker.entry.draining) && !worker.runs.is_empty());
        leaving.then_some(now.steady_ms + EVACUATION_INTERVAL_MS)
    }

    /// Stops long-running tasks on workers that leave, so that they start
    /// elsewhere, as far as the step's budget of unavailable tasks allows and, unless the
    /// worker is draining, other workers have room for them.
    pub(super) fn evacuate(&mut self, now: Instant) {
        let leaving = self
            .incarnations
            .values()
            .filter(|worker| worker.vacating || worker.entry.draining);
        let runs: Vec<(TaskId, u64, bool)> = leaving
            .flat_map(|worker| {
                let draining = worker.entry.draining;
                worker
                    .runs
                    .keys()
                    .map(move |&(task, run)| (task, run, draining))
            })
            .collect();
        let mut places = None;
        for (task, run, draining) in runs {
            // A worker that isn't draining stays up until its tasks have moved.
            let moves = self.may_move(task, run, draining, now)
                && (draining || {
                    let places = places.get_or_insert_with(|| self.free_places(now));
                    self.claim_place(places, task.step)
                });
            if moves || self.may_wait(task, run, now) {
                self.stop_run(task, run, now);
            }
        }
    }

    /// Whether a run may be stopped since its job is late anyway and it resumes from
    /// where it was. Its machine then serves a surge sooner.
    fn may_wait(&self, id: TaskId, number: u64, now: Instant) -> bool {
        let job = self.jobs.get(&id.step.job);
        job.is_some_and(|job| job.misses_objective(now.steady_ms)) && self.resumes(id, number)
    }

    /// Whether a run is active and, if stopped, resumes from where it was.
    fn resumes(&self, id: TaskId, number: u64) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return false;
        };
        let step = job.step(id.step.step);
        let run = job.task(id).and_then(|task| task.run(number));
        let running = run.is_some_and(|run| matches!(run.phase, Phase::Running { .. }));
        running && step.saves_progress && !step.gang
    }

    fn may_move(&self, id: TaskId, number: u64, draining: bool, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return false;
        };
        let step = job.step(id.step.step);
        if !step.long_running || job.status.is_final() {
            return false;
        }
        let Some(task) = job.task(id) else {
            return false;
        };
        let running = task
            .runs
            .iter()
            .any(|run| run.number == number && matches!(run.phase, Phase::Running { .. }));
        if !running {
            return false;
        }
        let Some(budget) = step.may_miss else {
            return true;
        };
        let Some(steps) = job.occurrences.get(&id.step.occurrence) else {
            return false;
        };
        let others = steps[usize::from(id.step.step)].tasks.iter().enumerate();
        let unavailable = others.filter(|(index, task)| {
            let at_full_speed = task
                .runs
                .iter()
                .any(|run| self.runs_at_full_speed(run, now));
            *index != id.index as usize && !at_full_speed
        });
        let unavailable = u32::try_from(unavailable.count()).unwrap_or(u32::MAX);
        unavailable < budget || (draining && unavailable == 0)
    }

    /// Whether a run is at full speed by a recent report: the last report of a
    /// worker that is partitioned or has ended is outdated.
    fn runs_at_full_speed(&self, run: &Run, now: Instant) -> bool {
        let Some(worker) = self.incarnations.get(&run.incarnation) else {
            return false;
        };
        let fresh_ms = self.settings.renewal_wait_ms + self.settings.renewal_retry_ms;
        run.percent >= 100
            && matches!(run.phase, Phase::Running { .. })
            && worker.reported_ms + fresh_ms >= now.steady_ms
            && !self.may_be_stopping(run, worker)
    }

    /// Whether a predecessor may have ordered a run to stop. The worker lists
    /// it at full speed until it has ended, but has rejected the predecessor's
    /// orders since its first report under this fencing token.
    fn may_be_stopping(&self, run: &Run, worker: &WorkerState) -> bool {
        let stop_ms = self.settings.stop_ms;
        run.adopted_ms
            .is_some_and(|adopted_ms| worker.report_requested_ms < adopted_ms + stop_ms)
    }
}
