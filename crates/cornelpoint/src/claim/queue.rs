use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::batch::Batch;
use super::batch::OpenBatches;
use super::claim_action::ClaimAction;
use super::settings::ClaimSettings;
use super::update::Purpose;
use super::update::Update;

/// Updates that wait for a transaction.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    waiting: VecDeque<Update>,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether an update waits whose row no call is changing.
    pub(super) fn has_ready(&self, open: &OpenBatches) -> bool {
        self.waiting.iter().any(|u| !open.holds(&u.row_name))
    }

    /// Whether one more claim may wait.
    pub(super) fn takes_claim(&self, settings: &ClaimSettings) -> bool {
        let claims = self.waiting.iter().filter(|u| is_claim(u)).count();
        claims < settings.queued_claims
    }

    pub(super) fn push(&mut self, update: Update) {
        self.waiting.push_back(update);
    }

    pub(super) fn push_front(&mut self, update: Update) {
        self.waiting.push_front(update);
    }

    /// Puts a settlement or a release in the queue, if there is room.
    pub(super) fn push_end(&mut self, update: Update, settings: &ClaimSettings) {
        let ends = || self.waiting.iter().filter(|u| !is_claim(u));
        let bytes = ends().map(Update::bytes).sum::<usize>() + update.bytes();
        if ends().count() < settings.queued_settlements && bytes <= settings.queued_answer_bytes {
            self.waiting.push_back(update);
        }
    }

    /// Takes updates for one transaction, at most one of each place.
    pub(super) fn take_batch(&mut self, open: &OpenBatches, settings: &ClaimSettings) -> Batch {
        let mut batch = Batch::default();
        let mut places = BTreeSet::new();
        let mut bytes = 0;
        let mut passed_over = VecDeque::new();
        while let Some(update) = self.waiting.pop_front() {
            let is_full = batch.updates.len() >= settings.batch_rows
                || (bytes + update.bytes() > settings.batch_bytes && bytes > 0);
            let is_busy = places.contains(&update.row_name) || open.holds(&update.row_name);
            if is_full || is_busy {
                places.insert(update.row_name.clone());
                passed_over.push_back(update);
            } else {
                bytes += update.bytes();
                places.insert(update.row_name.clone());
                batch.updates.push(update);
            }
            if is_full {
                break;
            }
        }
        passed_over.append(&mut self.waiting);
        self.waiting = passed_over;
        batch
    }

    /// Removes what has waited for too long. A claim that may have taken
    /// effect stays, as a release.
    pub(super) fn expire(&mut self, patience_ms: u64, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let mut kept = VecDeque::new();
        for update in self.waiting.drain(..) {
            if now_ms < update.give_up_ms {
                kept.push_back(update);
                continue;
            }
            if let Purpose::Claim(id) = update.purpose {
                actions.push(ClaimAction::Unavailable { id });
                if update.is_attempted {
                    kept.push_back(update.into_release(now_ms + patience_ms));
                }
            }
        }
        self.waiting = kept;
        actions
    }

    /// Time at which the next update has waited for too long.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting.iter().map(|u| u.give_up_ms).min()
    }
}

fn is_claim(update: &Update) -> bool {
    matches!(update.purpose, Purpose::Claim(_))
}
