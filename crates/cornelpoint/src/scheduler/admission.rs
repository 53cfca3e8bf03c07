use std::collections::HashMap;
use std::collections::VecDeque;

use crate::job::JobId;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::Resources;
use crate::job::TaskId;

use super::duration_model::DurationModel;
use super::instant::Instant;
use super::objective::Objective;
use super::pool_scheduler::PoolScheduler;

/// Longest wait for earlier work at the current capacity, in percent of a job's
/// slack. It may exceed the slack because machines of other pools join within
/// three seconds.
const MAX_WAIT_PERCENT_OF_SLACK: u64 = 220;
/// Shortest time after which a rejected caller may retry.
const MIN_RETRY_AFTER_MS: u64 = 1000;
/// Longest time after which a rejected caller may retry: a surge passes within
/// seconds.
const MAX_RETRY_AFTER_MS: u64 = 8000;
/// Time for which rejected work counts as demand.
pub(super) const REJECTED_DEMAND_WINDOW_MS: u64 = 1500;
/// Window over which the rate of offered work is measured. It is short because
/// a surge begins abruptly and each 100 ms counts.
const OFFERED_WINDOW_MS: u64 = 500;
/// Largest number of rejections that are kept.
const MAX_REJECTIONS: usize = 512;
/// Time for which a rejection is kept, so that a retry is recognized as such.
const REJECTION_RETENTION_MS: u64 = 10_000;
/// Capacity assumed while a pool has no usable worker.
const ASSUMED_CAPACITY_MILLICORES: u64 = 64_000;
/// Time without a commit that succeeds, though one is tried, from which new jobs are
/// rejected: the store is down or slow, and a job would wait for longer than its caller
/// does.
const STALLED_COMMIT_MS: u64 = 600;
/// Time after which the caller of a job that can't be stored now may retry; outages of
/// the store usually last seconds.
const STALLED_RETRY_AFTER_MS: u64 = 2000;
/// Time after which the caller of a job that fits no known worker may retry.
const INFEASIBLE_RETRY_AFTER_MS: u64 = 30_000;

/// Learned task durations and recent demand.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Model of task durations by queue.
    duration_of_queue: HashMap<String, DurationModel>,
    /// Work submitted within the last window: time in milliseconds, work in
    /// core-milliseconds.
    offered: VecDeque<(u64, u64)>,
    /// Rejected work: time in milliseconds, job, work in core-milliseconds.
    /// Holds only the first attempt of each job.
    pub(super) rejected: VecDeque<(u64, JobId, u64)>,
}

impl PoolScheduler {
    /// Records how long a task took, which may change its job's objective.
    pub(super) fn learn_duration(&mut self, task: TaskId, took_ms: u64) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let step = job.step(task.step.step);
        if step.long_running {
            return;
        }
        let models = &mut self.load_estimate.duration_of_queue;
        let model = models.entry(job.record.queue.clone()).or_default();
        model.learn(step.estimate_ms, took_ms);
        let step_index = usize::from(task.step.step);
        if job.objective.changes_estimate(step_index, took_ms) {
            self.update_objective(task.step.job, step_index, took_ms);
        }
    }

    /// Updates a job's objective with a measured step duration, and with it the
    /// order of the job's waiting tasks.
    fn update_objective(&mut self, id: JobId, step: usize, took_ms: u64) {
        let waiting = self.take_ready_of_job(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.objective.record_measurement(&job.spec, step, took_ms);
        }
        for (step, ready) in waiting {
            if let Some(key) = self.ready_key(step) {
                self.ready.insert(key, ready);
            }
        }
    }

    /// Returns the expected duration of a task, given the caller's estimate.
    pub(super) fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let model = self.load_estimate.duration_of_queue.get(queue);
        model.map_or(estimate_ms, |model| model.expected_ms(estimate_ms))
    }

    /// Returns the objective of a job that was first submitted at `first_ms`.
    pub(super) fn objective(&self, record: &JobRecord, spec: &JobSpec, first_ms: u64) -> Objective {
        let steps = spec.steps.iter();
        let steps = steps.map(|step| self.expected_ms(&record.queue, step.estimate_ms));
        Objective::new(first_ms, &self.queue_rules(record), spec, steps.collect())
    }

    /// Returns `None` to admit a job, or the time after which its caller may
    /// retry.
    ///
    /// A surge offers several times the capacity of a pool. A job accepted
    /// beyond its objective is of no use and delays all later ones, so a job is
    /// admitted only while the accepted work leaves time for its own critical
    /// path. Scheduled and long-running jobs are always admitted if they fit a
    /// worker: a long-running job is useful whenever it starts. While the store is
    /// down, no job can be accepted, and callers are told so at once.
    pub(super) fn rejection_retry_after_ms(
        &mut self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) -> Option<u64> {
        if self.is_commit_stalled(now) {
            return Some(STALLED_RETRY_AFTER_MS);
        }
        if !self.fits_some_worker(spec) || self.exceeds_tenant_limit(record, spec) {
            return Some(INFEASIBLE_RETRY_AFTER_MS);
        }
        if spec.is_long_running() || spec.schedule.is_some() {
            return None;
        }
        let mut load = self.recent_load(now);
        if load.capacity_millicores == 0 {
            // Machines are already being moved to a pool that has none.
            load.capacity_millicores = ASSUMED_CAPACITY_MILLICORES;
        }
        let first_ms = self.first_rejected_ms(id).unwrap_or(now.steady_ms);
        let objective = self.objective(record, spec, first_ms);
        let elapsed_ms = now.steady_ms - first_ms;
        let slack_ms = objective.slack_ms(spec).saturating_sub(elapsed_ms);
        let wait_ms = load.wait_ms();
        let allowed_ms = slack_ms * MAX_WAIT_PERCENT_OF_SLACK / 100;
        // A retry that is too late for the job's objective only gets capacity
        // that no other job needs.
        let in_time = slack_ms > 0 && wait_ms <= allowed_ms;
        if in_time || self.has_idle_capacity(spec, now) {
            return None;
        }
        let retry_ms = wait_ms.saturating_sub(allowed_ms);
        Some(retry_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
    }

    /// Whether the store is down or slow, as the commits tried show.
    fn is_commit_stalled(&self, now: Instant) -> bool {
        self.committing_since_ms
            .is_some_and(|since_ms| since_ms + STALLED_COMMIT_MS <= now.steady_ms)
    }

    /// Returns when a job was first rejected, if that is still on record.
    pub(super) fn first_rejected_ms(&self, id: JobId) -> Option<u64> {
        let mut rejected = self.load_estimate.rejected.iter();
        let (at_ms, _, _) = rejected.find(|(_, known, _)| *known == id)?;
        Some(*at_ms)
    }

    /// Whether all tasks of a job's first steps fit now, beside all tasks that
    /// already wait.
    fn has_idle_capacity(&self, spec: &JobSpec, now: Instant) -> bool {
        let first = spec.steps.iter().filter(|step| step.after.is_empty());
        let mut unplaced: Vec<(u32, Resources)> =
            first.map(|step| (step.replicas, step.reserved())).collect();
        let mut waiting_millicores = self.waiting_millicores();
        for worker in self.incarnations.values() {
            if !Self::is_usable(worker, now) {
                continue;
            }
            let mut used = worker.used;
            let free = worker.entry.capacity.minus(used).cpu_millicores;
            let taken = free.min(waiting_millicores);
            waiting_millicores -= taken;
            used.cpu_millicores += taken;
            for (left, need) in &mut unplaced {
                while *left > 0 && worker.entry.capacity.fits(used, *need) {
                    used = used.plus(*need);
                    *left -= 1;
                }
            }
        }
        unplaced.iter().all(|(left, _)| *left == 0)
    }

    /// Returns the CPU that waiting tasks request.
    fn waiting_millicores(&self) -> u64 {
        let waiting = self.ready.values();
        let waiting = waiting.map(|step| step.need.cpu_millicores * step.tasks.len() as u64);
        waiting.sum()
    }

    /// Returns the expected work of a job, in core-milliseconds.
    fn expected_work_core_ms(&self, record: &JobRecord, spec: &JobSpec) -> u64 {
        let steps = spec.steps.iter();
        let short = steps.filter(|step| !step.fills && !step.long_running);
        let work = short.map(|step| {
            let cpu = u64::from(step.replicas) * step.resources.cpu_millicores;
            cpu * self.expected_ms(&record.queue, step.estimate_ms) / 1000
        });
        work.sum()
    }

    /// Records the work of a job that is submitted for the first time.
    pub(super) fn record_offered(
        &mut self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) {
        if spec.schedule.is_some() || self.first_rejected_ms(id).is_some() {
            return;
        }
        let work = self.expected_work_core_ms(record, spec);
        let offered = &mut self.load_estimate.offered;
        offered.push_back((now.steady_ms, work));
        while offered
            .front()
            .is_some_and(|(at_ms, _)| at_ms + OFFERED_WINDOW_MS <= now.steady_ms)
        {
            offered.pop_front();
        }
    }

    /// Returns the CPU needed to keep up with the work that is being submitted,
    /// in thousandths of a core.
    pub(super) fn offered_millicores(&self, now: Instant) -> u64 {
        let offered = self.load_estimate.offered.iter();
        let recent = offered.filter(|(at_ms, _)| at_ms + OFFERED_WINDOW_MS > now.steady_ms);
        recent.map(|(_, work)| work).sum::<u64>() * 1000 / OFFERED_WINDOW_MS
    }

    /// Records rejected work, which shows how much more capacity the pool could
    /// use.
    pub(super) fn record_rejected(
        &mut self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) {
        let work = self.expected_work_core_ms(record, spec);
        let rejected = &mut self.load_estimate.rejected;
        if rejected.iter().any(|(_, known, _)| *known == id) {
            return;
        }
        rejected.push_back((now.steady_ms, id, work));
        while rejected.len() > MAX_REJECTIONS
            || rejected
                .front()
                .is_some_and(|(at_ms, _, _)| at_ms + REJECTION_RETENTION_MS <= now.steady_ms)
        {
            rejected.pop_front();
        }
    }

    /// Returns the smallest number of workers that satisfies each step's limit
    /// of tasks per worker, with one more for a task that has to move.
    pub(super) fn least_workers(&self) -> u32 {
        let steps = self.active().flat_map(|job| job.spec.steps.iter());
        let workers_needed = steps.map(|step| match step.max_per_worker {
            Some(limit) => step.replicas.div_ceil(limit.max(1)) + 1,
            None => 1,
        });
        workers_needed.max().unwrap_or(1)
    }

    /// Whether a task, or a gang as a whole, exceeds the limit of the job's tenant by
    /// itself.
    fn exceeds_tenant_limit(&self, record: &JobRecord, spec: &JobSpec) -> bool {
        let (Some(quota), Some(tenant)) = (&self.quota, &record.tenant) else {
            return false;
        };
        spec.steps.iter().any(|step| {
            let tasks = if step.gang { step.replicas } else { 1 };
            let need = step.reserved().times(u64::from(tasks));
            !quota.could_ever_run(tenant, need)
        })
    }

    /// Whether each task by itself fits some known worker.
    fn fits_some_worker(&self, spec: &JobSpec) -> bool {
        if self.incarnations.is_empty() {
            return true;
        }
        spec.steps.iter().all(|step| {
            self.incarnations.values().any(|worker| {
                worker
                    .entry
                    .capacity
                    .fits(Resources::default(), step.reserved())
            })
        })
    }
}
