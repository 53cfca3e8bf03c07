use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::ownership::Claim;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint_platform::registry;
use cornelpoint_platform::store::Row;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::host::PoolHost;
use crate::clock;
use crate::node::Node;
use crate::store::FeedOutcome;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::PROGRESS_TABLE;
use crate::store::ShardWriter;
use crate::store::WORKER_TABLE;
use crate::store::decode;

/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between reads of the registry. A worker must get no new work once
/// two seconds have passed since it announced that it leaves.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(700);
/// Interval while accepted work waits, so that new workers are found sooner.
const BUSY_REGISTRY_INTERVAL: Duration = Duration::from_millis(250);
/// Estimated wait of the accepted work above which the pool counts as busy.
const BUSY_THRESHOLD_MS: u64 = 300;
/// Time after a store outage within which workers restore their entries.
const REGISTRY_SETTLE_MS: u64 = 2500;
/// Interval between checks whether the predecessor's process has ended.
const PREDECESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Long-poll wait for rows of the inbox.
const INBOX_WAIT_MS: u64 = 10_000;

/// How an owner's reads of its inbox have gone.
#[derive(Debug)]
struct InboxReads {
    /// When the last successful read returned; at first when the reads began.
    succeeded_ms: u64,
    failing: bool,
}

impl PoolHost {
    /// Starts to schedule a claimed pool: restores its jobs from the store, then
    /// requests a report from every worker.
    pub(crate) async fn start(
        node: &Rc<Node>,
        claim: &Claim,
        predecessor: Option<OwnerRow>,
        owner: &OwnerRow,
        owner_version: u64,
    ) {
        let settings = SchedulerSettings {
            status_kept_ms: node.settings.bounds.status_kept_ms,
            lease_ms: SchedulerSettings::default()
                .lease_ms
                .min(node.settings.bounds.max_lease_ms),
            ..SchedulerSettings::default()
        };
        let mut scheduler = PoolScheduler::new(&claim.shard, claim.fencing_token, settings);
        if let Some(catalog) = node.catalog() {
            scheduler.set_queues(catalog.queues.iter());
        }
        let claimed_ms = clock::now().steady_ms;
        let leases_end_ms = to_steady_ms(node, owner.earlier_over_store_ms);
        while !restore(node, claim, &mut scheduler, leases_end_ms).await {
            if !node.planner.borrow().owns(&claim.shard) {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let writer = ShardWriter::new(&claim.shard, owner.clone(), owner_version);
        let host = Rc::new(Self::new(node, &claim.shard, writer, scheduler));
        if !node.planner.borrow().owns(&claim.shard) {
            return;
        }
        let previous = node
            .hosts
            .borrow_mut()
            .insert(claim.shard.clone(), Rc::clone(&host));
        if let Some(previous) = previous {
            previous.stop();
        }
        info!(host.log, "Started scheduling a pool."; "pool" => &claim.shard,
            "fencing_token" => claim.fencing_token,
            "inbox_rows" => host.inbox.borrow().len(),
            "took_ms" => clock::now().steady_ms - claimed_ms);
        node.heartbeat_now.notify_one();
        spawn_local(Rc::clone(&host).poll_registry());
        spawn_local(Rc::clone(&host).follow_inbox());
        if let Some(predecessor) = predecessor {
            spawn_local(Rc::clone(&host).watch_predecessor(predecessor));
        }
        spawn_local(host.run_timers());
    }

    /// Shortens the wait for the predecessor's leases once its process is known to
    /// have ended.
    async fn watch_predecessor(self: Rc<Self>, predecessor: OwnerRow) {
        while !self.stopped.get() && self.scheduler.borrow().waits_for_predecessor() {
            if self.node.planner.borrow().has_ended(&predecessor) {
                let leases_end_store_ms = self.node.earlier_leases_end_ms(Some(&predecessor), true);
                let leases_end_ms = to_steady_ms(&self.node, leases_end_store_ms);
                info!(self.log, "Predecessor's process has ended."; "pool" => &self.pool,
                    "node" => &predecessor.node);
                self.apply(|scheduler, _| scheduler.predecessor_ended(leases_end_ms));
                return;
            }
            tokio::time::sleep(PREDECESSOR_CHECK_INTERVAL).await;
        }
    }

    /// Reads the workers' registry entries at intervals.
    async fn poll_registry(self: Rc<Self>) {
        while !self.stopped.get() {
            if let Some(rows) = self.node.store.read_all(registry::TABLE, "").await {
                let entries: Vec<_> = rows
                    .rows
                    .iter()
                    .filter_map(|row| registry::parse_entry(&row.key.key, row.value.as_deref()?))
                    .collect();
                let available_since_ms = self.node.store.available_since_ms();
                let settled = clock::now().steady_ms
                    > available_since_ms.saturating_add(REGISTRY_SETTLE_MS)
                    || available_since_ms == 0;
                self.apply(|scheduler, now| scheduler.apply_registry(&entries, settled, now));
            }
            let busy = self.scheduler.borrow().load(clock::now()).wait_ms() > BUSY_THRESHOLD_MS;
            let pause = if busy {
                BUSY_REGISTRY_INTERVAL
            } else {
                REGISTRY_INTERVAL
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Follows the inbox: jobs and cancellations that other processes stored while
    /// the owner could not be reached.
    async fn follow_inbox(self: Rc<Self>) {
        let mut after = None;
        let mut reads = InboxReads {
            succeeded_ms: clock::now().steady_ms,
            failing: false,
        };
        while !self.stopped.get() {
            let Some(version) = after else {
                let requested_ms = clock::now().steady_ms;
                if let Some(rows) = self.node.store.read_all(INBOX_TABLE, &self.pool).await {
                    let unread_ms = self.log_inbox_success(&mut reads);
                    info!(self.log, "Inbox read in full."; "pool" => &self.pool,
                        "fencing_token" => self.fencing_token, "version" => rows.version,
                        "rows" => rows.rows.len(),
                        "took_ms" => clock::now().steady_ms - requested_ms);
                    self.apply_inbox_rows(&rows.rows, "full read", unread_ms);
                    after = Some(rows.version);
                } else {
                    self.log_inbox_failure(&mut reads, "full read");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                continue;
            };
            match self
                .node
                .store
                .feed(INBOX_TABLE, version, INBOX_WAIT_MS)
                .await
            {
                FeedOutcome::Changes(rows) => {
                    let unread_ms = self.log_inbox_success(&mut reads);
                    self.apply_inbox_rows(&rows.rows, "feed", unread_ms);
                    after = Some(rows.version.max(version));
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => {
                    self.log_inbox_failure(&mut reads, "feed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Logs the first success after failures; returns the time since the
    /// success before.
    fn log_inbox_success(&self, reads: &mut InboxReads) -> u64 {
        let now_ms = clock::now().steady_ms;
        let unread_ms = now_ms.saturating_sub(reads.succeeded_ms);
        if reads.failing {
            info!(self.log, "Inbox can be read again."; "pool" => &self.pool,
                "fencing_token" => self.fencing_token,
                "unread_ms" => unread_ms);
        }
        *reads = InboxReads {
            succeeded_ms: now_ms,
            failing: false,
        };
        unread_ms
    }

    /// Logs the first failure after a success. A long poll without a response
    /// fails only at its timeout.
    fn log_inbox_failure(&self, reads: &mut InboxReads, read: &str) {
        if reads.failing {
            return;
        }
        reads.failing = true;
        warn!(self.log, "Inbox can't be read."; "pool" => &self.pool,
            "fencing_token" => self.fencing_token, "read" => read,
            "error" => self.node.store.last_failure(),
            "unread_ms" => clock::now().steady_ms - reads.succeeded_ms);
    }

    fn apply_inbox_rows(self: &Rc<Self>, rows: &[Row], read: &str, unread_ms: u64) {
        for row in rows.iter().filter(|row| row.key.part == self.pool) {
            let Some(value) = &row.value else { continue };
            let Some((kind, id)) = row.key.key.split_once('/') else {
                continue;
            };
            let Ok(id) = id.parse::<JobId>() else {
                continue;
            };
            self.inbox.borrow_mut().insert(row.key.key.clone());
            let record = if kind == "cancel" {
                None
            } else {
                decode::<JobRecord>(value)
            };
            // The record carries the wall clock of the process that stored it.
            let now_unix_ms = clock::now().unix_ms;
            let age_ms = record
                .as_ref()
                .map(|record| now_unix_ms.saturating_sub(record.accepted_unix_ms));
            info!(self.log, "Applying an inbox row."; "kind" => kind, "job" => %id,
                "read" => read, "version" => row.version, "age_ms" => age_ms,
                "unread_ms" => unread_ms);
            if kind == "cancel" {
                self.apply(|scheduler, now| scheduler.cancel_from_inbox(id, now));
                continue;
            }
            let spec = record
                .as_ref()
                .and_then(|record| JobSpec::try_from(record.job.clone()).ok());
            match record.zip(spec) {
                Some((record, spec)) => {
                    self.apply(|scheduler, now| scheduler.submit_from_inbox(id, record, spec, now));
                }
                None => warn!(self.log, "Job in the inbox can't be decoded."; "job" => %id),
            }
        }
    }
}

/// Converts a time of the store's clock to one of the local monotonic clock.
fn to_steady_ms(node: &Rc<Node>, store_ms: u64) -> u64 {
    clock::now().steady_ms + store_ms.saturating_sub(node.store.clock_ms())
}

/// Restores a pool's workers and jobs from the store; false if a read fails.
async fn restore(
    node: &Rc<Node>,
    claim: &Claim,
    scheduler: &mut PoolScheduler,
    leases_end_ms: u64,
) -> bool {
    let pool = &claim.shard;
    let Some(workers) = node.store.read_all(WORKER_TABLE, pool).await else {
        return false;
    };
    let Some(records) = node.store.read_all(JOB_TABLE, pool).await else {
        return false;
    };
    let Some(progress) = node.store.read_all(PROGRESS_TABLE, pool).await else {
        return false;
    };
    let workers = workers
        .rows
        .iter()
        .find_map(|row| decode(row.value.as_deref()?));
    scheduler.set_predecessor(workers.unwrap_or_default(), leases_end_ms);
    let progress: HashMap<&str, JobProgress> = progress
        .rows
        .iter()
        .filter_map(|row| Some((row.key.key.as_str(), decode(row.value.as_deref()?)?)))
        .collect();
    let mut count = 0;
    for row in &records.rows {
        let record = row.value.as_deref().and_then(decode::<JobRecord>);
        let id = row.key.key.parse::<JobId>().ok();
        let spec = record
            .as_ref()
            .and_then(|record| JobSpec::try_from(record.job.clone()).ok());
        let (Some(id), Some(record), Some(spec)) = (id, record, spec) else {
            warn!(node.pool_log, "Job can't be decoded."; "key" => &row.key.key);
            continue;
        };
        let progress = progress.get(row.key.key.as_str());
        scheduler.restore(id, record, spec, progress, clock::now());
        count += 1;
    }
    info!(node.pool_log, "Restored a pool's jobs."; "pool" => pool, "jobs" => count);
    true
}
