use std::collections::BTreeMap;

use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;

use super::instant::Instant;
use super::places::Places;
use super::pool_scheduler::PoolScheduler;

/// Interval at which the workers that a pool lacks are counted: a fraction of the time
/// in which a machine arrives.
const CHECK_INTERVAL_MS: u64 = 250;
/// How long a pool keeps the workers that it lacked, as long as it keeps a surplus. It
/// would give them away again at once, since its tasks that last are placed then.
const HOLD_MS: u64 = 6000;

/// Minimum number of workers, by what a pool has lacked for its tasks that last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LackingWorkers {
    checked_ms: u64,
    least: u32,
    until_ms: u64,
}

/// A worker that the pool lacks, with the tasks that it would take.
#[derive(Debug, Default)]
struct LackedWorker {
    used: Resources,
    tasks_of_step: BTreeMap<StepId, u32>,
}

impl LackedWorker {
    fn claim(&mut self, capacity: Resources, id: StepId, step: &Step) -> bool {
        let tasks = self.tasks_of_step.entry(id).or_default();
        let fits = step.max_per_worker.is_none_or(|limit| *tasks < limit)
            && capacity.fits(self.used, step.reserved());
        if fits {
            *tasks += 1;
            self.used = self.used.plus(step.reserved());
        }
        fits
    }
}

impl PoolScheduler {
    /// Notes how many workers the pool lacks for the tasks that last and wait, or are on
    /// workers that leave.
    pub(super) fn check_lacking_workers(&mut self, now: Instant) {
        if now.steady_ms < self.lacking_workers.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.lacking_workers.checked_ms = now.steady_ms;
        // Tasks whose worker has not reported yet seem to wait.
        if !self.predecessor_incarnations.is_empty() {
            return;
        }
        let lacking = self.count_lacking_workers();
        if lacking == 0 {
            return;
        }
        let usable = self.incarnations.values();
        let usable = usable.filter(|worker| Self::is_usable(worker, now)).count();
        // One more, to which tasks can move, as with each step's own limit.
        let least = u32::try_from(usable + 1 + lacking).unwrap_or(u32::MAX);
        let known = &mut self.lacking_workers;
        if known.until_ms <= now.steady_ms {
            known.least = 0;
        }
        known.least = known.least.max(least);
        known.until_ms = now.steady_ms + HOLD_MS;
    }

    /// Returns the smallest number of workers that has room for all tasks that last, as
    /// far as the pool has lacked any lately.
    pub(super) fn least_workers_lately(&self, now: Instant) -> u32 {
        let known = self.lacking_workers;
        if known.until_ms > now.steady_ms {
            known.least
        } else {
            0
        }
    }

    fn count_lacking_workers(&self) -> usize {
        let mut tasks = self.lasting_runs_that_leave().map(|(task, _)| task);
        let mut tasks = tasks
            .by_ref()
            .chain(self.waiting_lasting_tasks())
            .peekable();
        if tasks.peek().is_none() {
            return 0;
        }
        let capacity = self.largest_capacity();
        let mut places: Places = self.places_beside_lasting();
        let mut lacked: Vec<LackedWorker> = Vec::new();
        for task in tasks {
            let id = task.step;
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let step = job.step(id.step);
            if self.claim_place(&mut places, id) {
                continue;
            }
            // Whether another worker has the label isn't known.
            let helps = step.required_label.is_none()
                && capacity.fits(Resources::default(), step.reserved());
            if helps
                && !lacked
                    .iter_mut()
                    .any(|worker| worker.claim(capacity, id, step))
            {
                let mut worker = LackedWorker::default();
                worker.claim(capacity, id, step);
                lacked.push(worker);
            }
        }
        lacked.len()
    }

    fn largest_capacity(&self) -> Resources {
        let workers = self.incarnations.values();
        let capacities = workers.map(|worker| worker.entry.capacity);
        capacities.fold(Resources::default(), |largest, capacity| Resources {
            cpu_millicores: largest.cpu_millicores.max(capacity.cpu_millicores),
            memory_mb: largest.memory_mb.max(capacity.memory_mb),
            accelerators: largest.accelerators.max(capacity.accelerators),
        })
    }
}
