use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::job::Resources;

/// The shared row: limits of the tenants, and what each pool may use of them.
///
/// ```
/// use cornelpoint::job::Resources;
/// use cornelpoint::quota::Allotment;
/// use cornelpoint::quota::PoolEntry;
/// use cornelpoint::quota::QuotaTable;
///
/// let cores = |cpu_millicores| Resources { cpu_millicores, ..Resources::default() };
/// let mut table = QuotaTable::default();
/// for (pool, allotted) in [("a", cores(2000)), ("b", cores(3000))] {
///     let mut entry = PoolEntry::default();
///     let allotment = Allotment { allotted, ..Allotment::default() };
///     entry.tenants.insert("north".to_owned(), allotment);
///     table.pools.insert(pool.to_owned(), entry);
/// }
/// assert_eq!(table.allotted("north"), cores(5000));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaTable {
    /// Version of the configuration that the limits are from.
    pub configuration: u64,
    /// Limits of the tenants that have any.
    pub limits: BTreeMap<String, Limit>,
    /// Entries of the pools.
    pub pools: BTreeMap<String, PoolEntry>,
    /// Pools that have not counted yet what they use of a tenant whose limit is new. None
    /// of its tasks may start before they have.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub uncounted: BTreeMap<String, BTreeSet<String>>,
}

/// Entry of a pool, which only its owner changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Fencing token of the owner that wrote the entry last.
    pub fencing_token: u64,
    /// What the pool may use, and what it lacks, by tenant.
    pub tenants: BTreeMap<String, Allotment>,
}

/// What a pool may use of a tenant's limit. Stored as numbers without names, to keep the
/// row small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 6]", into = "[u64; 6]")]
pub struct Allotment {
    /// What the pool may use.
    pub allotted: Resources,
    /// What it lacks.
    pub wanted: Resources,
}

/// Limit of a tenant; a resource of 0 has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct Limit(pub Resources);

impl QuotaTable {
    /// Returns what all pools together may use of a tenant's limit.
    #[must_use]
    pub fn allotted(&self, tenant: &str) -> Resources {
        let allotments = self.pools.values();
        let allotments = allotments.filter_map(|entry| entry.tenants.get(tenant));
        allotments.fold(Resources::default(), |sum, allotment| {
            sum.plus(allotment.allotted)
        })
    }

    /// Returns what a pool may use of a tenant's limit, and what it lacks.
    #[must_use]
    pub fn allotment(&self, pool: &str, tenant: &str) -> Allotment {
        let entry = self.pools.get(pool);
        let allotment = entry.and_then(|entry| entry.tenants.get(tenant));
        allotment.copied().unwrap_or_default()
    }
}

pub(super) fn to_array(resources: Resources) -> [u64; 3] {
    [
        resources.cpu_millicores,
        resources.memory_mb,
        resources.accelerators,
    ]
}

pub(super) fn from_array([cpu_millicores, memory_mb, accelerators]: [u64; 3]) -> Resources {
    Resources {
        cpu_millicores,
        memory_mb,
        accelerators,
    }
}

impl From<[u64; 6]> for Allotment {
    fn from(
        [
            cpu,
            memory,
            accelerators,
            more_cpu,
            more_memory,
            more_accelerators,
        ]: [u64; 6],
    ) -> Self {
        Self {
            allotted: from_array([cpu, memory, accelerators]),
            wanted: from_array([more_cpu, more_memory, more_accelerators]),
        }
    }
}

impl From<Allotment> for [u64; 6] {
    fn from(allotment: Allotment) -> Self {
        let [cpu, memory, accelerators] = to_array(allotment.allotted);
        let [more_cpu, more_memory, more_accelerators] = to_array(allotment.wanted);
        [
            cpu,
            memory,
            accelerators,
            more_cpu,
            more_memory,
            more_accelerators,
        ]
    }
}

impl From<[u64; 3]> for Limit {
    fn from(limit: [u64; 3]) -> Self {
        Self(from_array(limit))
    }
}

impl From<Limit> for [u64; 3] {
    fn from(limit: Limit) -> Self {
        to_array(limit.0)
    }
}
