use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::batch::Batch;
use super::batch::OpenBatches;
use super::claim_action::ClaimAction;
use super::claim_request::ClaimId;
use super::claim_request::ClaimRequest;
use super::claimant::Claimant;
use super::held_claim::HeldClaim;
use super::held_claim::SendPermit;
use super::held_claim::Settlement;
use super::judgement::Judgement;
use super::judgement::judge;
use super::pacing::Pacing;
use super::period::Period;
use super::queue::UpdateQueue;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::settings::ClaimSettings;
use super::store_request::StoreRequest;
use super::store_request::StoreRequestId;
use super::update::FoundRow;
use super::update::Purpose;
use super::update::Update;
use crate::platform::Row;

/// Claims keys in the platform's table, many in one transaction.
///
/// The owner submits claims, carries out the calls that
/// [`next_request`](Self::next_request) names, reports what became of them,
/// and calls [`expire`](Self::expire) when
/// [`next_wake_ms`](Self::next_wake_ms) has come. A claim is granted only when
/// the store is known to hold it. A transaction whose outcome was lost is read
/// back; a claim that may have taken effect after its request was refused is
/// released by a conditional write, which also stops a write that is still on
/// its way. A row that conflicts leaves the batch, and the others go on.
///
/// All times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    claimant: Claimant,
    settings: ClaimSettings,
    random: ChaCha8Rng,
    pacing: Pacing,
    queue: UpdateQueue,
    open: OpenBatches,
    next_id: u64,
}

impl ClaimBatcher {
    /// A batcher without claims; `random` gives nonces and pauses.
    #[must_use]
    pub fn new(claimant: Claimant, settings: ClaimSettings, random: ChaCha8Rng) -> Self {
        Self {
            claimant,
            pacing: Pacing::new(&settings, random.clone()),
            settings,
            random,
            queue: UpdateQueue::default(),
            open: OpenBatches::default(),
            next_id: 0,
        }
    }

    /// Puts a claim in the queue, or says that it can't be taken.
    pub fn submit(&mut self, request: ClaimRequest, now_ms: u64) -> Option<ClaimAction> {
        if now_ms >= request.decide_by_ms || !self.queue.takes_claim(&self.settings) {
            return Some(ClaimAction::Unavailable { id: request.id });
        }
        let row = ClaimRow {
            claimant: self.claimant.clone(),
            nonce: self.random.next_u64(),
            fingerprint: request.fingerprint,
            claimed_at_ms: now_ms,
            deadline_ms: request.deadline_ms,
            state: ClaimState::Claimed,
        };
        self.queue.push(Update {
            row_name: request.row_name,
            purpose: Purpose::Claim(request.id),
            row,
            found: Vec::new(),
            give_up_ms: request.decide_by_ms,
            is_attempted: false,
            target: None,
        });
        None
    }

    /// Writes what became of a request that may have been sent.
    pub fn settle(&mut self, permit: SendPermit, settlement: Settlement, now_ms: u64) {
        let state = match settlement {
            Settlement::Answered(answer) => ClaimState::Answered { answer },
            Settlement::Unresolved => ClaimState::Unresolved,
        };
        self.end(permit.claim, Purpose::Settle, state, now_ms);
    }

    /// Writes that a claimed request was not run, so that a repeat may run.
    pub fn release(&mut self, claim: HeldClaim, now_ms: u64) {
        self.end(claim, Purpose::Release, ClaimState::Released, now_ms);
    }

    /// The next call of the store, if one is due.
    pub fn next_request(&mut self, now_ms: u64) -> Option<StoreRequest> {
        let is_full = self.open.running() >= self.settings.max_concurrent_calls;
        if is_full || !self.pacing.may_call(now_ms) {
            return None;
        }
        let period = Period::at(now_ms);
        if let Some(batch) = self.open.take_lost() {
            let call = batch.read_back(period);
            let id = self.start(batch);
            return Some(StoreRequest { id, call });
        }
        let mut batch = self.take_batch(now_ms)?;
        let call = batch.transaction(period);
        let id = self.start(batch);
        Some(StoreRequest { id, call })
    }

    /// Takes in that a transaction took effect.
    pub fn on_committed(&mut self, id: StoreRequestId, now_ms: u64) -> Vec<ClaimAction> {
        self.pacing.record_answer();
        let batch = self.open.end(id).unwrap_or_default();
        let mut actions = Vec::new();
        for update in batch.updates {
            if let Some(found) = update.written() {
                actions.extend(self.finish(update, found, now_ms));
            }
        }
        actions
    }

    /// Takes in that a transaction did not take effect, with the rows of its
    /// conditions.
    pub fn on_conflict(
        &mut self,
        id: StoreRequestId,
        current: &[Row],
        now_ms: u64,
    ) -> Vec<ClaimAction> {
        self.judge_batch(id, current, now_ms)
    }

    /// Takes in the rows that a read found.
    pub fn on_read(&mut self, id: StoreRequestId, rows: &[Row], now_ms: u64) -> Vec<ClaimAction> {
        self.judge_batch(id, rows, now_ms)
    }

    /// Takes in that the outcome of a call is unknown.
    pub fn on_outcome_unknown(&mut self, id: StoreRequestId, now_ms: u64) {
        self.pacing.record_loss(now_ms);
        let Some(mut batch) = self.open.end(id) else {
            return;
        };
        for update in &mut batch.updates {
            update.is_attempted = true;
        }
        self.open.lose(batch);
    }

    /// Takes in that a call can't have reached the store.
    pub fn on_not_sent(&mut self, id: StoreRequestId, now_ms: u64) {
        self.pacing.record_loss(now_ms);
        let Some(batch) = self.open.end(id) else {
            return;
        };
        if batch.updates.iter().any(|u| u.is_attempted) {
            self.open.lose(batch);
            return;
        }
        for update in batch.updates.into_iter().rev() {
            self.queue.push_front(update);
        }
    }

    /// Refuses the claims whose time is over.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let patience_ms = self.settings.settlement_patience_ms;
        let mut actions = self.queue.expire(patience_ms, now_ms);
        actions.extend(self.open.expire(patience_ms, now_ms));
        actions
    }

    /// Time at which something is due, if nothing happens before.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        let is_full = self.open.running() >= self.settings.max_concurrent_calls;
        let read = self.open.has_lost().then(|| self.pacing.next_read_ms());
        let has_ready = self.queue.has_ready(&self.open);
        let write = has_ready.then(|| self.pacing.next_write_ms());
        let call = read.into_iter().chain(write).min().filter(|_| !is_full);
        let open = self.open.updates().map(|u| u.give_up_ms).min();
        let expiry = self.queue.next_expiry_ms();
        [call, open, expiry].into_iter().flatten().min()
    }

    /// Rows that wait to be written or whose write is not over.
    #[must_use]
    pub fn open_rows(&self) -> usize {
        self.queue.len() + self.open.updates().count()
    }

    /// Whether nothing waits and no call runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.open.updates().next().is_none()
    }

    fn end(&mut self, claim: HeldClaim, purpose: Purpose, state: ClaimState, now_ms: u64) {
        let mut row = claim.row;
        row.state = state;
        let update = Update {
            row_name: claim.row_name,
            purpose,
            row,
            found: vec![claim.found],
            give_up_ms: now_ms + self.settings.settlement_patience_ms,
            is_attempted: false,
            target: None,
        };
        self.queue.push_end(update, &self.settings);
    }

    fn take_batch(&mut self, now_ms: u64) -> Option<Batch> {
        if self.queue.is_empty() || now_ms < self.pacing.next_write_ms() {
            return None;
        }
        let batch = self.queue.take_batch(&self.open, &self.settings);
        let has_work = !batch.updates.is_empty();
        (has_work && self.pacing.take_write(now_ms)).then_some(batch)
    }

    fn start(&mut self, batch: Batch) -> StoreRequestId {
        let id = StoreRequestId(self.next_id);
        self.next_id += 1;
        self.open.start(id, batch);
        id
    }

    fn judge_batch(&mut self, id: StoreRequestId, rows: &[Row], now_ms: u64) -> Vec<ClaimAction> {
        self.pacing.record_answer();
        let batch = self.open.end(id).unwrap_or_default();
        let mut actions = Vec::new();
        for update in batch.updates.into_iter().rev() {
            let own_rows = rows.iter().filter(|r| update.row_name.holds(&r.key));
            let judgement = judge(&update, &own_rows.collect::<Vec<&Row>>());
            actions.extend(self.apply(update, judgement, now_ms));
        }
        actions
    }

    fn apply(
        &mut self,
        mut update: Update,
        judgement: Judgement,
        now_ms: u64,
    ) -> Option<ClaimAction> {
        match judgement {
            Judgement::Done(found) => self.finish(update, found, now_ms),
            Judgement::TryAgain(found) => {
                update.found = found;
                self.try_again(update, now_ms);
                None
            }
            Judgement::HeldByOther(row) => {
                claim_id(&update).map(|id| ClaimAction::HeldByOther { id, row })
            }
            Judgement::KeyReused => claim_id(&update).map(|id| ClaimAction::KeyReused { id }),
            Judgement::Impossible => claim_id(&update).map(|id| ClaimAction::Unavailable { id }),
        }
    }

    fn try_again(&mut self, update: Update, now_ms: u64) {
        let update = match update.purpose {
            Purpose::AbandonedClaim => {
                update.into_release(now_ms + self.settings.settlement_patience_ms)
            }
            Purpose::Claim(_) | Purpose::Release | Purpose::Settle => update,
        };
        self.queue.push_front(update);
    }

    fn finish(&mut self, mut update: Update, found: FoundRow, now_ms: u64) -> Option<ClaimAction> {
        let patience_ms = self.settings.settlement_patience_ms;
        match update.purpose {
            Purpose::Claim(id) if now_ms < update.give_up_ms => {
                let claim = HeldClaim {
                    id,
                    row_name: update.row_name,
                    found,
                    row: update.row,
                };
                Some(ClaimAction::Granted { id, claim })
            }
            Purpose::Claim(_) | Purpose::AbandonedClaim => {
                let refused = claim_id(&update);
                update.found = vec![found];
                let release = update.into_release(now_ms + patience_ms);
                self.queue.push_end(release, &self.settings);
                refused.map(|id| ClaimAction::Unavailable { id })
            }
            Purpose::Release | Purpose::Settle => None,
        }
    }
}

/// The request that waits for an update.
fn claim_id(update: &Update) -> Option<ClaimId> {
    match update.purpose {
        Purpose::Claim(id) => Some(id),
        Purpose::AbandonedClaim | Purpose::Release | Purpose::Settle => None,
    }
}
