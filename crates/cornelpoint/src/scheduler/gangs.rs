use crate::job::Step;
use crate::job::StepId;
use crate::job::TaskId;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::placement::ReadyKey;
use super::pool_scheduler::PoolScheduler;
use super::ready_step::PlacementPass;
use super::worker_set::WorkerSet;
use super::worker_state::Reservation;

impl PoolScheduler {
    /// Places all tasks of a gang under one run number, or none of them.
    pub(super) fn place_gang(
        &mut self,
        key: ReadyKey,
        step: &Step,
        indexes: &[u32],
        needs_ticket: bool,
        pass: &mut PlacementPass,
        now: Instant,
    ) {
        if indexes.len() < step.replicas as usize {
            // Some members of the previous run have not ended yet.
            return;
        }
        if !self.has_room_for(key.step, step, indexes.len(), needs_ticket, now) {
            self.mark_unplaceable(key);
            return;
        }
        if !self.tenant_has_room(key, step.reserved(), indexes.len(), pass, now) {
            return;
        }
        let tenant = self.jobs.get(&key.step.job).and_then(|job| job.tenant);
        let reservation = Reservation {
            need: step.reserved(),
            tenant,
            lasts: step.long_running,
        };
        let runs = indexes
            .iter()
            .map(|&index| self.next_run_of(key.step.task(index)));
        let run = runs.max().unwrap_or(1);
        let mut taken: Vec<(IncarnationIndex, TaskId)> = Vec::new();
        for &index in indexes {
            let task = key.step.task(index);
            // Waiting for a worker of its own for each member could last for ever.
            let suspect = false;
            let all = WorkerSet::All;
            let chosen = self.choose_worker(key.step, step, &all, needs_ticket, suspect, now);
            let Some(incarnation) = chosen else {
                for (incarnation, task) in taken {
                    self.release_run(incarnation, task, run);
                }
                return;
            };
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.reserve(task, run, reservation, &mut self.tenant_use);
            }
            taken.push((incarnation, task));
        }
        let checkpoint = self.gang_checkpoint(key.step, indexes);
        for (incarnation, task) in taken {
            if let Some(entry) = self
                .jobs
                .get_mut(&task.step.job)
                .and_then(|job| job.task_mut(task))
            {
                entry.checkpoint.clone_from(&checkpoint);
            }
            self.start(task, step, incarnation, run, now);
        }
    }

    fn gang_checkpoint(&self, step: StepId, indexes: &[u32]) -> String {
        let job = self.jobs.get(&step.job);
        let tasks = indexes
            .iter()
            .filter_map(|&index| job?.task(step.task(index)));
        let newest = tasks
            .filter(|task| !task.checkpoint.is_empty())
            .max_by_key(|task| task.last_run);
        newest
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default()
    }
}
