use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;

use super::action::IncarnationIndex;
use super::held_workers::HeldWorkers;
use super::held_workers::RoomSoon;
use super::held_workers::WAIT_MS;
use super::held_workers::fits_at_ms;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::scheduler_event::WorkerObstacles;
use super::worker_choice::has_label;
use super::worker_state::WorkerState;

/// Time for which a step that lasts waits for workers before this is logged, and interval
/// of the log lines. Callers notice after seconds.
const WAIT_LOG_MS: u64 = 1000;

impl PoolScheduler {
    /// Logs the step that waits longest for workers among those that last, with what
    /// keeps each worker from running one more of its tasks.
    pub(super) fn log_waiting_step(&mut self, now: Instant) {
        if now.steady_ms < self.wait_logged_ms + WAIT_LOG_MS {
            return;
        }
        let lasting = self.ready.iter().take_while(|(key, _)| !key.is_batch);
        let Some((key, ready)) = lasting.min_by_key(|(_, ready)| ready.since_ms) else {
            return;
        };
        let waited_ms = now.steady_ms.saturating_sub(ready.since_ms);
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        if waited_ms < WAIT_LOG_MS {
            return;
        }
        self.wait_logged_ms = now.steady_ms;
        let event = SchedulerEvent::StepWaits {
            step: key.step,
            tasks: ready.tasks.len(),
            need: ready.need,
            waited_ms,
            unplaceable: ready.unplaceable,
            waits_for_predecessor: job.inherited && !self.predecessor_incarnations.is_empty(),
            obstacles: self.obstacles(key.step, job.step(key.step.step), now),
        };
        self.events.push(event);
    }

    /// Holds workers for tasks that last and wait only because short tasks take the room
    /// that others leave, and releases those that are no longer needed.
    pub(super) fn hold_workers(&mut self, now: Instant) {
        let lasting = self.ready.first_key_value();
        let waits = lasting.is_some_and(|(key, _)| !key.is_batch);
        if self.held_workers.is_empty() && !waits {
            return;
        }
        let mut held = std::mem::take(&mut self.held_workers);
        let released = held.release(now.steady_ms, |incarnation, step| {
            self.step_may_start(step, now) && self.may_have_room(incarnation, step, now)
        });
        if waits && held.begin_choice(now.steady_ms) {
            self.choose_held_workers(&mut held, now);
        }
        self.held_workers = held;
        for incarnation in released {
            self.changed_workers.insert(incarnation);
            self.placement_needed = true;
        }
    }

    fn choose_held_workers(&self, held: &mut HeldWorkers, now: Instant) {
        let workers = self.incarnations.values();
        let usable = workers.filter(|worker| Self::is_usable(worker, now));
        let usable = usable.count();
        let lasting = self.ready.iter().take_while(|(key, _)| !key.is_batch);
        let lasting = lasting.filter(|(_, ready)| ready.since_ms + WAIT_MS <= now.steady_ms);
        for (key, ready) in lasting {
            let Some(job) = self.jobs.get(&key.step.job) else {
                continue;
            };
            let is_blocked = job.inherited && !self.predecessor_incarnations.is_empty();
            if is_blocked || job.stored_status.is_none() || job.step(key.step.step).gang {
                continue;
            }
            if !self.may_use(ready.tenant, ready.need, now) {
                continue;
            }
            let tasks = ready.tasks.iter();
            let tasks = tasks.filter(|&index| !self.is_withheld(key.step.task(index), now));
            let incarnations = self.incarnations.iter();
            let candidates = incarnations
                .filter(|(incarnation, _)| self.may_have_room(**incarnation, key.step, now));
            let rooms = candidates.filter_map(|(&incarnation, worker)| {
                let at_ms = self.has_room_at_ms(worker, ready.need, now)?;
                Some(RoomSoon { incarnation, at_ms })
            });
            held.hold(
                key.step,
                tasks.count(),
                rooms.collect(),
                usable,
                now.steady_ms,
            );
        }
    }

    /// Whether the limit of a step's tenant has room for one of its tasks that wait.
    fn step_may_start(&self, id: StepId, now: Instant) -> bool {
        let ready = self.ready_key(id).and_then(|key| self.ready.get(&key));
        ready.is_some_and(|ready| self.may_use(ready.tenant, ready.need, now))
    }

    /// Whether a task of a step that waits would fit a worker beside the tasks that last
    /// there.
    fn may_have_room(&self, incarnation: IncarnationIndex, id: StepId, now: Instant) -> bool {
        let waits = self
            .ready_key(id)
            .is_some_and(|key| self.ready.contains_key(&key));
        let job = self.jobs.get(&id.job);
        let worker = self.incarnations.get(&incarnation);
        let (true, Some(job), Some(worker)) = (waits, job, worker) else {
            return false;
        };
        let step = job.step(id.step);
        let needs_ticket = self.queue_rules(&job.record).advice.is_some();
        let beside = self.used_by_lasting(worker);
        worker.entry.capacity.fits(beside, step.reserved())
            && self.may_run(incarnation, worker, id, step, needs_ticket, now)
    }

    /// Returns when a task that needs this is expected to fit a worker.
    fn has_room_at_ms(&self, worker: &WorkerState, need: Resources, now: Instant) -> Option<u64> {
        let runs = worker.runs.iter();
        let short = runs.filter(|((task, _), _)| !self.is_long_running(*task));
        let ends = short.map(|(&(task, number), reservation)| {
            let job = self.jobs.get(&task.step.job);
            let expected_ms =
                job.map_or(0, |job| job.objective.step_ms(usize::from(task.step.step)));
            let run = job.and_then(|job| job.task(task)?.run(number));
            let started_ms = run.map_or(now.steady_ms, |run| run.started_ms);
            let ends_ms = started_ms + expected_ms;
            if ends_ms > now.steady_ms {
                (ends_ms, reservation.need)
            } else {
                // It lasts longer than expected.
                (now.steady_ms + expected_ms, reservation.need)
            }
        });
        fits_at_ms(worker.entry.capacity, worker.used, need, ends.collect())
    }

    /// Returns when held workers are to be checked again.
    pub(super) fn held_workers_due_ms(&self, now: Instant) -> Option<u64> {
        (!self.held_workers.is_empty()).then_some(now.steady_ms + WAIT_MS)
    }

    /// Counts the workers by what keeps them from running one more task of a step.
    fn obstacles(&self, id: StepId, step: &Step, now: Instant) -> WorkerObstacles {
        let mut obstacles = WorkerObstacles::default();
        for worker in self.incarnations.values() {
            let capacity = worker.entry.capacity;
            let limit = step.max_per_worker;
            let count = if !has_label(worker, step.required_label.as_deref()) {
                &mut obstacles.label
            } else if limit.is_some_and(|limit| worker.tasks_of(id) >= limit) {
                &mut obstacles.limit
            } else if !capacity.fits(self.used_by_lasting(worker), step.reserved()) {
                &mut obstacles.lasting_tasks
            } else if worker.vacating {
                &mut obstacles.vacating
            } else if !Self::is_usable(worker, now) {
                &mut obstacles.unusable
            } else if !capacity.fits(worker.used, step.reserved()) {
                &mut obstacles.short_tasks
            } else {
                &mut obstacles.none
            };
            *count += 1;
        }
        obstacles
    }

    /// Returns what the tasks that last reserve on a worker.
    pub(super) fn used_by_lasting(&self, worker: &WorkerState) -> Resources {
        let runs = worker.runs.iter();
        let lasting = runs.filter(|((task, _), _)| self.is_long_running(*task));
        lasting.fold(Resources::default(), |used, (_, run)| used.plus(run.need))
    }
}
