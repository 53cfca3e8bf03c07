use std::collections::BTreeMap;

use super::claim_action::ClaimAction;
use super::period::Period;
use super::row_name::ClaimRowName;
use super::store_request::StoreCall;
use super::store_request::StoreRequestId;
use super::update::Purpose;
use super::update::Update;
use crate::platform::Key;
use crate::platform::Transaction;

/// Updates that one call of the store is about.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub(super) updates: Vec<Update>,
}

impl Batch {
    /// The transaction that writes all updates.
    pub(super) fn transaction(&mut self, period: Period) -> StoreCall {
        let mut transaction = Transaction::default();
        for update in &mut self.updates {
            update.aim(period);
            transaction.conditions.extend(update.conditions(period));
            transaction.writes.extend(update.writes());
        }
        StoreCall::Transact(transaction)
    }

    /// The rows that show what became of the updates.
    pub(super) fn read_back(&self, period: Period) -> StoreCall {
        let keys = self.updates.iter().flat_map(|u| keys_of(u, period));
        StoreCall::Read(keys.collect())
    }

    /// Tells the requests whose time is over, and goes on without them.
    pub(super) fn abandon(&mut self, patience_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for update in &mut self.updates {
            let Purpose::Claim(id) = update.purpose else {
                continue;
            };
            if now_ms >= update.give_up_ms {
                actions.push(ClaimAction::Unavailable { id });
                update.purpose = Purpose::AbandonedClaim;
                update.give_up_ms = now_ms + patience_ms;
            }
        }
        actions
    }
}

fn keys_of(update: &Update, period: Period) -> Vec<Key> {
    let mut keys = update.row_name.keys_around(period);
    let found = update.found.iter().map(|f| &f.key);
    for key in found.chain(&update.target) {
        if !keys.contains(key) {
            keys.push(key.clone());
        }
    }
    keys
}

/// Batches whose calls run or whose outcome must be read back.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenBatches {
    running: BTreeMap<StoreRequestId, Batch>,
    lost: Vec<Batch>,
}

impl OpenBatches {
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    pub(super) fn start(&mut self, id: StoreRequestId, batch: Batch) {
        self.running.insert(id, batch);
    }

    pub(super) fn end(&mut self, id: StoreRequestId) -> Option<Batch> {
        self.running.remove(&id)
    }

    pub(super) fn lose(&mut self, batch: Batch) {
        self.lost.push(batch);
    }

    pub(super) fn take_lost(&mut self) -> Option<Batch> {
        self.lost.pop()
    }

    /// Whether a row of the place may be changing.
    pub(super) fn holds(&self, row_name: &ClaimRowName) -> bool {
        self.updates().any(|u| u.row_name == *row_name)
    }

    pub(super) fn updates(&self) -> impl Iterator<Item = &Update> {
        let batches = self.running.values().chain(&self.lost);
        batches.flat_map(|batch| &batch.updates)
    }

    /// Tells the requests whose time is over, and forgets lost updates that
    /// have been tried for long enough.
    pub(super) fn expire(&mut self, patience_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for batch in self.running.values_mut().chain(&mut self.lost) {
            actions.extend(batch.abandon(patience_ms, now_ms));
        }
        for batch in &mut self.lost {
            batch.updates.retain(|u| now_ms < u.give_up_ms);
        }
        self.lost.retain(|batch| !batch.updates.is_empty());
        actions
    }
}
