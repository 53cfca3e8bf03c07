use std::collections::BTreeMap;

use super::claim_action::ClaimAction;
use super::period::Period;
use super::row_name::ClaimRowName;
use super::row_update::Purpose;
use super::row_update::RowUpdate;
use super::store_request::StoreCall;
use super::store_request::StoreRequestId;
use crate::platform::Key;
use crate::platform::Transaction;

/// Row updates that one store call writes or reads back.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub(super) updates: Vec<RowUpdate>,
}

impl Batch {
    /// Returns the transaction that writes all updates, and records the row that
    /// each of them targets.
    pub(super) fn transaction(&mut self, period: Period) -> StoreCall {
        let mut transaction = Transaction::default();
        for update in &mut self.updates {
            update.set_target(period);
            transaction.conditions.extend(update.conditions(period));
            transaction.writes.extend(update.writes());
        }
        StoreCall::Transact(transaction)
    }

    /// Returns the read that shows which updates took effect.
    pub(super) fn read_back(&self, period: Period) -> StoreCall {
        let keys = self.updates.iter().flat_map(|u| read_back_keys(u, period));
        StoreCall::Read(keys.collect())
    }

    /// Rejects the requests whose claims have expired.
    ///
    /// Their updates remain as abandoned claims for another `timeout_ms`, since
    /// the store may still apply them.
    pub(super) fn abandon_expired(&mut self, timeout_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for update in &mut self.updates {
            let Purpose::Claim(id) = update.purpose else {
                continue;
            };
            if now_ms >= update.expires_at_ms {
                actions.push(ClaimAction::Unavailable { id });
                update.purpose = Purpose::AbandonedClaim;
                update.expires_at_ms = now_ms + timeout_ms;
            }
        }
        actions
    }
}

fn read_back_keys(update: &RowUpdate, period: Period) -> Vec<Key> {
    let mut keys = update.row_name.keys_around(period);
    let existing = update.existing.iter().map(|e| &e.key);
    for key in existing.chain(&update.target) {
        if !keys.contains(key) {
            keys.push(key.clone());
        }
    }
    keys
}

/// Batches whose store call is running or whose outcome is unknown.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenBatches {
    running: BTreeMap<StoreRequestId, Batch>,
    /// Batches whose outcome must be read back.
    unknown: Vec<Batch>,
}

impl OpenBatches {
    pub(super) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(super) fn has_unknown(&self) -> bool {
        !self.unknown.is_empty()
    }

    pub(super) fn add_running(&mut self, id: StoreRequestId, batch: Batch) {
        self.running.insert(id, batch);
    }

    pub(super) fn take_running(&mut self, id: StoreRequestId) -> Option<Batch> {
        self.running.remove(&id)
    }

    pub(super) fn add_unknown(&mut self, batch: Batch) {
        self.unknown.push(batch);
    }

    pub(super) fn take_unknown(&mut self) -> Option<Batch> {
        self.unknown.pop()
    }

    /// Returns whether an open batch has an update of this row.
    pub(super) fn contains(&self, row_name: &ClaimRowName) -> bool {
        self.updates().any(|u| u.row_name == *row_name)
    }

    pub(super) fn updates(&self) -> impl Iterator<Item = &RowUpdate> {
        let batches = self.running.values().chain(&self.unknown);
        batches.flat_map(|batch| &batch.updates)
    }

    /// Rejects the requests whose claims have expired, and drops expired
    /// updates whose outcome is still unknown.
    pub(super) fn expire(&mut self, timeout_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for batch in self.running.values_mut().chain(&mut self.unknown) {
            actions.extend(batch.abandon_expired(timeout_ms, now_ms));
        }
        for batch in &mut self.unknown {
            batch.updates.retain(|u| now_ms < u.expires_at_ms);
        }
        self.unknown.retain(|batch| !batch.updates.is_empty());
        actions
    }
}
