use std::collections::BTreeMap;

use crate::job::Resources;

use super::fair_shares::ShareClass;

/// What admission knows of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Capacity of the usable workers.
    pub capacity: Resources,
    /// CPU capacity of workers that are listed and haven't reported to this owner yet.
    pub joining_millicores: u64,
    /// CPU that long-running tasks request, in thousandths of a core.
    pub lasting_millicores: u64,
    /// Accepted work of jobs that can still meet their objective, in core-milliseconds.
    pub backlog_core_ms: u64,
    /// Accepted work of other jobs, which only gets capacity that no other job needs.
    pub late_core_ms: u64,
    /// The backlog by tenant; empty where the configuration has no tenants.
    pub tenants: BTreeMap<String, TenantBacklog>,
}

/// Accepted work of a tenant's jobs that can still meet their objective, by the resource
/// of which each job takes the largest part of the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantBacklog {
    /// Work of jobs within the tenant's weight in jobs a second, in core-milliseconds.
    pub owed_core_ms: u64,
    /// Work of its other jobs, in core-milliseconds.
    pub excess_core_ms: u64,
}

impl TenantBacklog {
    /// Returns the work of a class of jobs.
    #[must_use]
    pub fn of(&self, class: ShareClass) -> u64 {
        match class {
            ShareClass::Owed => self.owed_core_ms,
            ShareClass::Excess => self.excess_core_ms,
        }
    }

    /// Adds work of a class of jobs.
    pub fn add(&mut self, class: ShareClass, work_core_ms: u64) {
        match class {
            ShareClass::Owed => self.owed_core_ms += work_core_ms,
            ShareClass::Excess => self.excess_core_ms += work_core_ms,
        }
    }
}

/// Converts what a task takes to CPU, by the resource of which it takes the largest part of
/// a pool.
///
/// ```
/// use cornelpoint::admission::dominant_millicores;
/// use cornelpoint::job::Resources;
///
/// let pool = Resources { cpu_millicores: 8000, memory_mb: 800, accelerators: 0 };
/// let need = Resources { cpu_millicores: 1000, memory_mb: 200, accelerators: 0 };
/// assert_eq!(dominant_millicores(need, pool), 2000);
/// ```
#[must_use]
pub fn dominant_millicores(need: Resources, pool: Resources) -> u64 {
    let converted = |need: u64, of: u64| {
        let needed = need.saturating_mul(pool.cpu_millicores);
        needed.checked_div(of).unwrap_or(0)
    };
    need.cpu_millicores
        .max(converted(need.memory_mb, pool.memory_mb))
        .max(converted(need.accelerators, pool.accelerators))
}
