use crate::admission::PoolView;
use crate::admission::TenantBacklog;
use crate::admission::dominant_millicores;
use crate::fleet::PoolReport;
use crate::job::JobId;
use crate::job::Resources;

use super::instant::Instant;
use super::job_entry::JobEntry;
use super::pool_scheduler::PoolScheduler;
use super::worker_state::Contact;

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
}

impl From<&PoolView> for Load {
    fn from(view: &PoolView) -> Self {
        Self {
            capacity_millicores: view.capacity.cpu_millicores,
            lasting_millicores: view.lasting_millicores,
            backlog_core_ms: view.backlog_core_ms,
            late_core_ms: view.late_core_ms,
        }
    }
}

/// Adds the work of a job that is not final.
fn add_job(view: &mut PoolView, job: &JobEntry, has_tenants: bool, now: Instant) {
    let mut work = 0;
    let mut dominant = 0;
    for steps in job.occurrences.values() {
        for (step_index, (entry, step)) in steps.iter().zip(&job.spec.steps).enumerate() {
            if step.fills {
                continue;
            }
            let count = u64::from(entry.remaining());
            let cpu = count * step.resources.cpu_millicores;
            if step.long_running {
                view.lasting_millicores += cpu;
                continue;
            }
            let step_ms = job.objective.step_ms(step_index);
            work += cpu * step_ms / 1000;
            if has_tenants {
                let dominant_millicores = dominant_millicores(step.resources, view.capacity);
                dominant += count
                    .saturating_mul(dominant_millicores)
                    .saturating_mul(step_ms)
                    / 1000;
            }
        }
    }
    if job.misses_objective(now.steady_ms) {
        view.late_core_ms += work;
        return;
    }
    view.backlog_core_ms += work;
    if dominant > 0 {
        let tenant = job.record.tenant.as_deref().unwrap_or_default();
        if !view.tenants.contains_key(tenant) {
            view.tenants
                .insert(tenant.to_owned(), TenantBacklog::default());
        }
        if let Some(backlog) = view.tenants.get_mut(tenant) {
            backlog.add(job.share_class, dominant);
        }
    }
}

impl PoolScheduler {
    /// Returns the current load of the pool.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        Load::from(&self.pool_view(now))
    }

    /// Returns what admission knows of the pool now.
    fn pool_view(&self, now: Instant) -> PoolView {
        let joining = self.incarnations.values().filter(|worker| {
            let is_new = match worker.contact {
                Contact::Unknown => true,
                Contact::Responsive => !worker.recorded,
                Contact::Unresponsive { .. } => false,
            };
            is_new && worker.listed && !worker.entry.draining && !worker.vacating
        });
        // Entries of other programs may name any capacity.
        let joining_millicores = joining.fold(0_u64, |sum, worker| {
            sum.saturating_add(worker.entry.capacity.cpu_millicores)
        });
        let mut view = PoolView {
            capacity: self.usable_capacity(now),
            joining_millicores,
            ..PoolView::default()
        };
        let has_tenants = self.admission.shares().is_active();
        for job in self.active() {
            add_job(&mut view, job, has_tenants, now);
        }
        view
    }

    /// Takes out a recent view of the pool, to which the jobs admitted since are added.
    pub(super) fn recent_view(&mut self, now: Instant) -> PoolView {
        match self.recent_load.take() {
            Some((at_ms, view)) if now.steady_ms < at_ms + MAX_LOAD_AGE_MS => {
                self.recent_load_ms = at_ms;
                view
            }
            _ => {
                self.recent_load_ms = now.steady_ms;
                self.pool_view(now)
            }
        }
    }

    /// Keeps a view that was taken out.
    pub(super) fn put_back_view(&mut self, view: PoolView) {
        self.recent_load = Some((self.recent_load_ms, view));
    }

    /// Returns the load for the admission of a job: a recent one, to which the jobs
    /// admitted since are added.
    pub fn recent_load(&mut self, now: Instant) -> Load {
        let view = self.recent_view(now);
        let load = Load::from(&view);
        self.put_back_view(view);
        load
    }

    /// Adds a job to the recent load.
    pub(super) fn add_to_recent_load(&mut self, id: JobId, now: Instant) {
        if let Some((_, view)) = &mut self.recent_load
            && let Some(job) = self.jobs.get(&id)
        {
            add_job(view, job, self.admission.shares().is_active(), now);
        }
    }

    /// Whether the rate of offered work exceeds the capacity of the usable
    /// workers.
    #[must_use]
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.offered_millicores(now) > self.usable_capacity(now).cpu_millicores
    }

    pub(super) fn usable_capacity(&self, now: Instant) -> Resources {
        let usable = self
            .incarnations
            .values()
            .filter(|worker| Self::is_usable(worker, now));
        usable.fold(Resources::default(), |sum, worker| {
            let capacity = worker.entry.capacity;
            Resources {
                cpu_millicores: sum.cpu_millicores.saturating_add(capacity.cpu_millicores),
                memory_mb: sum.memory_mb.saturating_add(capacity.memory_mb),
                accelerators: sum.accelerators.saturating_add(capacity.accelerators),
            }
        })
    }

    /// Returns the pool's report to the owner of the fleet.
    #[must_use]
    pub fn report(&self, now: Instant) -> PoolReport {
        let load = self.load(now);
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
            refused_core_ms: self.admission.rejected_core_ms(now.steady_ms),
            least_workers: self.least_workers().max(self.least_workers_lately(now)),
            workers: u32::try_from(usable.count()).unwrap_or(u32::MAX),
            vacated: self.vacated(),
            cheapest: self.cheapest(now),
        }
    }
}
