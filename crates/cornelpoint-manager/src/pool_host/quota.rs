use std::rc::Rc;
use std::time::Duration;

use cornelpoint::job::Resources;
use cornelpoint::quota::PoolQuota;
use cornelpoint::quota::QuotaCall;
use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaRow;
use cornelpoint::quota::QuotaTable;
use cornelpoint::quota::QuotaWrite;
use cornelpoint::scheduler::SchedulerEvent;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use slog::error;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::host::PoolHost;
use crate::clock;
use crate::metrics::ProcessMetrics;
use crate::node::Node;
use crate::store::FeedOutcome;
use crate::store::QUOTA_KEY;
use crate::store::QUOTA_TABLE;
use crate::store::TransactionOutcome;
use crate::store::decode;
use crate::store::encode;

/// Long-poll wait for changes of the row. Allotments have to follow demand within about a
/// second, also after a response was lost.
const FEED_WAIT_MS: u64 = 1000;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which a process without pools, or without limits, checks whether that has
/// changed. A new owner reads the row by itself.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of tenants whose new allotments are named in a log line.
const MAX_LOGGED_TENANTS: usize = 8;

impl PoolHost {
    /// Returns from when the last confirmation of the configuration counts, by the monotonic
    /// clock.
    pub(super) fn configuration_confirmed_ms(&self) -> Option<u64> {
        let age_ms = self.node.configuration_age_ms()?;
        Some(clock::now().steady_ms.saturating_sub(age_ms))
    }

    /// Logs a step that waits for its tenant's limit, and counts it for the metrics.
    pub(super) fn log_tenant_wait(&self, event: SchedulerEvent) {
        let SchedulerEvent::TenantWaits {
            tenant,
            step,
            tasks,
            need,
            waited_ms,
            reason,
            used,
            allotted,
            limit,
        } = event
        else {
            return;
        };
        self.node.metrics.record_tenant_wait(reason);
        info!(self.log, "A step waits for its tenant's limit."; "step" => %step,
            "pool" => &self.pool, "tenant" => tenant, "reason" => ?reason,
            "tasks" => tasks, "need" => ?need, "waited_ms" => waited_ms,
            "used" => ?used, "allotted" => ?allotted, "limit" => ?limit,
            "fencing_token" => self.fencing_token);
    }

    /// Starts to carry out a call for the tenants' limits; its outcome updates the
    /// scheduler later.
    pub(super) fn execute_quota_call(self: &Rc<Self>, call: QuotaCall) {
        spawn_local(Rc::clone(self).send_quota_call(call));
    }

    async fn send_quota_call(self: Rc<Self>, call: QuotaCall) {
        let reply = match call {
            QuotaCall::Read => match self.node.read_quota().await {
                Some((row, _)) => QuotaReply::Row(row),
                None => QuotaReply::Refused,
            },
            QuotaCall::Write(write) => self.write_quota(&write).await,
        };
        self.apply(|scheduler, now| scheduler.quota_replied(reply, now));
    }

    async fn write_quota(&self, write: &QuotaWrite) -> QuotaReply {
        let value = encode(&write.table);
        let bytes = value.len();
        if bytes > self.node.settings.row_bytes {
            error!(self.log, "Tenants' allotments don't fit a row."; "pool" => &self.pool,
                "bytes" => bytes);
            return QuotaReply::Refused;
        }
        let transaction = Transaction {
            conditions: vec![(quota_row_key(), write.expected_version)],
            writes: vec![(quota_row_key(), value)],
            ..Transaction::default()
        };
        let sent_ms = clock::now().steady_ms;
        match self.node.store.transact(&transaction).await {
            TransactionOutcome::Committed { version } => {
                let took_ms = clock::now().steady_ms.saturating_sub(sent_ms);
                info!(self.log, "Tenants' allotments written."; "pool" => &self.pool,
                    "fencing_token" => self.fencing_token, "version" => version,
                    "configuration" => write.table.configuration, "bytes" => bytes,
                    "uncounted" => write.table.uncounted.len(),
                    "changes" => self.describe_changes(&write.table), "took_ms" => took_ms);
                QuotaReply::Committed { version }
            }
            TransactionOutcome::Conflict(rows) => QuotaReply::Row(self.node.quota_row(&rows)),
            TransactionOutcome::Refused | TransactionOutcome::Invalid => QuotaReply::Refused,
            TransactionOutcome::Unknown => {
                warn!(self.log, "Tenants' allotments may have been written.";
                    "pool" => &self.pool, "expected_version" => write.expected_version);
                QuotaReply::Unanswered
            }
        }
    }

    /// Describes how a committed write changes the pool's entry.
    fn describe_changes(&self, table: &QuotaTable) -> String {
        let scheduler = self.scheduler.borrow();
        let Some(quota) = scheduler.quota() else {
            return String::new();
        };
        let tenants = table.limits.keys();
        let changed = tenants.filter_map(|tenant| {
            let before = quota.allotment(tenant);
            let now = table.allotment(&self.pool, tenant);
            (now != before).then(|| {
                format!(
                    "{tenant} {}->{} wanted {}",
                    describe(before.allotted),
                    describe(now.allotted),
                    describe(now.wanted)
                )
            })
        });
        let mut changed: Vec<String> = changed.collect();
        let count = changed.len();
        if count > MAX_LOGGED_TENANTS {
            changed.truncate(MAX_LOGGED_TENANTS);
            changed.push(format!("{} more", count - MAX_LOGGED_TENANTS));
        }
        changed.join(", ")
    }

    /// Sets the gauges of what each tenant has of the pool.
    fn record_tenants(&self, metrics: &ProcessMetrics) {
        let scheduler = self.scheduler.borrow();
        let Some(quota) = scheduler.quota() else {
            return;
        };
        let demand = scheduler.tenant_demand();
        for (tenant, allotment) in quota.allotments() {
            let demand = demand.tenants.get(tenant).copied().unwrap_or_default();
            metrics.record_tenant(&self.pool, tenant, "allotted", allotment.allotted);
            metrics.record_tenant(&self.pool, tenant, "used", demand.used);
            metrics.record_tenant(&self.pool, tenant, "wanted", allotment.wanted);
        }
    }
}

impl Node {
    /// Follows the row of the tenants' allotments while this process hosts a pool and the
    /// configuration has limits.
    pub(crate) async fn follow_quota(self: Rc<Self>) {
        let mut after = None;
        loop {
            if !self.needs_quota() {
                after = None;
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
            let Some(version) = after else {
                if let Some((row, version)) = self.read_quota().await {
                    self.apply_quota(&row);
                    after = Some(version);
                } else {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                continue;
            };
            match self.store.feed(QUOTA_TABLE, version, FEED_WAIT_MS).await {
                FeedOutcome::Changes(rows) => {
                    if !rows.rows.is_empty() {
                        self.apply_quota(&self.quota_row(&rows.rows));
                    }
                    after = Some(rows.version.max(version));
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Sets the gauges of what tenants have of the pools that this process owns.
    pub(crate) fn record_tenants(&self) {
        self.metrics.clear_tenants();
        for host in self.hosts.borrow().values() {
            host.record_tenants(&self.metrics);
        }
    }

    fn needs_quota(&self) -> bool {
        let hosts = self.hosts.borrow();
        hosts.values().any(|host| {
            let scheduler = host.scheduler.borrow();
            scheduler.quota().is_some_and(PoolQuota::is_in_force)
        })
    }

    fn apply_quota(&self, row: &QuotaRow) {
        for host in self.hosts.borrow().values() {
            host.apply(|scheduler, _| scheduler.quota_row_read(row.clone()));
        }
    }

    /// Reads the row of the tenants' allotments; returns it with the version of the store
    /// from which to follow changes, or `None` if the read fails.
    async fn read_quota(&self) -> Option<(QuotaRow, u64)> {
        let rows = self.store.read_all(QUOTA_TABLE, "").await?;
        Some((self.quota_row(&rows.rows), rows.version))
    }

    /// Returns the row of the tenants' allotments from rows that the store returned.
    fn quota_row(&self, rows: &[Row]) -> QuotaRow {
        let row = rows.iter().find(|row| row.key.key == QUOTA_KEY);
        let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_deref()?))) else {
            return QuotaRow {
                version: 0,
                table: Some(QuotaTable::default()),
            };
        };
        let table = decode::<QuotaTable>(value);
        if table.is_none() {
            error!(self.pool_log, "Tenants' allotments can't be decoded: no tasks of \
                tenants with limits start."; "version" => row.version,
                "bytes" => value.len());
        }
        QuotaRow {
            version: row.version,
            table,
        }
    }
}

fn quota_row_key() -> RowKey {
    RowKey::new(QUOTA_TABLE, "", QUOTA_KEY)
}

/// Describes resources as CPU in thousandths of a core, memory in MB and accelerators.
fn describe(resources: Resources) -> String {
    let Resources {
        cpu_millicores,
        memory_mb,
        accelerators,
    } = resources;
    format!("{cpu_millicores}/{memory_mb}/{accelerators}")
}
