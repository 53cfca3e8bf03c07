use std::collections::BTreeSet;

use crate::job::Step;
use crate::job::StepId;
use crate::job::TaskId;
use crate::speculation::CandidateRun;
use crate::speculation::ChosenCopy;
use crate::speculation::PoolView;
use crate::speculation::WorkerPace;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::task_entry::Run;
use super::worker_set::WorkerSet;
use super::worker_state::WorkerState;

/// Times at which runs are looked at are multiples of this, so that few ticks look at all.
const LOOK_INTERVAL_MS: u64 = 50;
/// Longest time until a run is looked at again: meanwhile, other tasks of its step may show
/// that it is late.
const MAX_LOOK_INTERVAL_MS: u64 = 250;
/// The same for runs of tasks without copies, from which only the pace of workers is
/// learned.
const OVERDUE_INTERVAL_MS: u64 = 500;
/// Largest number of runs that one tick looks at.
const MAX_LOOKS: usize = 256;

impl PoolScheduler {
    /// Chooses one of some workers for one more task of a step. A suspect takes the
    /// worker with the fewest runs, and none on which another suspect is being tried.
    pub(super) fn choose_worker(
        &self,
        id: StepId,
        step: &Step,
        among: &WorkerSet,
        needs_ticket: bool,
        suspect: bool,
        now: Instant,
    ) -> Option<IncarnationIndex> {
        let candidates = self.workers_among(among).filter(|&(incarnation, worker)| {
            !(suspect && worker.is_on_trial())
                && worker.entry.capacity.fits(worker.used, step.reserved())
                && self.may_run(incarnation, worker, id, step, needs_ticket, now)
        });
        let racks = self.used_racks(id, step);
        let best = candidates.max_by_key(|(incarnation, worker)| {
            let free = worker.entry.capacity.minus(worker.used).cpu_millicores;
            let on_preferred_rack = step
                .preferred_rack
                .as_deref()
                .is_none_or(|rack| has_label(worker, Some(rack)));
            let on_used_rack =
                racks.is_empty() || racks.iter().any(|rack| has_label(worker, Some(rack)));
            let warm = worker.entry.cold_remaining_ms == 0;
            let stays = !(step.long_running && worker.due);
            // Prefers the worker with the least free capacity that fits, since
            // empty workers can serve another pool at once.
            let fullness = u64::MAX - free;
            let fewest_at_risk = if suspect {
                usize::MAX - worker.runs.len()
            } else {
                0
            };
            (
                !worker.is_on_trial(),
                fewest_at_risk,
                !worker.is_last_choice(now),
                stays,
                on_preferred_rack,
                on_used_rack,
                warm,
                fullness,
                u32::MAX - *incarnation,
            )
        });
        best.map(|(incarnation, _)| incarnation)
    }

    /// Returns the workers of a set that still exist.
    pub(super) fn workers_among<'a>(
        &'a self,
        among: &'a WorkerSet,
    ) -> impl Iterator<Item = (IncarnationIndex, &'a WorkerState)> {
        let (all, some) = match among {
            WorkerSet::All => (Some(&self.incarnations), None),
            WorkerSet::Some(incarnations) => (None, Some(incarnations)),
        };
        let all = all.into_iter().flatten();
        let all = all.map(|(&incarnation, worker)| (incarnation, worker));
        let some = some
            .into_iter()
            .flatten()
            .filter_map(|&incarnation| Some((incarnation, self.incarnations.get(&incarnation)?)));
        all.chain(some)
    }

    /// Whether a worker may run one more task of a step, regardless of its room.
    pub(super) fn may_run(
        &self,
        incarnation: IncarnationIndex,
        worker: &WorkerState,
        id: StepId,
        step: &Step,
        needs_ticket: bool,
        now: Instant,
    ) -> bool {
        Self::is_usable(worker, now)
            && !self.held_workers.keeps_out(incarnation, id)
            && step
                .max_per_worker
                .is_none_or(|limit| worker.tasks_of(id) < limit)
            && has_label(worker, step.required_label.as_deref())
            && (!needs_ticket
                || self
                    .tickets
                    .get(&id)
                    .is_some_and(|issued| issued.by_incarnation.contains_key(&incarnation)))
    }

    /// Whether there is room for a number of tasks of a step at once.
    pub(super) fn has_room_for(
        &self,
        id: StepId,
        step: &Step,
        tasks: usize,
        needs_ticket: bool,
        now: Instant,
    ) -> bool {
        let need = step.reserved();
        let mut left = u64::try_from(tasks).unwrap_or(u64::MAX);
        for (&incarnation, worker) in &self.incarnations {
            if left == 0 {
                break;
            }
            if !self.may_run(incarnation, worker, id, step, needs_ticket, now) {
                continue;
            }
            let free_places = step
                .max_per_worker
                .map_or(u64::MAX, |limit| u64::from(limit - worker.tasks_of(id)));
            let fitting = worker.entry.capacity.count_fitting(worker.used, need);
            left = left.saturating_sub(fitting.min(free_places));
        }
        left == 0
    }

    /// Looks at a run once it may be late, if its task may have a copy, or once its
    /// worker may be slow.
    pub(super) fn watch_run(&mut self, task: TaskId, run: u64, now: Instant) {
        let Some(profile) = self.profile(task.step) else {
            return;
        };
        if self.allows_copies(task.step) {
            // Later ends of other tasks may show that the estimate is too high.
            self.look_after(task, run, profile.expected_ms / 2, now);
        } else {
            let at_ms = now.steady_ms + 2 * profile.expected_ms;
            let at_ms = at_ms.next_multiple_of(OVERDUE_INTERVAL_MS);
            self.copies.watch(task, run, at_ms);
        }
    }

    fn allows_copies(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        job.is_some_and(|job| job.step(id.step).allows_copies())
    }

    /// Looks at a run again unless nothing more is to be learned from it.
    fn look_again(&mut self, task: TaskId, run: u64, until_late_ms: u64, now: Instant) {
        if self.allows_copies(task.step) {
            self.look_after(task, run, until_late_ms, now);
        } else if self.known_run(task, run).is_some_and(|run| !run.overdue) {
            let at_ms = now.steady_ms + OVERDUE_INTERVAL_MS;
            let at_ms = at_ms.next_multiple_of(OVERDUE_INTERVAL_MS);
            self.copies.watch(task, run, at_ms);
        }
    }

    fn look_after(&mut self, task: TaskId, run: u64, delay_ms: u64, now: Instant) {
        let delay_ms = delay_ms.clamp(LOOK_INTERVAL_MS, MAX_LOOK_INTERVAL_MS);
        let at_ms = (now.steady_ms + delay_ms).next_multiple_of(LOOK_INTERVAL_MS);
        self.copies.watch(task, run, at_ms);
    }

    fn known_run(&self, task: TaskId, run: u64) -> Option<&Run> {
        let job = self.jobs.get(&task.step.job)?;
        job.task(task)?.run(run)
    }

    /// Counts a run against its worker that lasts much longer than usual: a worker that
    /// hangs ends none of its runs.
    fn note_overdue(&mut self, task: TaskId, number: u64, ratio: Option<f64>, now: Instant) {
        if !ratio.is_some_and(WorkerPace::is_slow_ratio) {
            return;
        }
        let job = self.jobs.get_mut(&task.step.job);
        let run = job.and_then(|job| job.task_mut(task)?.run_mut(number));
        let Some(run) = run.filter(|run| !run.overdue) else {
            return;
        };
        run.overdue = true;
        if let Some(worker) = self.incarnations.get_mut(&run.incarnation) {
            worker.pace.record_slow(now.steady_ms);
        }
    }

    /// Returns when a run is to be looked at that may be late.
    pub(super) fn late_run_due_ms(&self, now: Instant) -> Option<u64> {
        let due_ms = self.copies.due_ms()?;
        // Looks may be overdue while no leases may be granted.
        Some(due_ms.max(now.steady_ms + LOOK_INTERVAL_MS))
    }

    /// Starts copies of late runs in room that no step waits for.
    pub(super) fn copy_late_runs(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        let steps_wait = !self.ready.is_empty();
        for _ in 0..MAX_LOOKS {
            let Some((task, number)) = self.copies.take_due(now.steady_ms) else {
                break;
            };
            let job = self.jobs.get(&task.step.job);
            let job = job.filter(|job| !job.status.is_final());
            let entry = job.and_then(|job| job.task(task));
            let entry = entry.filter(|entry| !entry.done);
            let Some(run) = entry.and_then(|entry| entry.run(number)) else {
                continue;
            };
            let age_ms = now.steady_ms.saturating_sub(run.started_ms);
            let Some(profile) = self.profile(task.step) else {
                continue;
            };
            let ratio = self.learned.ratio_to_usual(&profile, age_ms);
            self.note_overdue(task, number, ratio, now);
            let late_ms = self.learned.late_ms(&profile);
            let late_ms = late_ms.unwrap_or(u64::MAX);
            self.look_again(task, number, late_ms.saturating_sub(age_ms), now);
            if age_ms <= late_ms || steps_wait || !self.may_be_copied(task, now) {
                continue;
            }
            candidates.push(CandidateRun {
                task,
                run: number,
                profile,
                age_ms,
                rest_ms: self.rest_ms(task, now),
                cpu_millicores: self.cpu_millicores(task.step),
                in_time: self.may_be_in_time(task, now),
            });
        }
        if candidates.is_empty() {
            return;
        }
        let view = PoolView {
            candidates,
            steps_wait,
            capacity_millicores: self.usable_capacity(now).cpu_millicores,
            copies: self.copies.count(),
            copies_millicores: self.copies.millicores(),
            most_copies: self.copies.most_copies(now.steady_ms),
        };
        for copied in self.learned.choose_copies(&view) {
            self.start_copy(copied, now);
        }
    }

    /// Whether a task may get a copy, however late it is: it has a single run, which is
    /// active, and no run of it has failed or may have crashed a worker. The failure of a
    /// copy must not use up the last attempt.
    fn may_be_copied(&self, id: TaskId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return false;
        };
        // A worker that has not reported to this owner may run a copy.
        let is_blocked = job.inherited && !self.predecessor_incarnations.is_empty();
        let is_single = job.task(id).is_some_and(|task| {
            task.failed_runs.is_empty() && task.runs.len() == 1 && task.runs[0].is_confirmed()
        });
        job.step(id.step.step).allows_copies()
            && is_single
            && !self.copies.has_copy(id)
            && !is_blocked
            && self.queue_rules(&job.record).max_attempts > 1
            && !self.is_suspect(id)
            && !self.is_withheld(id, now)
    }

    /// Returns the longest time that other tasks are expected to take which open the next
    /// step, or end the occurrence, together with this one. Those that are late as well
    /// don't count: they may get a copy.
    fn rest_ms(&self, id: TaskId, now: Instant) -> u64 {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return 0;
        };
        let Some(steps) = job.occurrences.get(&id.step.occurrence) else {
            return 0;
        };
        let opens_another = job
            .spec
            .steps
            .iter()
            .any(|step| step.after.contains(&id.step.step));
        let steps = steps.iter().enumerate().filter(|(step_index, step)| {
            let is_same = *step_index == usize::from(id.step.step);
            step.open && (is_same || !opens_another)
        });
        let left = steps.flat_map(|(step_index, step)| {
            let expected_ms = job.objective.step_ms(step_index);
            let is_same = step_index == usize::from(id.step.step);
            let tasks = step.started();
            let others = tasks.filter(move |(index, task)| {
                let is_task = is_same && *index == id.index;
                !task.done && !is_task
            });
            let started = others.filter_map(move |(_, task)| {
                let started_ms = task.runs.iter().map(|run| run.started_ms).min()?;
                Some(expected_ms.saturating_sub(now.steady_ms.saturating_sub(started_ms)))
            });
            let waits = step.has_other_idle(id.index, is_same);
            started.chain(waits.then_some(expected_ms))
        });
        left.max().unwrap_or(0)
    }

    fn may_be_in_time(&self, id: TaskId, now: Instant) -> bool {
        let step_index = usize::from(id.step.step);
        let job = self.jobs.get(&id.step.job);
        job.is_some_and(|job| job.latest_start_ms(id.step.occurrence, step_index) >= now.steady_ms)
    }

    fn cpu_millicores(&self, id: StepId) -> u64 {
        let job = self.jobs.get(&id.job);
        job.map_or(0, |job| job.step(id.step).reserved().cpu_millicores)
    }

    /// Starts a copy on another worker and rack, if one of them has room.
    fn start_copy(&mut self, copied: ChosenCopy, now: Instant) {
        let id = copied.task;
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let needs_ticket = self.queue_rules(&job.record).advice.is_some();
        if (needs_ticket && !self.has_tickets(id.step, now)) || self.starts_limited {
            return;
        }
        let step = job.step(id.step.step).clone();
        let tenant = job.tenant;
        let Some(late) = job.task(id).and_then(|task| task.run(copied.run)).copied() else {
            return;
        };
        if !self.may_use(tenant, step.reserved(), now) {
            return;
        }
        let elsewhere = self.workers_elsewhere(&late, &step, now);
        let chosen = self.choose_worker(id.step, &step, &elsewhere, needs_ticket, false, now);
        let Some(incarnation) = chosen else {
            return;
        };
        let run = self.next_run_of(id);
        self.start(id, &step, incarnation, run, now);
        let worker = self.incarnations.get(&incarnation);
        let Some(worker) = worker.filter(|worker| worker.runs.contains_key(&(id, run))) else {
            return;
        };
        let late_worker = self.incarnations.get(&late.incarnation);
        self.events.push(SchedulerEvent::CopyStarted {
            copied,
            run,
            worker: worker.entry.id.clone(),
            late_worker: late_worker.map_or_else(String::new, |worker| worker.entry.id.clone()),
        });
        self.copies.add(id, run, step.reserved().cpu_millicores);
        self.copies.copy_started(now.steady_ms);
    }

    /// Returns the workers that are not slow and share no rack with the worker of a run. A
    /// label that the step requires is common to all workers that may run it.
    fn workers_elsewhere(&self, run: &Run, step: &Step, now: Instant) -> WorkerSet {
        let late = self.incarnations.get(&run.incarnation);
        let elsewhere = self.incarnations.iter().filter(|(incarnation, worker)| {
            let racks = late.into_iter().flat_map(WorkerState::racks);
            let mut racks = racks.filter(|rack| step.required_label.as_deref() != Some(*rack));
            **incarnation != run.incarnation
                && !worker.is_last_choice(now)
                && racks.all(|rack| !has_label(worker, Some(rack)))
        });
        WorkerSet::Some(elsewhere.map(|(&incarnation, _)| incarnation).collect())
    }

    /// Returns the racks in use by a step that has to stay on a single rack.
    fn used_racks(&self, id: StepId, step: &Step) -> BTreeSet<String> {
        if !step.same_rack {
            return BTreeSet::new();
        }
        let used = self
            .incarnations
            .values()
            .filter(|worker| worker.tasks_of(id) > 0);
        used.flat_map(|worker| worker.racks().map(str::to_owned))
            .collect()
    }
}

impl WorkerState {
    /// Whether the worker gets tasks only if no other one has room.
    fn is_last_choice(&self, now: Instant) -> bool {
        self.pace.is_last_choice(self.runs.len(), now.steady_ms)
    }
}

pub(super) fn has_label(worker: &WorkerState, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.entry.labels.iter().any(|own| own == label))
}
