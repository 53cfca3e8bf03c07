use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Resources;
use crate::tenant::Tenants;

use super::amounts::combine;
use super::amounts::is_at_least_as_strict;
use super::demand::PoolDemand;
use super::quota_call::QuotaCall;
use super::quota_table::Allotment;
use super::quota_table::Limit;
use super::quota_table::PoolEntry;
use super::quota_table::QuotaTable;
use super::quota_table::from_array;
use super::quota_table::to_array;

/// Why no more tasks of a tenant may start for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The configuration has not been confirmed recently.
    ConfigurationUnconfirmed,
    /// The row has not been read in this term of ownership.
    Unread,
    /// The row can't be decoded.
    Unreadable,
    /// The owner's fencing token is not in the row yet, or a higher one is.
    Unregistered,
    /// The row doesn't have the limits of the configuration yet.
    LimitsUnrecorded,
    /// Some pool has not counted yet what it uses of the tenant.
    Uncounted,
    /// The pool's allotment has no room.
    Allotment,
}

/// Decides for one pool and term of ownership what tenants with limits may start, and
/// which calls to the store are due for that.
///
/// ```
/// use cornelpoint::job::Resources;
/// use cornelpoint::quota::PoolDemand;
/// use cornelpoint::quota::PoolQuota;
/// use cornelpoint::quota::QuotaCall;
/// use cornelpoint::quota::QuotaReply;
/// use cornelpoint::quota::QuotaRow;
/// use cornelpoint::tenant::RawTenant;
/// use cornelpoint::tenant::Tenants;
///
/// let cores = |cores: u64| Resources { cpu_millicores: cores * 1000, ..Resources::default() };
/// let tenants = Tenants::check(vec![Some(RawTenant {
///     name: "north".to_owned(),
///     keys: Vec::new(),
///     weight_milli: 1000,
///     limit: cores(16),
/// })]);
/// let demand = PoolDemand {
///     capacity: cores(64),
///     ..PoolDemand::default()
/// };
/// let mut quota = PoolQuota::new("a", 1, 3000);
/// quota.set_limits(1, &tenants, ["a"].into_iter());
/// quota.configuration_confirmed(0);
/// assert!(quota.room("north", Resources::default(), Resources::default(), 0).is_err());
///
/// // The row doesn't exist yet. The write that creates it also takes the share that a pool
/// // has at rest, since there is no other pool.
/// assert_eq!(quota.due_call(&demand, 0), Some(QuotaCall::Read));
/// let row = QuotaRow { version: 0, table: Some(Default::default()) };
/// quota.replied(QuotaReply::Row(row), 5);
/// assert!(matches!(quota.due_call(&demand, 10), Some(QuotaCall::Write(_))));
/// quota.replied(QuotaReply::Committed { version: 1 }, 18);
/// let room = quota.room("north", cores(1), Resources::default(), 400).unwrap();
/// assert_eq!(room.cpu_millicores, 7000);
/// ```
#[derive(Clone, Debug)]
pub struct PoolQuota {
    pub(super) pool: String,
    pub(super) fencing_token: u64,
    pub(super) max_configuration_age_ms: u64,
    /// When the read of the configuration was sent that last confirmed it.
    pub(super) confirmed_ms: Option<u64>,
    /// Configuration that it confirmed.
    pub(super) confirmed_configuration: u64,
    pub(super) configuration: u64,
    pub(super) limits: BTreeMap<String, Limit>,
    /// Pools of the configuration that may run tasks of tenants, this one included.
    pub(super) pools: BTreeSet<String>,
    /// Configuration that last lowered a tenant's limit, as far as this owner has seen.
    pub(super) lowered: BTreeMap<String, u64>,
    /// The row as it was last read or written, with its version.
    pub(super) row: Option<(u64, QuotaTable)>,
    pub(super) unreadable: bool,
    /// Whether a higher fencing token was read for this pool.
    pub(super) fenced: bool,
    /// The write in progress, or that a read is.
    pub(super) in_progress: Option<QuotaCall>,
    /// Entries that unanswered writes on the row's version may still bring. They can't once
    /// the row has another version.
    pub(super) unsettled: Vec<PoolEntry>,
    /// The pool's entry when this owner took it over: a predecessor starts no more than it
    /// allows.
    pub(super) inherited: PoolEntry,
    /// Since when allotments have exceeded the demand.
    pub(super) idle_since_ms: BTreeMap<String, u64>,
    pub(super) next_call_ms: u64,
}

impl PoolQuota {
    /// Creates the quota of a pool for one term of ownership. Tasks of tenants with limits
    /// start only while the configuration was confirmed no longer ago than
    /// `max_configuration_age_ms`.
    #[must_use]
    pub fn new(pool: &str, fencing_token: u64, max_configuration_age_ms: u64) -> Self {
        Self {
            pool: pool.to_owned(),
            fencing_token,
            max_configuration_age_ms,
            confirmed_ms: None,
            confirmed_configuration: 0,
            configuration: 0,
            limits: BTreeMap::new(),
            pools: BTreeSet::from([pool.to_owned()]),
            lowered: BTreeMap::new(),
            row: None,
            unreadable: false,
            fenced: false,
            in_progress: None,
            unsettled: Vec::new(),
            inherited: PoolEntry::default(),
            idle_since_ms: BTreeMap::new(),
            next_call_ms: 0,
        }
    }

    /// Sets the limits of a configuration and the pools that may run tasks, unless it is
    /// older than the current one.
    pub fn set_limits<'a>(
        &mut self,
        configuration: u64,
        tenants: &Tenants,
        pools: impl Iterator<Item = &'a str>,
    ) {
        if configuration < self.configuration {
            return;
        }
        let limited = tenants.iter().filter(|tenant| tenant.is_limited());
        let limits = limited.map(|tenant| (tenant.name.clone(), Limit(tenant.limit)));
        let limits: BTreeMap<String, Limit> = limits.collect();
        if self.configuration > 0 {
            for (tenant, limit) in &limits {
                let before = self.limits.get(tenant).copied().unwrap_or_default();
                if !is_at_least_as_strict(before, *limit) {
                    self.lowered.insert(tenant.clone(), configuration);
                }
            }
        }
        self.configuration = configuration;
        self.limits = limits;
        self.pools = pools.map(str::to_owned).collect();
        self.pools.insert(self.pool.clone());
        self.next_call_ms = 0;
    }

    /// Records that a read that was sent at `sent_ms` has confirmed the configuration.
    /// Returns whether it is more recent than the last one.
    pub fn configuration_confirmed(&mut self, sent_ms: u64) -> bool {
        let before_ms = self.confirmed_ms;
        if before_ms.is_some_and(|at_ms| at_ms >= sent_ms) {
            return false;
        }
        let had_gap =
            before_ms.is_some_and(|at_ms| at_ms + self.max_configuration_age_ms <= sent_ms);
        if had_gap && self.configuration != self.confirmed_configuration {
            // A limit may have been raised and lowered again meanwhile.
            for tenant in self.limits.keys() {
                self.lowered.insert(tenant.clone(), self.configuration);
            }
        }
        self.confirmed_configuration = self.configuration;
        self.confirmed_ms = Some(sent_ms);
        true
    }

    /// Whether any tenant has a limit.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let recorded = self.row.as_ref();
        !self.limits.is_empty() || recorded.is_some_and(|(_, table)| !table.limits.is_empty())
    }

    /// Returns the limit that counts for a tenant: that of the newest configuration known.
    #[must_use]
    pub fn limit(&self, tenant: &str) -> Option<Resources> {
        let limits = match &self.row {
            Some((_, table)) if table.configuration > self.configuration => &table.limits,
            _ => &self.limits,
        };
        limits.get(tenant).map(|limit| limit.0)
    }

    /// Returns the limit that starts have to keep. Where a limit is removed, other pools have
    /// to know that this one's use isn't counted any more, so that the former limit counts
    /// until the row has the new ones.
    pub(super) fn limit_for_starts(&self, tenant: &str) -> Option<Resources> {
        let limit = self.limit(tenant);
        let recorded = self.row.as_ref();
        let recorded = recorded.and_then(|(_, table)| table.limits.get(tenant));
        let Some(recorded) = recorded else {
            return limit;
        };
        let limit = limit.unwrap_or_default();
        Some(combine(limit, recorded.0, |limit, recorded| {
            if limit > 0 { limit } else { recorded }
        }))
    }

    /// Whether a need fits a tenant's limit while nothing of the tenant runs.
    #[must_use]
    pub fn could_ever_run(&self, tenant: &str, need: Resources) -> bool {
        let Some(limit) = self.limit(tenant) else {
            return true;
        };
        let mut pairs = to_array(limit).into_iter().zip(to_array(need));
        pairs.all(|(limit, need)| limit == 0 || need <= limit)
    }

    /// Returns what the pool has in the row for a tenant.
    #[must_use]
    pub fn allotment(&self, tenant: &str) -> Allotment {
        let row = self.row.as_ref();
        row.map_or(Allotment::default(), |(_, table)| {
            table.allotment(&self.pool, tenant)
        })
    }

    /// Returns the room for further runs of a tenant beside what it uses. `unreported` is
    /// what runs of a predecessor may hold that aren't known.
    ///
    /// # Errors
    ///
    /// Returns why no task of the tenant may start.
    pub fn room(
        &self,
        tenant: &str,
        used: Resources,
        unreported: Resources,
        now_ms: u64,
    ) -> Result<Resources, WaitReason> {
        if self.configuration == 0 {
            return Err(WaitReason::ConfigurationUnconfirmed);
        }
        let Some(limit) = self.limit_for_starts(tenant) else {
            return Ok(PoolDemand::UNKNOWN);
        };
        if !self.is_confirmed(now_ms) {
            return Err(WaitReason::ConfigurationUnconfirmed);
        }
        if self.unreadable {
            return Err(WaitReason::Unreadable);
        }
        let Some((_, table)) = &self.row else {
            return Err(WaitReason::Unread);
        };
        let entry = table.pools.get(&self.pool);
        let entry = entry.filter(|entry| entry.fencing_token == self.fencing_token);
        let Some(entry) = entry.filter(|_| !self.fenced) else {
            return Err(WaitReason::Unregistered);
        };
        if table.configuration < self.configuration {
            let recorded = table.limits.get(tenant).copied().unwrap_or_default();
            let lowered = self.lowered.get(tenant).copied().unwrap_or(0);
            if !is_at_least_as_strict(recorded, Limit(limit)) || table.configuration < lowered {
                return Err(WaitReason::LimitsUnrecorded);
            }
        }
        if table.uncounted.contains_key(tenant) {
            return Err(WaitReason::Uncounted);
        }
        // A reduction counts from before it is sent, a raise once it is confirmed.
        let entries = std::iter::once(entry).chain(&self.unsettled);
        let entries = entries.chain(self.entry_in_progress());
        let allotments = entries.map(|entry| allotted(entry, tenant));
        let least = allotments.reduce(|least, next| combine(least, next, u64::min));
        let least = to_array(least.unwrap_or_default());
        let sum = to_array(table.allotted(tenant));
        let held = to_array(self.held(tenant, used, unreported));
        let limit = to_array(limit);
        let mut room = [u64::MAX; 3];
        for resource in 0..3 {
            if limit[resource] > 0 {
                // Beyond the limit, others may hold more than their part of it.
                let is_within = sum[resource] <= limit[resource];
                let usable = if is_within { least[resource] } else { 0 };
                room[resource] = usable.saturating_sub(held[resource]);
            }
        }
        Ok(from_array(room))
    }

    /// Whether the configuration was confirmed recently enough.
    pub(super) fn is_confirmed(&self, now_ms: u64) -> bool {
        let age_ms = self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        age_ms.is_some_and(|age_ms| age_ms < self.max_configuration_age_ms)
    }

    /// Returns the pool's entry in the write in progress, unless that can't be carried out
    /// any more.
    pub(super) fn entry_in_progress(&self) -> Option<&PoolEntry> {
        let Some(QuotaCall::Write(write)) = &self.in_progress else {
            return None;
        };
        let (version, _) = self.row.as_ref()?;
        let entry = write.table.pools.get(&self.pool);
        entry.filter(|_| *version == write.expected_version)
    }

    /// Returns what counts as used by a tenant.
    pub(super) fn held(&self, tenant: &str, used: Resources, unreported: Resources) -> Resources {
        let unreported = combine(unreported, allotted(&self.inherited, tenant), u64::min);
        used.plus(unreported)
    }

    /// Returns the tenants with limits, with the pool's allotments.
    pub fn allotments(&self) -> impl Iterator<Item = (&str, Allotment)> {
        let tenants: BTreeSet<&str> = self.limits.keys().map(String::as_str).collect();
        tenants
            .into_iter()
            .map(|tenant| (tenant, self.allotment(tenant)))
    }
}

pub(super) fn allotted(entry: &PoolEntry, tenant: &str) -> Resources {
    let allotment = entry.tenants.get(tenant);
    allotment.map_or(Resources::default(), |allotment| allotment.allotted)
}
