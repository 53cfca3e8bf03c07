use crate::fleet::PoolReport;
use crate::job::JobId;

use super::admission::REJECTED_DEMAND_WINDOW_MS;
use super::instant::Instant;
use super::job_entry::JobEntry;
use super::pool_scheduler::PoolScheduler;

/// Age up to which a load is used to admit jobs. In a surge hundreds of jobs a second
/// are submitted, and each computation walks over all active jobs.
const MAX_LOAD_AGE_MS: u64 = 20;

/// Load of a pool, for operators and for moving machines between pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// CPU capacity of usable workers, in thousandths of a core.
    pub capacity_millicores: u64,
    /// CPU that long-running tasks request, in thousandths of a core.
    pub lasting_millicores: u64,
    /// Estimated work that is accepted and not done, in core-milliseconds, of
    /// jobs that can still meet their objective.
    pub backlog_core_ms: u64,
    /// The same for jobs that miss their objective; such work only gets
    /// capacity that no other job needs.
    pub late_core_ms: u64,
}

impl Load {
    /// Returns the time that the accepted work takes at full utilization, late
    /// work excepted.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        let free = self
            .capacity_millicores
            .saturating_sub(self.lasting_millicores);
        self.backlog_core_ms * 1000 / free.max(1)
    }

    /// Adds the work of a job that is not final.
    fn add(&mut self, job: &JobEntry, now: Instant) {
        let mut work = 0;
        for steps in job.occurrences.values() {
            for (step_index, (entry, step)) in steps.iter().zip(&job.spec.steps).enumerate() {
                if step.fills {
                    continue;
                }
                let cpu = u64::from(entry.remaining) * step.resources.cpu_millicores;
                if step.long_running {
                    self.lasting_millicores += cpu;
                } else {
                    work += cpu * job.objective.step_ms(step_index) / 1000;
                }
            }
        }
        if job.misses_objective(now.steady_ms) {
            self.late_core_ms += work;
        } else {
            self.backlog_core_ms += work;
        }
    }
}

impl PoolScheduler {
    /// Returns the current load of the pool.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let mut load = Load {
            capacity_millicores: self.usable_millicores(now),
            ..Load::default()
        };
        for job in self.active() {
            load.add(job, now);
        }
        load
    }

    /// Returns the load for the admission of a job: a recent one, to which the jobs
    /// admitted since are added.
    pub fn recent_load(&mut self, now: Instant) -> Load {
        if let Some((at_ms, load)) = self.recent_load
            && now.steady_ms < at_ms + MAX_LOAD_AGE_MS
        {
            return load;
        }
        let load = self.load(now);
        self.recent_load = Some((now.steady_ms, load));
        load
    }

    /// Adds a job to the recent load.
    pub(super) fn add_to_recent_load(&mut self, id: JobId, now: Instant) {
        if let Some((_, load)) = &mut self.recent_load
            && let Some(job) = self.jobs.get(&id)
        {
            load.add(job, now);
        }
    }

    /// Whether the rate of offered work exceeds the capacity of the usable
    /// workers.
    #[must_use]
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.offered_millicores(now) > self.usable_millicores(now)
    }

    pub(super) fn usable_millicores(&self, now: Instant) -> u64 {
        let usable = self
            .incarnations
            .values()
            .filter(|worker| Self::is_usable(worker, now));
        usable
            .map(|worker| worker.entry.capacity.cpu_millicores)
            .sum()
    }

    /// Returns the pool's report to the owner of the fleet.
    #[must_use]
    pub fn report(&self, now: Instant) -> PoolReport {
        let load = self.load(now);
        let rejected = self.load_estimate.rejected.iter();
        let recent =
            rejected.filter(|(at_ms, _, _)| at_ms + REJECTED_DEMAND_WINDOW_MS > now.steady_ms);
        let usable = self
            .incarnations
            .values()
            .filter(|worker| Self::is_usable(worker, now));
        PoolReport {
            capacity_millicores: load.capacity_millicores,
            lasting_millicores: load.lasting_millicores,
            backlog_core_ms: load.backlog_core_ms,
            late_core_ms: load.late_core_ms,
            offered_millicores: self.offered_millicores(now),
            refused_core_ms: recent.map(|(_, _, work)| work).sum(),
            least_workers: self.least_workers().max(self.least_workers_lately(now)),
            workers: u32::try_from(usable.count()).unwrap_or(u32::MAX),
            vacated: self.vacated(),
            cheapest: self.cheapest(now),
        }
    }
}
