use std::collections::BTreeMap;

use crate::job::Resources;

/// What a tenant uses of a pool and waits for there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantDemand {
    /// Resources of all runs that may occupy a worker.
    pub used: Resources,
    /// Resources of the tasks that wait for workers.
    pub waiting: Resources,
    /// Need of the step that waits for the tenant's limit, for one task or a gang; zero if
    /// none does.
    pub blocked: Resources,
}

/// What a pool needs, as far as it matters to the tenants' limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// Use and need by tenant; tenants that have neither may be left out.
    pub tenants: BTreeMap<String, TenantDemand>,
    /// Most that runs may hold that a predecessor started on workers which have not
    /// reported yet; `u64::MAX` where it isn't known.
    pub unreported: Resources,
    /// What the pool's workers have in all. Waiting work beyond it needs no allotment.
    pub capacity: Resources,
}

impl PoolDemand {
    /// Stands for an amount that isn't known.
    pub const UNKNOWN: Resources = Resources {
        cpu_millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };
}
