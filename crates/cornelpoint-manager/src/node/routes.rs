use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::catalog::RouteHistory;
use cornelpoint::catalog::RouteTarget;
use cornelpoint::job::JobId;
use cornelpoint_platform::operator;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use slog::info;
use slog::warn;
use tokio::sync::Mutex;
use tokio::sync::Notify;

use super::state::Node;
use crate::store::ROUTE_TABLE;
use crate::store::TransactionOutcome;
use crate::store::decode;
use crate::store::encode;

/// Delay before a failed read or write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of targets that are recorded before a caller needs them: the size of a
/// configuration of a large deployment. A configuration that adds more has mostly routes that
/// are not used at once.
const MAX_EAGER_TARGETS: usize = 2000;
/// Targets of a row; some 50 KB.
const TARGETS_PER_ROW: usize = 400;

/// What this process knows of the targets of routes.
///
/// A process records the target of a route before it first submits a job there, on the
/// condition that its configuration is the newest. One that has read the records after it
/// has got its configuration thus knows all pools in which an earlier configuration may have
/// put a job.
#[derive(Default)]
pub(super) struct RouteState {
    history: RefCell<RouteHistory>,
    /// Version of the store's row of the configuration.
    row_version: Cell<u64>,
    /// Configuration after whose arrival the records were read.
    read_for: Cell<u64>,
    /// Held while records are read or written.
    sync: Mutex<()>,
    changed: Notify,
}

impl Node {
    /// Takes note of the version of the configuration's row.
    pub(super) fn configuration_row_read(&self, row_version: u64) {
        self.routes.row_version.set(row_version);
    }

    /// Has the records read for the configuration in force.
    pub(super) fn routes_changed(&self) {
        self.routes.changed.notify_one();
    }

    /// Reads the records for each configuration, and records its targets if they are few.
    pub(super) async fn follow_routes(self: Rc<Self>) {
        loop {
            let version = self.catalog().map_or(0, |catalog| catalog.version);
            if version > self.routes.read_for.get() && !self.sync_routes(None).await {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            self.routes.changed.notified().await;
        }
    }

    /// Whether jobs may be submitted to a queue: its target is recorded, and so are known
    /// all pools that the requests may have led to before.
    pub(crate) async fn is_route_recorded(&self, queue: &Queue) -> bool {
        let is_recorded = || {
            let version = self.catalog().map_or(0, |catalog| catalog.version);
            self.routes.read_for.get() == version && self.routes.history.borrow().contains(queue)
        };
        is_recorded() || (self.sync_routes(Some(queue)).await && is_recorded())
    }

    /// Returns the job that a request is about, and the pools where it may be.
    pub(crate) fn job_homes(&self, host: &str, path: &str) -> Option<(JobId, Vec<String>)> {
        let history = self.routes.history.borrow();
        let (job, pools) = history.job_at(host, path)?;
        Some((job, pools.into_iter().map(str::to_owned).collect()))
    }

    /// Returns the queues whose jobs callers of a queue have submitted, with their pools.
    pub(crate) fn counted_queues(&self, queue: &Queue) -> BTreeSet<(String, String)> {
        let history = self.routes.history.borrow();
        let targets = history.targets_of(&queue.host, &queue.path_prefix);
        let targets = targets.map(|(name, pool)| (name.to_owned(), pool.to_owned()));
        let current = (queue.name.clone(), queue.pool.clone());
        targets.chain([current]).collect()
    }

    /// Reads the records, unless that is done for the configuration in force, and adds the
    /// target of a queue, or all if they are few. Returns `false` if that fails.
    async fn sync_routes(&self, queue: Option<&Queue>) -> bool {
        let _only = self.routes.sync.lock().await;
        let Some(catalog) = self.catalog() else {
            return false;
        };
        let row_version = self.routes.row_version.get();
        if self.routes.read_for.get() != catalog.version {
            let Some(rows) = self.store.read_all(ROUTE_TABLE, "").await else {
                return false;
            };
            let mut history = self.routes.history.borrow_mut();
            for row in &rows.rows {
                let targets = row.value.as_deref().map(decode::<Vec<RouteTarget>>);
                let Some(targets) = targets.flatten() else {
                    warn!(self.main_log, "Record of routes can't be decoded.";
                        "key" => &row.key.key);
                    continue;
                };
                for target in targets {
                    history.add(target);
                }
            }
            drop(history);
            self.routes.read_for.set(catalog.version);
        }
        let mut missing = self.routes.history.borrow().missing(&catalog);
        if missing.len() > MAX_EAGER_TARGETS {
            let target = queue.map(RouteTarget::of);
            missing.retain(|missing| Some(missing) == target.as_ref());
        }
        if missing.is_empty() {
            return true;
        }
        let rows = missing.chunks(TARGETS_PER_ROW).map(|targets| {
            // Rows with equal keys are equal, so that none replaces another one.
            let value = encode(&targets);
            let key = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&value));
            (RowKey::new(ROUTE_TABLE, "", key), value)
        });
        let configuration = RowKey::new(operator::TABLE, "", operator::CATALOG_KEY);
        let transaction = Transaction {
            conditions: vec![(configuration, row_version)],
            writes: rows.collect(),
            ..Transaction::default()
        };
        let outcome = self.store.transact(&transaction).await;
        let is_stored = matches!(outcome, TransactionOutcome::Committed { .. });
        if is_stored {
            let mut history = self.routes.history.borrow_mut();
            let count = missing.len();
            for target in missing {
                history.add(target);
            }
            info!(self.main_log, "Targets of routes recorded."; "version" => catalog.version,
                "targets" => count);
        } else {
            warn!(self.main_log, "Targets of routes not recorded."; "version" => catalog.version,
                "outcome" => ?outcome);
        }
        is_stored
    }
}
