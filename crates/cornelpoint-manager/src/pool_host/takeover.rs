use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Catalog;
use cornelpoint::job::BlockKey;
use cornelpoint::job::BlockProgress;
use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawJob;
use cornelpoint::job::TaskBlock;
use cornelpoint::ownership::Claim;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::Recipients;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::PredecessorBounds;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint_platform::store::Rows;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::host::PoolHost;
use super::inbox::InboxRequests;
use super::registry_view::RegistryView;
use crate::clock;
use crate::node::Node;
use crate::node::lease_expiry_ms;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::PROGRESS_TABLE;
use crate::store::PartitionReader;
use crate::store::ShardWriter;
use crate::store::TASK_TABLE;
use crate::store::WORKER_TABLE;
use crate::store::decode;

/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between reads of the registry. A worker must get no new work once
/// two seconds have passed since it announced that it leaves.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(700);
/// Interval while accepted work waits, so that new workers are found sooner.
const BUSY_REGISTRY_INTERVAL: Duration = Duration::from_millis(120);
/// Estimated wait of the accepted work above which the pool counts as busy.
const BUSY_THRESHOLD_MS: u64 = 300;
/// Time after a store outage within which workers restore their entries.
const REGISTRY_SETTLE_MS: u64 = 2500;
/// Interval between checks whether the predecessor's process has ended.
const PREDECESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Reads a pool's rows from the store. What was read is kept after a failure: only the
/// owner changes these rows, but for the inbox, whose changes the feed repeats.
struct PoolReader {
    workers: PartitionReader,
    records: PartitionReader,
    progress: PartitionReader,
    blocks: PartitionReader,
    inbox: PartitionReader,
    inbox_requests: InboxRequests,
}

/// A pool's values in the store.
struct StoredPool {
    workers: Rows,
    records: Rows,
    progress: Rows,
    blocks: Rows,
    inbox: InboxRequests,
}

/// What a new owner knows of the inbox before it starts to schedule.
struct RestoredInbox {
    version: u64,
    requested_ms: u64,
    rows: usize,
    /// Memory that the smallest submission needs which was left in the inbox; `None` if
    /// all rows have been applied.
    deferred_bytes: Option<usize>,
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
            max_lease_ms: node.settings.bounds.max_lease_ms,
            stop_ms: node.settings.bounds.stop_ms,
            row_bytes: node.settings.row_bytes,
            max_pause_ms: Some(max_pause_ms(node.settings.bounds.cancel_ms)),
            weighs_loss: node.settings.weighs_loss,
            ..SchedulerSettings::default()
        };
        let mut scheduler = PoolScheduler::new(&claim.shard, claim.fencing_token, settings);
        if node.settings.has_tenant_limits {
            scheduler.enforce_limits(node.settings.bounds.configuration_ms);
        }
        if let Some(catalog) = node.catalog() {
            scheduler.set_queues(catalog.queues.iter());
            scheduler.set_pools(catalog.pools.keys().map(String::as_str));
            scheduler.set_tenants(catalog.tenants.as_ref());
            set_limits(&mut scheduler, &catalog);
            scheduler.set_memory_limits(node.memory_limits(&catalog));
        }
        let row_bytes = node.settings.row_bytes;
        let writer = ShardWriter::new(&claim.shard, owner.clone(), owner_version, row_bytes);
        let claimed_ms = clock::now().steady_ms;
        // The leases end later than the stored row says if the store was slow to carry the
        // claim out.
        let known = node.owner_row(&claim.shard);
        let leases_end_ms = known.map_or(owner.earlier_over_store_ms, |row| {
            row.earlier_over_store_ms.max(owner.earlier_over_store_ms)
        });
        let leases_end_ms = to_steady_ms(node, leases_end_ms);
        let requested_ms = clock::now().steady_ms;
        let mut reader = PoolReader::new(&claim.shard);
        let inbox = loop {
            if reader.read(node).await {
                let stored = reader.into_stored();
                let values = [&stored.workers, &stored.records, &stored.progress];
                for values in values.into_iter().chain([&stored.blocks]) {
                    writer.values_read(&values.rows);
                }
                let version = stored.inbox.version();
                let is_complete = !stored.inbox.are_many();
                let (rows, deferred_bytes) =
                    restore(node, &claim.shard, &mut scheduler, stored, leases_end_ms);
                let bounding = predecessor.as_ref().filter(|row| row.grants_by_quorum);
                if let Some(row) = bounding {
                    scheduler.bound_predecessor(PredecessorBounds {
                        replaced_ms: claimed_ms,
                        earlier_leases_end_ms: to_steady_ms(node, row.earlier_over_store_ms),
                        lease_expiry_ms: lease_expiry_ms(),
                    });
                }
                break RestoredInbox {
                    version,
                    requested_ms,
                    rows,
                    deferred_bytes: if is_complete { deferred_bytes } else { Some(0) },
                };
            }
            if !node.planner.borrow().owns(&claim.shard) {
                return;
            }
            info!(node.pool_log, "Reading a pool's rows failed; going on."; "pool" => &claim.shard,
                "rows" => reader.row_count(), "error" => node.store.last_failure());
            tokio::time::sleep(RETRY_DELAY).await;
        };
        let host = Rc::new(Self::new(node, &claim.shard, writer, scheduler));
        host.deferred_bytes.set(inbox.deferred_bytes);
        host.apply(|scheduler, _| scheduler.confirm_inbox(inbox.requested_ms));
        if inbox.deferred_bytes.is_none() {
            host.inbox_read_ms.set(inbox.requested_ms);
        }
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
            "inbox_rows" => inbox.rows,
            "took_ms" => clock::now().steady_ms - claimed_ms);
        node.request_heartbeat(Recipients::All);
        spawn_local(Rc::clone(&host).poll_registry());
        spawn_local(Rc::clone(&host).follow_inbox(inbox.version));
        if let Some(predecessor) = predecessor {
            spawn_local(Rc::clone(&host).watch_predecessor(predecessor));
        }
        spawn_local(host.run_passes());
    }

    /// Shortens the wait for the predecessor's leases once its process is known to
    /// have ended, or to have stopped to act on the pool.
    async fn watch_predecessor(self: Rc<Self>, predecessor: OwnerRow) {
        while !self.stopped.get() && self.scheduler.borrow().waits_for_predecessor() {
            let (has_ended, has_relinquished) = {
                let planner = self.node.planner.borrow();
                let has_relinquished = planner.has_relinquished(&self.pool, &predecessor);
                (planner.has_ended(&predecessor), has_relinquished)
            };
            if has_ended || has_relinquished {
                let leases_end_store_ms = self.node.earlier_leases_end_ms(Some(&predecessor), true);
                let leases_end_ms = to_steady_ms(&self.node, leases_end_store_ms);
                info!(self.log, "Predecessor has stopped."; "pool" => &self.pool,
                    "node" => &predecessor.node, "process_ended" => has_ended);
                self.apply(|scheduler, _| scheduler.predecessor_ended(leases_end_ms));
                return;
            }
            tokio::time::sleep(PREDECESSOR_CHECK_INTERVAL).await;
        }
    }

    /// Reads the workers' registry entries at intervals.
    async fn poll_registry(self: Rc<Self>) {
        let mut view = RegistryView::default();
        let mut unreadable_before = 0;
        while !self.stopped.get() {
            if view.refresh(&self.node.store).await {
                let entries = view.entries();
                let unreadable = view.unreadable();
                if unreadable != unreadable_before {
                    unreadable_before = unreadable;
                    info!(self.log, "Number of unreadable registry entries changed.";
                        "pool" => &self.pool, "unreadable" => unreadable,
                        "entries" => entries.len());
                }
                let available_since_ms = self.node.store.available_since_ms();
                let settled = clock::now().steady_ms
                    > available_since_ms.saturating_add(REGISTRY_SETTLE_MS)
                    || available_since_ms == 0;
                self.apply(|scheduler, now| scheduler.apply_registry(entries, settled, now));
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
}

/// Updates the limits of tenants, and the pools that run tasks.
pub(super) fn set_limits(scheduler: &mut PoolScheduler, catalog: &Catalog) {
    let pools = catalog.pools.values().filter(|pool| !pool.spare);
    let pools = pools.map(|pool| pool.name.as_str());
    scheduler.set_limits(catalog.version, catalog.tenants.as_ref(), pools);
}

/// Returns the longest pause after which the inbox need not be read before tasks are started:
/// its feed shows the cancellations by the time from which their jobs may not start.
fn max_pause_ms(cancel_ms: u64) -> u64 {
    cancel_ms * 2 / 3
}

/// Converts a time of the store's clock to one of the local monotonic clock.
fn to_steady_ms(node: &Rc<Node>, store_ms: u64) -> u64 {
    clock::now().steady_ms + store_ms.saturating_sub(node.store.clock_ms())
}

impl PoolReader {
    fn new(pool: &str) -> Self {
        Self {
            workers: PartitionReader::new(WORKER_TABLE, pool),
            records: PartitionReader::new(JOB_TABLE, pool),
            progress: PartitionReader::new(PROGRESS_TABLE, pool),
            blocks: PartitionReader::new(TASK_TABLE, pool),
            inbox: PartitionReader::new(INBOX_TABLE, pool),
            inbox_requests: InboxRequests::default(),
        }
    }

    /// Reads what is left. Returns `false` if a read fails.
    ///
    /// Few pools are read at the same time, one table after another: on a slow link all
    /// would be late, and heartbeats with them.
    async fn read(&mut self, node: &Rc<Node>) -> bool {
        let Ok(_permit) = node.restores.acquire().await else {
            return false;
        };
        let store = &node.store;
        self.workers.read(store).await
            && self.records.read(store).await
            && self.progress.read(store).await
            && self.blocks.read(store).await
            && self.read_inbox(node).await
    }

    /// Reads the inbox page by page, at least up to the last cancellation: no job may start
    /// whose cancellation was confirmed.
    async fn read_inbox(&mut self, node: &Rc<Node>) -> bool {
        while !self.inbox.is_complete() && !self.inbox_requests.are_many() {
            let Some(page) = self.inbox.read_page(&node.store).await else {
                return false;
            };
            self.inbox_requests.add(&node.pool_log, &page);
        }
        true
    }

    fn row_count(&self) -> usize {
        let readers = [&self.workers, &self.records, &self.progress];
        let readers = readers.into_iter().chain([&self.blocks, &self.inbox]);
        readers.into_iter().map(PartitionReader::row_count).sum()
    }

    fn into_stored(self) -> StoredPool {
        StoredPool {
            workers: self.workers.into_values(),
            records: self.records.into_values(),
            progress: self.progress.into_values(),
            blocks: self.blocks.into_values(),
            inbox: self.inbox_requests,
        }
    }
}

/// Restores a pool's workers and jobs, and applies its inbox: a job whose
/// cancellation was confirmed must not start.
fn restore(
    node: &Rc<Node>,
    pool: &str,
    scheduler: &mut PoolScheduler,
    stored: StoredPool,
    leases_end_ms: u64,
) -> (usize, Option<usize>) {
    let mut workers = stored.workers.rows.iter();
    let workers = workers.find_map(|row| decode::<Vec<WorkerRecord>>(row.value.as_deref()?));
    let workers = workers.unwrap_or_default();
    let worker_count = workers.len();
    scheduler.set_predecessor(workers, leases_end_ms);
    let progress = stored.progress.rows.into_iter();
    let mut progress: HashMap<String, Vec<u8>> = progress
        .filter_map(|row| Some((row.key.key, row.value?)))
        .collect();
    let mut blocks: BTreeMap<JobId, Vec<(TaskBlock, Vec<u8>)>> = BTreeMap::new();
    for row in stored.blocks.rows {
        if let (Ok(key), Some(value)) = (row.key.key.parse::<BlockKey>(), row.value) {
            blocks.entry(key.job).or_default().push((key.block, value));
        } else {
            warn!(node.pool_log, "Progress of tasks can't be decoded."; "pool" => pool);
        }
    }
    let mut count = 0;
    // Each row is dropped once it is restored: a pool may hold much of the memory.
    for row in stored.records.rows {
        let record = row.value.as_deref().and_then(decode::<JobRecord>);
        let id = row.key.key.parse::<JobId>().ok();
        let progress = progress.remove(&row.key.key);
        let progress = progress.and_then(|value| decode::<JobProgress>(&value));
        let is_final = progress.as_ref().is_some_and(|it| it.status.is_final());
        let spec = record.as_ref().and_then(|record| {
            if is_final {
                return Some(JobSpec::released());
            }
            JobSpec::try_from(record.job.clone()).ok()
        });
        let (Some(id), Some(mut record), Some(spec)) = (id, record, spec) else {
            warn!(node.pool_log, "Job can't be decoded."; "key" => &row.key.key);
            continue;
        };
        record.job = RawJob::default();
        let blocks = blocks.remove(&id).unwrap_or_default().into_iter();
        let blocks = blocks.filter_map(|(block, value)| Some((block, decode(&value)?)));
        let blocks: Vec<(TaskBlock, BlockProgress)> = blocks.collect();
        let progress = progress.unwrap_or_default();
        scheduler.restore_split(id, record, spec, progress, blocks, clock::now());
        count += 1;
    }
    info!(node.pool_log, "Restored a pool's jobs."; "pool" => pool, "jobs" => count,
        "workers" => worker_count);
    stored.inbox.apply(scheduler)
}
