use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::batch::Batch;
use super::batch::OpenBatches;
use super::claim_action::ClaimAction;
use super::row_update::Purpose;
use super::row_update::RowUpdate;
use super::settings::ClaimSettings;

/// Row updates that wait to be written.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    waiting: VecDeque<RowUpdate>,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether an update waits whose row is in no open batch.
    pub(super) fn has_ready(&self, open: &OpenBatches) -> bool {
        self.waiting.iter().any(|u| !open.contains(&u.row_name))
    }

    /// Returns whether another claim may be queued.
    pub(super) fn has_room_for_claim(&self, settings: &ClaimSettings) -> bool {
        let claims = self.waiting.iter().filter(|u| is_claim(u)).count();
        claims < settings.max_queued_claims
    }

    pub(super) fn push(&mut self, update: RowUpdate) {
        self.waiting.push_back(update);
    }

    pub(super) fn push_front(&mut self, update: RowUpdate) {
        self.waiting.push_front(update);
    }

    /// Queues a settlement or a release; drops it if the queue is full.
    pub(super) fn push_settlement(&mut self, update: RowUpdate, settings: &ClaimSettings) {
        let settlements = || self.waiting.iter().filter(|u| !is_claim(u));
        let bytes = settlements().map(RowUpdate::bytes).sum::<usize>() + update.bytes();
        if settlements().count() < settings.max_queued_settlements
            && bytes <= settings.max_queued_answer_bytes
        {
            self.waiting.push_back(update);
        }
    }

    /// Takes updates for one transaction, at most one for each row name.
    ///
    /// Updates of the same row keep their order.
    pub(super) fn take_batch(&mut self, open: &OpenBatches, settings: &ClaimSettings) -> Batch {
        let mut batch = Batch::default();
        let mut row_names = BTreeSet::new();
        let mut bytes = 0;
        let mut skipped = VecDeque::new();
        while let Some(update) = self.waiting.pop_front() {
            let is_full = batch.updates.len() >= settings.max_batch_rows
                || (bytes + update.bytes() > settings.max_batch_bytes && bytes > 0);
            let is_busy = row_names.contains(&update.row_name) || open.contains(&update.row_name);
            if is_full || is_busy {
                row_names.insert(update.row_name.clone());
                skipped.push_back(update);
            } else {
                bytes += update.bytes();
                row_names.insert(update.row_name.clone());
                batch.updates.push(update);
            }
            if is_full {
                break;
            }
        }
        skipped.append(&mut self.waiting);
        self.waiting = skipped;
        batch
    }

    /// Removes the updates that have expired and rejects their requests.
    ///
    /// A claim that may have taken effect becomes a release.
    pub(super) fn expire(&mut self, timeout_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let mut kept = VecDeque::new();
        for update in self.waiting.drain(..) {
            if now_ms < update.expires_at_ms {
                kept.push_back(update);
                continue;
            }
            if let Purpose::Claim(id) = update.purpose {
                actions.push(ClaimAction::Unavailable { id });
                if update.may_have_committed {
                    kept.push_back(update.into_release(now_ms + timeout_ms));
                }
            }
        }
        self.waiting = kept;
        actions
    }

    /// Returns the time at which the next update expires.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting.iter().map(|u| u.expires_at_ms).min()
    }
}

fn is_claim(update: &RowUpdate) -> bool {
    matches!(update.purpose, Purpose::Claim(_))
}
