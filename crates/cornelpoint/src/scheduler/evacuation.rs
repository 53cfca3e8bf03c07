use std::collections::BTreeSet;
use std::collections::HashSet;

use crate::admission::ShareClass;
use crate::admission::StoppableRun;
use crate::admission::runs_to_stop;
use crate::job::JobId;
use crate::job::TaskId;

use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::task_entry::Phase;
use super::task_entry::Run;
use super::worker_set::WorkerSet;
use super::worker_state::WorkerState;

/// Interval at which the runs of workers that are being vacated are checked
/// again.
const EVACUATION_INTERVAL_MS: u64 = 250;
/// Time for which a task of priority 0 waits before runs are stopped for it: most workers
/// free some room sooner.
const MIN_PREEMPTION_WAIT_MS: u64 = 100;
/// Longest time between the end of the stopped runs and the latest start of the task that
/// waits: what can wait for longer gets the room of runs that end by themselves.
const MAX_PREEMPTION_LEAD_MS: u64 = 500;
/// Largest number of runs that are stopped at the same time, so that a mistaken estimate
/// costs little.
const MAX_PREEMPTED_RUNS: usize = 32;
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

    /// Stops runs of jobs of lower priority where tasks of priority 0 wait for capacity and
    /// can still be in time, if callers compete for too little capacity.
    ///
    /// No task is stopped twice: an owner doesn't know what its predecessor stopped, so it
    /// stops no task of a job that it has inherited. Tenants' shares come first: only runs
    /// of the same tenant, or beyond their tenant's weight, are stopped for another one.
    pub(super) fn preempt(&mut self, now: Instant) {
        if !self.settings.weighs_loss || now.steady_ms < self.next_preemption_ms {
            return;
        }
        let stop_ms = self.settings.stop_ms;
        let urgent = self.ready.iter().skip_while(|(key, _)| !key.is_batch);
        let mut urgent = urgent.take_while(|(key, _)| key.priority == 0);
        let waiting = urgent.find_map(|(key, ready)| {
            let job = self.jobs.get(&key.step.job)?;
            let step = job.step(key.step.step);
            let waits = ready.since_ms + MIN_PREEMPTION_WAIT_MS <= now.steady_ms;
            let after_stop_ms = now.steady_ms + stop_ms;
            let is_due = (after_stop_ms..=after_stop_ms + MAX_PREEMPTION_LEAD_MS)
                .contains(&key.latest_start_ms);
            let is_placeable = job.stored_status.is_some()
                && !job.inherited
                && job.share_class == ShareClass::Owed
                && !step.gang
                && !step.is_restricted();
            (waits && is_due && is_placeable).then_some((key.step, job, ready))
        });
        let Some((step, job, ready)) = waiting else {
            return;
        };
        let runs = self.stoppable_runs(job.record.tenant.as_deref(), now);
        let usable = self
            .incarnations
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now));
        let free = usable.map(|(&index, worker)| {
            let free = worker.entry.capacity.minus(worker.used);
            (index, free)
        });
        let tasks = ready.tasks.len();
        let stopped = runs_to_stop(ready.need, tasks, &free.collect(), runs, MAX_PREEMPTED_RUNS);
        if stopped.is_empty() {
            return;
        }
        // By then the runs have ended and the waiting tasks have started.
        self.next_preemption_ms = now.steady_ms + stop_ms;
        self.events.push(SchedulerEvent::RunsPreempted {
            step,
            tasks,
            waited_ms: now.steady_ms - ready.since_ms,
            stopped: stopped.iter().map(|(task, _)| *task).collect(),
        });
        for (task, run) in stopped {
            let entry = self.jobs.get_mut(&task.step.job);
            if let Some(entry) = entry.and_then(|job| job.task_mut(task)) {
                entry.preempted = true;
            }
            self.stop_run(task, run, now);
        }
    }

    /// Returns the runs that may be stopped for a job of priority 0 of a tenant.
    fn stoppable_runs(
        &self,
        tenant: Option<&str>,
        now: Instant,
    ) -> Vec<StoppableRun<(TaskId, u64)>> {
        let has_shares = self.admission.shares().is_active();
        let usable = self
            .incarnations
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now));
        let runs = usable.flat_map(|(&index, worker)| {
            worker
                .runs
                .iter()
                .map(move |(&key, run)| (index, key, run.need))
        });
        let stoppable = runs.filter_map(|(worker, (id, number), taken)| {
            let job = self.jobs.get(&id.step.job)?;
            let step = job.step(id.step.step);
            let task = job.task(id)?;
            let run = task.run(number)?;
            let is_of_tenant = job.record.tenant.as_deref() == tenant;
            let yields = !has_shares || is_of_tenant || job.share_class == ShareClass::Excess;
            let is_protected = step.long_running || step.may_miss.is_some() || step.gang;
            let is_stoppable = job.record.priority > 0
                && yields
                && !is_protected
                && !job.inherited
                && !task.preempted
                && task.runs.len() == 1
                && matches!(run.phase, Phase::Running { .. });
            let age_ms = now.steady_ms.saturating_sub(run.started_ms);
            let step_ms = job.objective.step_ms(usize::from(id.step.step));
            // A run that is soon done frees its worker about as soon as if it were stopped.
            let ends_soon = age_ms + self.settings.stop_ms >= step_ms;
            let lost_ms = if step.saves_progress { 0 } else { age_ms };
            (is_stoppable && !ends_soon).then_some(StoppableRun {
                key: (id, number),
                worker,
                taken,
                lost_core_ms: taken.cpu_millicores * lost_ms / 1000,
            })
        });
        stoppable.collect()
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
        let others = steps[usize::from(id.step.step)].started();
        let available = others.filter(|(index, task)| {
            let mut runs = task.runs.iter();
            *index != id.index && runs.any(|run| self.runs_at_full_speed(run, now))
        });
        let available = u32::try_from(available.count()).unwrap_or(u32::MAX);
        let unavailable = step.replicas.saturating_sub(1).saturating_sub(available);
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
