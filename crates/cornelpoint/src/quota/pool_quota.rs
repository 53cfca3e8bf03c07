use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Resources;
use crate::tenant::Tenants;

use super::demand::PoolDemand;
use super::demand::TenantDemand;
use super::quota_call::QuotaCall;
use super::quota_call::QuotaReply;
use super::quota_call::QuotaRow;
use super::quota_call::QuotaWrite;
use super::quota_table::Allotment;
use super::quota_table::Limit;
use super::quota_table::PoolEntry;
use super::quota_table::QuotaTable;
use super::quota_table::from_array;
use super::quota_table::to_array;
use super::target::Situation;

/// Shortest time between two writes of a pool. Four pools that follow their demand write
/// 20 times a second at most, of the 150 transactions that a partition takes.
const WRITE_INTERVAL_MS: u64 = 200;
/// Time after a check that found no call due until the next one: each takes the need of all
/// waiting steps.
const CHECK_INTERVAL_MS: u64 = 50;
/// Delay after a call that was refused or not answered.
const RETRY_DELAY_MS: u64 = 300;
/// Delay before a row that can't be decoded is read again.
const UNREADABLE_RETRY_MS: u64 = 1000;
/// Time for which an allotment has to exceed the demand before it is reduced, if no other
/// pool wants it. Queues peak in turn, some seconds apart.
const HOLD_MS: u64 = 2000;

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
    pool: String,
    fencing_token: u64,
    max_configuration_age_ms: u64,
    /// When the read of the configuration was sent that last confirmed it.
    confirmed_ms: Option<u64>,
    /// Configuration that it confirmed.
    confirmed_configuration: u64,
    configuration: u64,
    limits: BTreeMap<String, Limit>,
    /// Pools of the configuration that may run tasks of tenants, this one included.
    pools: BTreeSet<String>,
    /// Configuration that last lowered a tenant's limit, as far as this owner has seen.
    lowered: BTreeMap<String, u64>,
    /// The row as it was last read or written, with its version.
    row: Option<(u64, QuotaTable)>,
    unreadable: bool,
    /// Whether a higher fencing token was read for this pool.
    fenced: bool,
    /// The write in progress, or that a read is.
    in_progress: Option<QuotaCall>,
    /// Entries that unanswered writes on the row's version may still bring. They can't once
    /// the row has another version.
    unsettled: Vec<PoolEntry>,
    /// The pool's entry when this owner took it over: a predecessor starts no more than it
    /// allows.
    inherited: PoolEntry,
    /// Since when allotments have exceeded the demand.
    idle_since_ms: BTreeMap<String, u64>,
    next_call_ms: u64,
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
    fn limit_for_starts(&self, tenant: &str) -> Option<Resources> {
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
    fn is_confirmed(&self, now_ms: u64) -> bool {
        let age_ms = self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        age_ms.is_some_and(|age_ms| age_ms < self.max_configuration_age_ms)
    }

    /// Returns the pool's entry in the write in progress, unless that can't be carried out
    /// any more.
    fn entry_in_progress(&self) -> Option<&PoolEntry> {
        let Some(QuotaCall::Write(write)) = &self.in_progress else {
            return None;
        };
        let (version, _) = self.row.as_ref()?;
        let entry = write.table.pools.get(&self.pool);
        entry.filter(|_| *version == write.expected_version)
    }

    /// Returns what counts as used by a tenant.
    fn held(&self, tenant: &str, used: Resources, unreported: Resources) -> Resources {
        let unreported = combine(unreported, allotted(&self.inherited, tenant), u64::min);
        used.plus(unreported)
    }

    /// Returns the call to the store that is due; its outcome has to be passed to
    /// [`Self::replied`].
    pub fn due_call(&mut self, demand: &PoolDemand, now_ms: u64) -> Option<QuotaCall> {
        if !self.is_call_possible(now_ms) {
            return None;
        }
        let call = if self.unreadable {
            QuotaCall::Read
        } else {
            match self.row.clone() {
                None => QuotaCall::Read,
                Some((version, before)) => {
                    let table = self.next_table(&before, demand, now_ms);
                    if table == before && self.unsettled.is_empty() {
                        self.next_call_ms = now_ms + CHECK_INTERVAL_MS;
                        return None;
                    }
                    QuotaCall::Write(QuotaWrite {
                        expected_version: version,
                        table,
                    })
                }
            }
        };
        self.in_progress = Some(call.clone());
        Some(call)
    }

    /// Whether a call could be due now, so that the demand is worth finding out.
    #[must_use]
    pub fn is_call_possible(&self, now_ms: u64) -> bool {
        !self.fenced
            && self.in_progress.is_none()
            && self.is_in_force()
            && now_ms >= self.next_call_ms
    }

    /// Returns when a call may be due; `None` while one is in progress or none is needed.
    #[must_use]
    pub fn due_ms(&self) -> Option<u64> {
        let waits = self.fenced || self.in_progress.is_some() || !self.is_in_force();
        (!waits).then_some(self.next_call_ms)
    }

    /// Applies what became of the call in progress.
    pub fn replied(&mut self, reply: QuotaReply, now_ms: u64) {
        let call = self.in_progress.take();
        match reply {
            QuotaReply::Row(row) => {
                self.row_read(row);
                if self.unreadable {
                    self.next_call_ms = now_ms + UNREADABLE_RETRY_MS;
                }
            }
            QuotaReply::Committed { version } => {
                self.next_call_ms = now_ms + WRITE_INTERVAL_MS;
                if let Some(QuotaCall::Write(write)) = call {
                    self.row_read(QuotaRow {
                        version,
                        table: Some(write.table),
                    });
                }
            }
            QuotaReply::Refused => self.next_call_ms = now_ms + RETRY_DELAY_MS,
            QuotaReply::Unanswered => {
                self.next_call_ms = now_ms + RETRY_DELAY_MS;
                if let Some(QuotaCall::Write(write)) = call
                    && let Some((version, _)) = &self.row
                    && *version == write.expected_version
                    && let Some(entry) = write.table.pools.get(&self.pool)
                    && !self.unsettled.contains(entry)
                {
                    self.unsettled.push(entry.clone());
                }
            }
        }
    }

    /// Applies the row, for whatever purpose it was read. Returns whether it is newer than the
    /// one known.
    ///
    /// A row that is gone counts as new: an operator has removed it, see the design note.
    pub fn row_read(&mut self, row: QuotaRow) -> bool {
        let QuotaRow { version, table } = row;
        if let Some((known, _)) = &self.row
            && version <= *known
            && version > 0
        {
            return false;
        }
        let Some(table) = table else {
            self.unreadable = true;
            return true;
        };
        self.unreadable = false;
        if let Some(entry) = table.pools.get(&self.pool) {
            if entry.fencing_token > self.fencing_token {
                self.fenced = true;
            } else if entry.fencing_token < self.fencing_token {
                self.inherited = entry.clone();
            }
        }
        let is_new = self.row.as_ref().is_none_or(|(known, _)| *known != version);
        if is_new {
            self.unsettled.clear();
            // Others may want what this pool has, or have given back what it wants.
            if self.in_progress.is_none() && self.needs_prompt_call(&table) {
                self.next_call_ms = 0;
            }
            self.row = Some((version, table));
        }
        is_new
    }

    /// Whether a row gives reason to write before the usual interval has passed.
    fn needs_prompt_call(&self, table: &QuotaTable) -> bool {
        let Some((_, before)) = &self.row else {
            return true;
        };
        let others = |table: &QuotaTable| {
            let others = table.pools.iter().filter(|(pool, _)| **pool != self.pool);
            let tenants = others.flat_map(|(_, entry)| entry.tenants.iter());
            let wanted = tenants.filter(|(_, allotment)| allotment.wanted != Resources::default());
            wanted.count()
        };
        let lacking = table.pools.get(&self.pool).is_some_and(|entry| {
            let mut allotments = entry.tenants.values();
            allotments.any(|allotment| allotment.wanted != Resources::default())
        });
        lacking
            || others(table) > others(before)
            || table.configuration != before.configuration
            || table.uncounted != before.uncounted
    }

    /// Whether the configuration has limits that the row does not have.
    fn has_unrecorded_limits(&self, table: &QuotaTable) -> bool {
        let is_newer = self.configuration > table.configuration;
        let lowered = self.lowered.values().any(|at| *at > table.configuration);
        is_newer && (lowered || self.limits != table.limits)
    }

    /// Returns the row as it should be.
    fn next_table(&mut self, before: &QuotaTable, demand: &PoolDemand, now_ms: u64) -> QuotaTable {
        let mut table = before.clone();
        if self.has_unrecorded_limits(before) {
            self.record_limits(&mut table);
        }
        let entry = table.pools.entry(self.pool.clone()).or_default();
        if entry.fencing_token > self.fencing_token {
            self.fenced = true;
            return before.clone();
        }
        entry.fencing_token = self.fencing_token;
        self.count_use(&mut table, demand);
        let limits = table.limits.clone();
        for (tenant, limit) in &limits {
            if !table.uncounted.contains_key(tenant) {
                let next = self.next_allotment(&table, tenant, *limit, demand, now_ms);
                set_allotment(&mut table, &self.pool, tenant, next);
            }
        }
        let entry = table.pools.entry(self.pool.clone()).or_default();
        entry
            .tenants
            .retain(|tenant, _| limits.contains_key(tenant));
        table
    }

    /// Puts the limits of this owner's configuration into the row. What pools use of a
    /// resource that had no limit was not counted against allotments.
    fn record_limits(&self, table: &mut QuotaTable) {
        for (tenant, limit) in &self.limits {
            let before = table.limits.get(tenant).copied().unwrap_or_default();
            if limits_more_resources(before, *limit) {
                table.uncounted.insert(tenant.clone(), self.pools.clone());
            }
        }
        table
            .uncounted
            .retain(|tenant, _| self.limits.contains_key(tenant));
        table.limits.clone_from(&self.limits);
        table.configuration = self.configuration;
    }

    /// Makes the pool's allotments of tenants whose limits are new what it uses of them,
    /// once that is known.
    fn count_use(&self, table: &mut QuotaTable, demand: &PoolDemand) {
        if demand.unreported != Resources::default() {
            return;
        }
        let mut uncounted = std::mem::take(&mut table.uncounted);
        for (tenant, pools) in &mut uncounted {
            if pools.remove(&self.pool) {
                let used = demand.tenants.get(tenant).copied().unwrap_or_default().used;
                let limit = table.limits.get(tenant).copied().unwrap_or_default();
                let mut next = table.allotment(&self.pool, tenant);
                next.allotted = combine(next.allotted, used, u64::max);
                next.allotted = where_limited(next.allotted, limit.0);
                set_allotment(table, &self.pool, tenant, next);
            }
            if self.configuration >= table.configuration {
                pools.retain(|pool| self.pools.contains(pool));
            }
        }
        uncounted.retain(|_, pools| !pools.is_empty());
        table.uncounted = uncounted;
    }

    fn next_allotment(
        &mut self,
        table: &QuotaTable,
        tenant: &str,
        limit: Limit,
        demand: &PoolDemand,
        now_ms: u64,
    ) -> Allotment {
        let TenantDemand {
            used,
            waiting,
            blocked,
        } = demand.tenants.get(tenant).copied().unwrap_or_default();
        let held = self.held(tenant, used, demand.unreported);
        let limit = to_array(limit.0);
        let before = table.allotment(&self.pool, tenant);
        let allotted = to_array(before.allotted);
        let sum = to_array(table.allotted(tenant));
        let held = to_array(held);
        let waiting = to_array(waiting);
        let blocked = to_array(blocked);
        let capacity = to_array(demand.capacity);
        let pools = self.pools.len() as u64;
        let others = table.pools.iter().filter(|(pool, _)| **pool != self.pool);
        let others = others.filter_map(|(_, entry)| entry.tenants.get(tenant));
        let others: Vec<([u64; 3], [u64; 3])> = others
            .map(|other| (to_array(other.allotted), to_array(other.wanted)))
            .collect();
        // Entries of pools that the configuration no longer has stay as they are.
        let earlier = table.pools.range(..self.pool.clone());
        let earlier = earlier.filter(|(pool, _)| self.pools.contains(*pool));
        let earlier = earlier.filter_map(|(_, entry)| entry.tenants.get(tenant));
        let earlier: Vec<[u64; 3]> = earlier.map(|other| to_array(other.wanted)).collect();
        let idle_since_ms = self.idle_since_ms.get(tenant).copied();
        let mut next = [0; 3];
        let mut wanted = [0; 3];
        let mut exceeds = false;
        for resource in (0..3).filter(|&resource| limit[resource] > 0) {
            let claims = others.iter().filter(|(_, wanted)| wanted[resource] > 0);
            let rest = Situation::rest_share(limit[resource], pools);
            let usable = capacity[resource].max(held[resource]);
            let situation = Situation {
                limit: limit[resource],
                allotted: allotted[resource],
                others_allotted: sum[resource] - allotted[resource],
                held: held[resource],
                demand: held[resource].saturating_add(waiting[resource]).min(usable),
                pools,
                others_want: claims.clone().next().is_some(),
                others_lack_share: claims.clone().any(|(has, _)| has[resource] < rest),
                blocked: blocked[resource].min(waiting[resource]),
                others_claim: claims
                    .clone()
                    .any(|(_, wanted)| wanted[resource] >= limit[resource]),
                earlier_claims: earlier
                    .iter()
                    .any(|wanted| wanted[resource] >= limit[resource]),
                idle: idle_since_ms.is_some_and(|since_ms| since_ms + HOLD_MS <= now_ms),
            };
            let target = situation.target();
            next[resource] = target.allotted;
            wanted[resource] = target.wanted;
            exceeds |= target.exceeds;
        }
        let next = Allotment {
            allotted: from_array(next),
            wanted: settled_wanted(before.wanted, from_array(wanted), from_array(limit)),
        };
        let is_reduced = exceeds && next.allotted != before.allotted;
        if !exceeds {
            self.idle_since_ms.remove(tenant);
        } else if idle_since_ms.is_none() || is_reduced {
            self.idle_since_ms.insert(tenant.to_owned(), now_ms);
        }
        next
    }

    /// Returns the tenants with limits, with the pool's allotments.
    pub fn allotments(&self) -> impl Iterator<Item = (&str, Allotment)> {
        let tenants: BTreeSet<&str> = self.limits.keys().map(String::as_str).collect();
        tenants
            .into_iter()
            .map(|tenant| (tenant, self.allotment(tenant)))
    }
}

/// Whether `strict` allows no more of any resource than `limit`.
fn is_at_least_as_strict(strict: Limit, limit: Limit) -> bool {
    let pairs = to_array(strict.0).into_iter().zip(to_array(limit.0));
    pairs
        .into_iter()
        .all(|(strict, limit)| limit == 0 || (strict > 0 && strict <= limit))
}

/// Whether a resource has a limit now that had none before.
fn limits_more_resources(before: Limit, now: Limit) -> bool {
    let mut pairs = to_array(before.0).into_iter().zip(to_array(now.0));
    pairs.any(|(before, now)| before == 0 && now > 0)
}

/// Returns the amounts of the resources that have a limit.
fn where_limited(amounts: Resources, limit: Resources) -> Resources {
    combine(
        amounts,
        limit,
        |amount, limit| if limit > 0 { amount } else { 0 },
    )
}

fn allotted(entry: &PoolEntry, tenant: &str) -> Resources {
    let allotment = entry.tenants.get(tenant);
    allotment.map_or(Resources::default(), |allotment| allotment.allotted)
}

fn set_allotment(table: &mut QuotaTable, pool: &str, tenant: &str, next: Allotment) {
    let Some(entry) = table.pools.get_mut(pool) else {
        return;
    };
    if next == Allotment::default() {
        entry.tenants.remove(tenant);
    } else {
        entry.tenants.insert(tenant.to_owned(), next);
    }
}

/// Returns what the pool's entry is to say that it wants. Small changes aren't worth a
/// write, unless they make or end a claim of the whole limit.
fn settled_wanted(before: Resources, now: Resources, limit: Resources) -> Resources {
    let (before, now, limit) = (to_array(before), to_array(now), to_array(limit));
    from_array(std::array::from_fn(|resource| {
        let (before, now, limit) = (before[resource], now[resource], limit[resource]);
        let is_similar = before > 0
            && now > 0
            && now <= before.saturating_mul(2)
            && before <= now.saturating_mul(2)
            && (before >= limit) == (now >= limit);
        if is_similar { before } else { now }
    }))
}

fn combine(left: Resources, right: Resources, with: impl Fn(u64, u64) -> u64) -> Resources {
    Resources {
        cpu_millicores: with(left.cpu_millicores, right.cpu_millicores),
        memory_mb: with(left.memory_mb, right.memory_mb),
        accelerators: with(left.accelerators, right.accelerators),
    }
}
