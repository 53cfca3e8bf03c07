use std::rc::Rc;
use std::time::Duration;

use cornelpoint::ownership::Claim;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint_platform::store::Transaction;
use slog::info;
use tokio::task::spawn_local;

use super::state::Node;
use super::state::SkippedChecks;
use crate::clock;
use crate::fleet_host::FLEET_SHARD;
use crate::fleet_host::FleetHost;
use crate::pool_host::PoolHost;
use crate::store::STORE_HEARTBEAT_KEY;
use crate::store::STORE_HEARTBEAT_TABLE;
use crate::store::TransactionOutcome;
use crate::store::decode;
use crate::store::encode;
use crate::store::owner_row_key;

/// Added to the lease time when waiting for earlier leases to expire. Covers a
/// worker's clock that runs 2% slow, the worker's own delay, and the error of
/// the store's clock as estimated here.
const LEASE_MARGIN_MS: u64 = 350;
/// Longest time between two checks for shards to claim.
const MAX_CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two lines on skipped heartbeat checks of a shard.
const SKIPPED_CHECKS_INTERVAL_MS: u64 = 500;

impl Node {
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
        let predecessor = self.owner_row(&claim.shard);
        let row = OwnerRow {
            node: self.settings.node.clone(),
            started_unix_ms: self.started_unix_ms,
            address: self.address.clone(),
            fencing_token: claim.fencing_token,
            earlier_over_store_ms: self
                .earlier_leases_end_ms(predecessor.as_ref(), claim.predecessor_ended),
            earlier_ended: predecessor.is_none() || claim.predecessor_ended,
            grants_by_quorum: true,
            released: false,
        };
        let key = owner_row_key(&claim.shard);
        let transaction = Transaction {
            conditions: vec![(key.clone(), claim.expected_version)],
            writes: vec![(key, encode(&row))],
            ..Transaction::default()
        };
        let requested_ms = clock::now().steady_ms;
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

    /// Returns the newest known row of a shard's owner. The leases of earlier owners end
    /// as late as is possible by the time at which the row was read.
    pub(crate) fn owner_row(&self, shard: &str) -> Option<OwnerRow> {
        let planner = self.planner.borrow();
        let (row, _) = planner.owner(shard)?;
        let mut row = row.clone();
        if let Some(act_until_ms) = planner.earlier_owners_act_until_ms(shard) {
            let leases_end_ms = (self.store.clock_ms() + act_until_ms + lease_expiry_ms())
                .saturating_sub(clock::now().steady_ms);
            row.earlier_over_store_ms = row.earlier_over_store_ms.max(leases_end_ms);
        }
        Some(row)
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
        predecessor
            .earlier_over_store_ms
            .max(self.store.clock_ms() + unconfirmed_ms + lease_expiry_ms())
    }
}

/// Longest time after which a lease that is granted now has expired.
pub(crate) fn lease_expiry_ms() -> u64 {
    SchedulerSettings::default().lease_ms + LEASE_MARGIN_MS
}
