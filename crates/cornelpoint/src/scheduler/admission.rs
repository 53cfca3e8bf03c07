use crate::admission::Admission;
use crate::admission::JobOffer;
use crate::admission::PoolView;
use crate::admission::RefusalReason;
use crate::admission::Verdict;
use crate::admission::dominant_millicores;
use crate::job::JobId;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::Resources;
use crate::job::TaskId;

use super::instant::Instant;
use super::objective::Objective;
use super::pool_scheduler::PoolScheduler;

/// Time without a commit that succeeds, though one is tried, from which new jobs are
/// rejected: the store is down or slow, and a job would wait for longer than its caller
/// does.
const STALLED_COMMIT_MS: u64 = 600;
/// Time after which the caller of a job that can't be stored now may retry; outages of
/// the store usually last seconds.
const STALLED_RETRY_AFTER_MS: u64 = 2000;
/// Time after which the caller of a job that fits no known worker may retry.
const INFEASIBLE_RETRY_AFTER_MS: u64 = 30_000;
/// Time after which the caller of a job for which there is no memory may retry: accepted
/// jobs have to end first.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 5000;

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
        self.admission
            .learn_duration(&job.record.queue, step.estimate_ms, took_ms);
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
        self.admission.expected_ms(queue, estimate_ms)
    }

    /// Returns the objective of a job that was first submitted at `first_ms`.
    pub(super) fn objective(&self, record: &JobRecord, spec: &JobSpec, first_ms: u64) -> Objective {
        let steps = spec.steps.iter();
        let steps = steps.map(|step| self.expected_ms(&record.queue, step.estimate_ms));
        Objective::new(first_ms, &self.queue_rules(record), spec, steps.collect())
    }

    /// Decides whether a job is admitted.
    ///
    /// Scheduled and long-running jobs are always admitted if they fit a worker: a
    /// long-running job is useful whenever it starts. While the store is down, no job can
    /// be accepted, and callers are told so at once.
    pub(super) fn admit(
        &mut self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) -> Verdict {
        let refuse = |reason, retry_after_ms| Verdict::refuse(reason, retry_after_ms);
        if self.is_commit_stalled(now) {
            let verdict = refuse(RefusalReason::StoreStalled, STALLED_RETRY_AFTER_MS);
            return self.admission.record_verdict(verdict);
        }
        if !self.fits_some_worker(spec) || self.exceeds_tenant_limit(record, spec) {
            let verdict = refuse(RefusalReason::FitsNoWorker, INFEASIBLE_RETRY_AFTER_MS);
            return self.admission.record_verdict(verdict);
        }
        if !self.has_memory_of(spec.held_bytes()) {
            let verdict = refuse(RefusalReason::NoMemory, NO_MEMORY_RETRY_AFTER_MS);
            return self.admission.record_verdict(verdict);
        }
        if spec.is_long_running() || spec.schedule.is_some() {
            return Verdict::default();
        }
        let first_ms = self.admission.first_rejected_ms(id);
        let first_ms = first_ms.unwrap_or(now.steady_ms);
        let objective = self.objective(record, spec, first_ms);
        let view = self.recent_view(now);
        // Taken out so that the decision may ask the scheduler for idle room.
        let mut admission = std::mem::take(&mut self.admission);
        let offer = JobOffer {
            id,
            queue: &record.queue,
            tenant: record.tenant.as_deref(),
            priority: record.priority,
            work_core_ms: expected_work_core_ms(&admission, record, spec, None),
            dominant_core_ms: expected_work_core_ms(&admission, record, spec, Some(&view)),
            slack_ms: objective.slack_ms(spec),
            objective_ms: objective.due_ms() - first_ms,
        };
        let verdict = admission.decide(&offer, &view, now.steady_ms, || {
            self.has_idle_capacity(spec, now)
        });
        self.admission = admission;
        self.put_back_view(view);
        verdict
    }

    /// Whether the store is down or slow, as the commits tried show.
    fn is_commit_stalled(&self, now: Instant) -> bool {
        self.committing_since_ms
            .is_some_and(|since_ms| since_ms + STALLED_COMMIT_MS <= now.steady_ms)
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
    pub(super) fn expected_work_core_ms(&self, record: &JobRecord, spec: &JobSpec) -> u64 {
        expected_work_core_ms(&self.admission, record, spec, None)
    }

    /// Returns the CPU needed to keep up with the work that is being submitted,
    /// in thousandths of a core.
    pub(super) fn offered_millicores(&self, now: Instant) -> u64 {
        self.admission.offered_millicores(now.steady_ms)
    }

    /// Returns the last decision on a submitted job, for the log.
    #[must_use]
    pub fn last_verdict(&self) -> Option<&Verdict> {
        self.admission.last_verdict()
    }

    /// Returns the number of refused jobs whose callers were told when to return.
    #[must_use]
    pub fn promised_returns(&self) -> usize {
        self.admission.returns().len()
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

/// Returns the expected work of a job: its CPU, or with a pool the resource of which each
/// task takes the largest part, converted to CPU.
fn expected_work_core_ms(
    admission: &Admission,
    record: &JobRecord,
    spec: &JobSpec,
    view: Option<&PoolView>,
) -> u64 {
    let steps = spec.steps.iter();
    let short = steps.filter(|step| !step.fills && !step.long_running);
    let work = short.map(|step| {
        let need = step.resources;
        let cpu = view.map_or(need.cpu_millicores, |view| {
            dominant_millicores(need, view.capacity)
        });
        let cpu = u64::from(step.replicas).saturating_mul(cpu);
        cpu.saturating_mul(admission.expected_ms(&record.queue, step.estimate_ms)) / 1000
    });
    work.sum()
}
