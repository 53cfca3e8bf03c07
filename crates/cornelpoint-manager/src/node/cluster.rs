use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::ownership::Claim;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::state::Node;
use super::state::SkippedChecks;
use crate::clock;
use crate::fleet_host::FLEET_SHARD;
use crate::fleet_host::FleetHost;
use crate::pool_host::PoolHost;
use crate::store::CLUSTER_TABLE;
use crate::store::FeedOutcome;
use crate::store::OWNER_KEY;
use crate::store::STORE_HEARTBEAT_KEY;
use crate::store::STORE_HEARTBEAT_TABLE;
use crate::store::TransactionOutcome;
use crate::store::decode;
use crate::store::encode;
use crate::store::owner_row_key;

/// Long-poll wait for changes; each response also confirms the owner rows.
const FEED_WAIT_MS: u64 = 1000;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Added to the lease time when waiting for earlier leases to expire. Covers a
/// worker's clock that runs 2% slow, the worker's own delay, and the error of
/// the store's clock as estimated here.
const LEASE_MARGIN_MS: u64 = 350;
/// Longest time between two checks for shards to claim.
const MAX_CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two lines on skipped heartbeat checks of a shard.
const SKIPPED_CHECKS_INTERVAL_MS: u64 = 500;

/// A process as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRow {
    pub(super) address: String,
    pub(super) started_unix_ms: u64,
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

    fn apply_cluster_rows(self: &Rc<Self>, rows: &[Row]) {
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
                let mut addresses = self.peer_addresses.borrow_mut();
                addresses.insert(name.to_owned(), (node.address, now_ms));
            }
        }
        self.release_unhosted();
        self.planner_changed.notify_one();
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
        }
    }

    /// Claims vacant shards when it is this process's turn.
    pub(super) async fn claim_shards(self: Rc<Self>) {
        loop {
            let now_ms = clock::now().steady_ms;
            let ready =
                !self.leaving.get() && self.store.is_available() && self.confirmed_ms.get() > 0;
            let claims = if ready {
                self.planner.borrow().due_claims(now_ms)
            } else {
                Vec::new()
            };
            for claim in claims {
                if self.claiming.borrow_mut().insert(claim.shard.clone()) {
                    spawn_local(Rc::clone(&self).claim(claim));
                }
            }
            let next_ms = self.planner.borrow().next_claim_ms(clock::now().steady_ms);
            let pause = next_ms.map_or(MAX_CLAIM_INTERVAL, |next_ms| {
                clock::until(next_ms).min(MAX_CLAIM_INTERVAL)
            });
            tokio::select! {
                () = tokio::time::sleep(pause.max(Duration::from_millis(10))) => {}
                () = self.planner_changed.notified() => {}
            }
        }
    }

    async fn claim(self: Rc<Self>, claim: Claim) {
        if !claim.check_store_heartbeat || self.is_store_heartbeat_stale(&claim.shard).await {
            self.take_over(&claim).await;
        }
        self.claiming.borrow_mut().remove(&claim.shard);
    }

    /// Whether the store heartbeat of an unresponsive owner is stale, too.
    async fn is_store_heartbeat_stale(&self, shard: &str) -> bool {
        let settings = OwnershipSettings::default();
        let available_since_ms = self.store.available_since_ms();
        if clock::now().steady_ms
            < available_since_ms.saturating_add(settings.store_heartbeat_timeout_ms)
        {
            // After a store outage, allow owners a full timeout to write a new
            // heartbeat.
            self.log_skipped_check(shard, available_since_ms, false);
            return false;
        }
        let Some(row) = self
            .store
            .read_row(STORE_HEARTBEAT_TABLE, shard, STORE_HEARTBEAT_KEY)
            .await
        else {
            self.log_skipped_check(shard, available_since_ms, true);
            return false;
        };
        let heartbeat_ms: u64 = row
            .and_then(|row| decode(row.value.as_deref()?))
            .unwrap_or(0);
        let age_ms = self.store.clock_ms().saturating_sub(heartbeat_ms);
        let now_ms = clock::now().steady_ms;
        self.planner
            .borrow_mut()
            .store_heartbeat_read(shard, age_ms, now_ms);
        let stale = age_ms >= settings.store_heartbeat_timeout_ms;
        info!(self.main_log, "Owner unresponsive."; "shard" => shard, "beat_age_ms" => age_ms,
            "taking_over" => stale);
        stale
    }

    /// Logs that an unresponsive owner keeps its shard because its store heartbeat
    /// could not be checked.
    fn log_skipped_check(&self, shard: &str, available_since_ms: u64, read_failed: bool) {
        let now_ms = clock::now().steady_ms;
        let mut all = self.skipped_checks.borrow_mut();
        let skipped = all.entry(shard.to_owned()).or_default();
        skipped.count += 1;
        skipped.failed_reads += u64::from(read_failed);
        if now_ms < skipped.logged_ms + SKIPPED_CHECKS_INTERVAL_MS {
            return;
        }
        let failing = available_since_ms == u64::MAX;
        let failed_before = !failing && available_since_ms > 0;
        let available_for_ms = failed_before.then(|| now_ms.saturating_sub(available_since_ms));
        let error = if read_failed || failing {
            self.store.last_failure()
        } else {
            ""
        };
        info!(self.main_log, "Store heartbeat not checked."; "shard" => shard,
            "store_failing" => failing,
            "store_available_for_ms" => available_for_ms,
            "required_ms" => OwnershipSettings::default().store_heartbeat_timeout_ms,
            "read_failed" => read_failed, "error" => error, "checks" => skipped.count,
            "failed_reads" => skipped.failed_reads, "taking_over" => false);
        *skipped = SkippedChecks {
            logged_ms: now_ms,
            ..SkippedChecks::default()
        };
    }

    async fn take_over(self: &Rc<Self>, claim: &Claim) {
        let predecessor = {
            let planner = self.planner.borrow();
            planner.owner(&claim.shard).map(|(row, _)| row.clone())
        };
        let row = OwnerRow {
            node: self.settings.node.clone(),
            started_unix_ms: self.started_unix_ms,
            address: self.address.clone(),
            fencing_token: claim.fencing_token,
            earlier_over_store_ms: self
                .earlier_leases_end_ms(predecessor.as_ref(), claim.predecessor_ended),
            released: false,
        };
        let key = owner_row_key(&claim.shard);
        let transaction = Transaction {
            conditions: vec![(key.clone(), claim.expected_version)],
            writes: vec![(key, encode(&row))],
            ..Transaction::default()
        };
        let requested_ms = clock::now().steady_ms;
        let predecessor = self
            .planner
            .borrow()
            .owner(&claim.shard)
            .map(|(row, _)| row.clone());
        match self.store.transact(&transaction).await {
            TransactionOutcome::Committed { version } => {
                let now_ms = clock::now().steady_ms;
                self.planner.borrow_mut().owner_read(
                    &claim.shard,
                    Some(row.clone()),
                    version,
                    now_ms,
                );
                self.planner_changed.notify_one();
                self.metrics.takeovers.inc();
                info!(self.main_log, "Shard taken over."; "shard" => &claim.shard,
                    "fencing_token" => claim.fencing_token, "version" => version,
                    "predecessor_ended" => claim.predecessor_ended,
                    "took_ms" => now_ms - requested_ms);
                if claim.shard == FLEET_SHARD {
                    FleetHost::start(self, claim, &row, version).await;
                } else {
                    PoolHost::start(self, claim, predecessor, &row, version).await;
                }
            }
            TransactionOutcome::Conflict(rows) => self.apply_cluster_rows(&rows),
            outcome => {
                // If the claim was committed nevertheless, the feed returns the row.
                info!(self.main_log, "Claim not confirmed."; "shard" => &claim.shard,
                    "outcome" => ?outcome);
            }
        }
    }

    /// Returns when the leases of all earlier owners have expired, by the store's
    /// clock. `ended` says that the predecessor's process has ended or has
    /// released the shard; otherwise it may act on its ownership until it expires
    /// unconfirmed.
    pub(crate) fn earlier_leases_end_ms(&self, predecessor: Option<&OwnerRow>, ended: bool) -> u64 {
        let Some(predecessor) = predecessor else {
            return 0;
        };
        let unconfirmed_ms = if ended {
            0
        } else {
            OwnershipSettings::default().max_unconfirmed_ms
        };
        let lease_ms = SchedulerSettings::default().lease_ms + LEASE_MARGIN_MS;
        predecessor
            .earlier_over_store_ms
            .max(self.store.clock_ms() + unconfirmed_ms + lease_ms)
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
        let (row, version) = {
            let planner = self.planner.borrow();
            let owner = planner.owner(&shard).filter(|_| planner.owns(&shard));
            let Some((owner, version)) = owner else {
                return;
            };
            let released = OwnerRow {
                released: true,
                ..owner.clone()
            };
            (released, version)
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
