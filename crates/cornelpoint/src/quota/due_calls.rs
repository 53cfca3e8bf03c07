use crate::job::Resources;

use super::amounts::combine;
use super::amounts::limits_more_resources;
use super::amounts::where_limited;
use super::demand::PoolDemand;
use super::demand::TenantDemand;
use super::pool_quota::PoolQuota;
use super::quota_call::QuotaCall;
use super::quota_call::QuotaReply;
use super::quota_call::QuotaRow;
use super::quota_call::QuotaWrite;
use super::quota_table::Allotment;
use super::quota_table::Limit;
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

impl PoolQuota {
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
