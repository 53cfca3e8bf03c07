use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::ownership::Recipients;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::state::Node;
use crate::clock;
use crate::fleet_host::FLEET_SHARD;
use crate::pool_host::PoolHost;
use crate::store::CLUSTER_TABLE;
use crate::store::FeedOutcome;
use crate::store::OWNER_KEY;
use crate::store::TransactionOutcome;
use crate::store::decode;
use crate::store::encode;
use crate::store::owner_row_key;

/// Long-poll wait for changes; each response also confirms the owner rows.
const FEED_WAIT_MS: u64 = 1000;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A process as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRow {
    pub(super) address: String,
    pub(super) started_unix_ms: u64,
    /// Memory that the process may use; 0 in rows of earlier versions.
    #[serde(default)]
    pub(super) memory_bytes: u64,
}

impl Node {
    /// Registers this process, then follows the rows of processes and shard
    /// owners.
    pub(super) async fn follow_cluster(self: Rc<Self>) {
        self.register().await;
        let mut after = None;
        loop {
            let requested_ms = clock::now().steady_ms;
            let Some(version) = after else {
                match self.read_cluster().await {
                    Some(version) => {
                        self.confirmed_ms.set(requested_ms);
                        after = Some(version);
                    }
                    None => tokio::time::sleep(RETRY_DELAY).await,
                }
                continue;
            };
            match self.store.feed(CLUSTER_TABLE, version, FEED_WAIT_MS).await {
                FeedOutcome::Changes(rows) => {
                    self.apply_cluster_rows(&rows.rows);
                    if !rows.has_more {
                        self.confirmed_ms.set(requested_ms);
                    }
                    after = Some(rows.version.max(version));
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn register(&self) {
        let row = NodeRow {
            address: self.address.clone(),
            started_unix_ms: self.started_unix_ms,
            memory_bytes: self.settings.memory_bytes,
        };
        let key = RowKey::new(CLUSTER_TABLE, "", format!("node/{}", self.settings.node));
        let transaction = Transaction {
            writes: vec![(key, encode(&row))],
            ..Transaction::default()
        };
        loop {
            match self.store.transact(&transaction).await {
                TransactionOutcome::Committed { .. } => return,
                outcome => {
                    warn!(self.main_log, "Registration failed; retrying."; "outcome" => ?outcome);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads all rows of processes and shard owners; returns the version from
    /// which to follow changes, or `None` if a read fails.
    async fn read_cluster(self: &Rc<Self>) -> Option<u64> {
        let nodes = self.store.read_all(CLUSTER_TABLE, "").await?;
        self.apply_cluster_rows(&nodes.rows);
        while self.catalog().is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let shards: Vec<String> = {
            let planner = self.planner.borrow();
            planner.shards().map(str::to_owned).collect()
        };
        for shard in shards {
            let rows = self.store.read_all(CLUSTER_TABLE, &shard).await?;
            self.apply_cluster_rows(&rows.rows);
        }
        Some(nodes.version)
    }

    pub(super) fn apply_cluster_rows(self: &Rc<Self>, rows: &[Row]) {
        let now_ms = clock::now().steady_ms;
        for row in rows {
            let Some(value) = &row.value else { continue };
            if row.key.key == OWNER_KEY {
                let Some(owner) = decode::<OwnerRow>(value) else {
                    warn!(self.main_log, "Owner row can't be decoded."; "shard" => &row.key.part);
                    continue;
                };
                self.apply_owner(&row.key.part, owner, row.version, now_ms);
            } else if let Some(name) = row.key.key.strip_prefix("node/")
                && let Some(node) = decode::<NodeRow>(value)
                && name != self.settings.node
            {
                self.note_memory(node.memory_bytes);
                let mut addresses = self.peer_addresses.borrow_mut();
                addresses.insert(name.to_owned(), (node.address, now_ms));
            }
        }
        self.release_unhosted();
        self.planner_changed.notify_one();
    }

    /// Takes note of the memory of another process, which may own a pool later.
    fn note_memory(&self, memory_bytes: u64) {
        if memory_bytes > 0 && memory_bytes < self.least_memory_bytes.get() {
            self.least_memory_bytes.set(memory_bytes);
            let Some(catalog) = self.catalog() else {
                return;
            };
            for host in self.hosts.borrow().values() {
                host.set_memory_limits(&catalog);
            }
        }
    }

    /// Releases shards that this process owns but does not host: a claim whose
    /// response was lost has been committed.
    fn release_unhosted(self: &Rc<Self>) {
        let owned: Vec<String> = {
            let planner = self.planner.borrow();
            let owned = planner.shards().filter(|shard| planner.owns(shard));
            owned.map(str::to_owned).collect()
        };
        for shard in owned {
            if !self.has_host(&shard) && !self.claiming.borrow().contains(&shard) {
                info!(self.main_log, "Releasing a shard that is owned but not hosted.";
                    "shard" => &shard);
                spawn_local(Rc::clone(self).release(shard));
            }
        }
    }

    fn apply_owner(self: &Rc<Self>, shard: &str, owner: OwnerRow, version: u64, now_ms: u64) {
        info!(self.main_log, "Owner row read."; "shard" => shard, "node" => &owner.node,
            "fencing_token" => owner.fencing_token, "version" => version,
            "released" => owner.released);
        let mut planner = self.planner.borrow_mut();
        planner.owner_read(shard, Some(owner), version, now_ms);
        let is_owner = planner.owns(shard);
        drop(planner);
        if !is_owner {
            self.stop_hosting(shard, "owned by another process");
        }
    }

    fn has_host(&self, shard: &str) -> bool {
        if shard == FLEET_SHARD {
            self.fleet.borrow().is_some()
        } else {
            self.hosts.borrow().contains_key(shard)
        }
    }

    /// Stops hosting a shard in this process. Does not write the owner row.
    pub(crate) fn stop_hosting(&self, shard: &str, reason: &str) {
        if shard == FLEET_SHARD {
            if let Some(fleet) = self.fleet.take() {
                info!(self.main_log, "Stopped hosting the fleet."; "why" => reason);
                fleet.stop();
            }
            return;
        }
        let host = self.hosts.borrow_mut().remove(shard);
        if let Some(host) = host {
            info!(self.main_log, "Stopped hosting a shard."; "shard" => shard, "why" => reason);
            host.stop();
            let mut relinquished = self.relinquished.borrow_mut();
            relinquished.insert(shard.to_owned(), host.fencing_token);
            drop(relinquished);
            self.request_heartbeat(Recipients::All);
        }
    }

    /// Writes the store heartbeats of the owned shards. Releases pools for which
    /// this process reaches the store, but neither most peers nor most workers.
    pub(super) async fn write_store_heartbeats(self: Rc<Self>) {
        let interval_ms = OwnershipSettings::default().store_heartbeat_interval_ms;
        loop {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            let hosts: Vec<Rc<PoolHost>> = self.hosts.borrow().values().cloned().collect();
            let isolated = !self
                .planner
                .borrow()
                .most_peers_responsive(clock::now().steady_ms);
            for host in hosts {
                if isolated && self.store.is_available() && host.has_lost_most_workers() {
                    self.stop_hosting(&host.pool, "isolated from peers and workers");
                    spawn_local(Rc::clone(&self).release(host.pool.clone()));
                } else if host.needs_heartbeat(interval_ms) {
                    spawn_local(host.write_heartbeat());
                }
            }
            let fleet = self.fleet.borrow().clone();
            if let Some(fleet) = fleet {
                spawn_local(fleet.write_heartbeat());
            }
        }
    }

    /// Releases all shards, so that other processes can claim them at once.
    pub(super) async fn release_shards(self: &Rc<Self>) {
        if let Some(fleet) = self.fleet.take() {
            fleet.stop();
            Rc::clone(self).release(FLEET_SHARD.to_owned()).await;
        }
        let hosts: BTreeMap<String, Rc<PoolHost>> = std::mem::take(&mut *self.hosts.borrow_mut());
        for (shard, host) in hosts {
            host.wait_for_pending_commits().await;
            host.stop();
            Rc::clone(self).release(shard).await;
        }
    }

    async fn release(self: Rc<Self>, shard: String) {
        let version = {
            let planner = self.planner.borrow();
            let owner = planner.owner(&shard).filter(|_| planner.owns(&shard));
            owner.map(|(_, version)| version)
        };
        let (Some(version), Some(owner)) = (version, self.owner_row(&shard)) else {
            return;
        };
        let row = OwnerRow {
            earlier_ended: true,
            released: true,
            ..owner
        };
        let key = owner_row_key(&shard);
        let transaction = Transaction {
            conditions: vec![(key.clone(), version)],
            writes: vec![(key, encode(&row))],
            ..Transaction::default()
        };
        let outcome = self.store.transact(&transaction).await;
        info!(self.main_log, "Shard released."; "shard" => shard, "outcome" => ?outcome);
    }
}
