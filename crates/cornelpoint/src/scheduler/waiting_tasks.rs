use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;

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
