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
use super::period::Period;
use super::queue::UpdateQueue;
use super::rate_limiter::RateLimiter;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_update::Purpose;
use super::row_update::RowUpdate;
use super::row_update::RowVersion;
use super::settings::ClaimSettings;
use super::store_request::StoreRequest;
use super::store_request::StoreRequestId;
use super::update_outcome::UpdateOutcome;
use super::update_outcome::evaluate;
use crate::platform::Row;

/// Claims keys in the platform's table service, many in one transaction.
///
/// The owner submits claims, makes the store calls that
/// [`next_request`](Self::next_request) returns, reports their outcomes, and
/// calls [`expire`](Self::expire) at [`next_wake_ms`](Self::next_wake_ms).
///
/// A claim is granted only once the store is known to hold it. If the outcome
/// of a transaction is unknown, its rows are read back. If a claim may have
/// taken effect after its request was rejected, a conditional write releases
/// it; that write also makes a delayed write of the claim fail its conditions.
/// On a conflict, the rows that can't be written leave the batch, and the
/// others are written again.
///
/// All times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    claimant: Claimant,
    settings: ClaimSettings,
    random: ChaCha8Rng,
    rate_limiter: RateLimiter,
    queue: UpdateQueue,
    open: OpenBatches,
    next_id: u64,
}

impl ClaimBatcher {
    /// Creates a batcher without claims; `random` is the source of nonces and
    /// backoff jitter.
    #[must_use]
    pub fn new(claimant: Claimant, settings: ClaimSettings, random: ChaCha8Rng) -> Self {
        Self {
            claimant,
            rate_limiter: RateLimiter::new(&settings, random.clone()),
            settings,
            random,
            queue: UpdateQueue::default(),
            open: OpenBatches::default(),
            next_id: 0,
        }
    }

    /// Queues a claim, or returns [`ClaimAction::Unavailable`] if the queue is
    /// full or the time to decide is over.
    pub fn submit(&mut self, request: ClaimRequest, now_ms: u64) -> Option<ClaimAction> {
        if now_ms >= request.decide_by_ms || !self.queue.has_room_for_claim(&self.settings) {
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
        self.queue.push(RowUpdate {
            row_name: request.row_name,
            purpose: Purpose::Claim(request.id),
            row,
            existing: Vec::new(),
            expires_at_ms: request.decide_by_ms,
            may_have_committed: false,
            target: None,
        });
        None
    }

    /// Queues the outcome of a request that may have been sent.
    pub fn settle(&mut self, permit: SendPermit, settlement: Settlement, now_ms: u64) {
        let state = match settlement {
            Settlement::Answered(answer) => ClaimState::Answered { answer },
            Settlement::Unresolved => ClaimState::Unresolved,
        };
        self.close_claim(permit.claim, Purpose::Settle, state, now_ms);
    }

    /// Queues the release of a claim whose request did not run, so that a
    /// repeat can claim the key.
    pub fn release(&mut self, claim: HeldClaim, now_ms: u64) {
        self.close_claim(claim, Purpose::Release, ClaimState::Released, now_ms);
    }

    /// Returns the next store call, if one is due.
    pub fn next_request(&mut self, now_ms: u64) -> Option<StoreRequest> {
        let is_full = self.open.running_count() >= self.settings.max_concurrent_calls;
        if is_full || !self.rate_limiter.may_call(now_ms) {
            return None;
        }
        let period = Period::at(now_ms);
        if let Some(batch) = self.open.take_unknown() {
            let call = batch.read_back(period);
            let id = self.start(batch);
            return Some(StoreRequest { id, call });
        }
        let mut batch = self.take_batch(now_ms)?;
        let call = batch.transaction(period);
        let id = self.start(batch);
        Some(StoreRequest { id, call })
    }

    /// Reports that a transaction took effect.
    pub fn on_committed(&mut self, id: StoreRequestId, now_ms: u64) -> Vec<ClaimAction> {
        self.rate_limiter.record_answer();
        let batch = self.open.take_running(id).unwrap_or_default();
        let mut actions = Vec::new();
        for update in batch.updates {
            if let Some(version) = update.committed_version() {
                actions.extend(self.finish(update, version, now_ms));
            }
        }
        actions
    }

    /// Reports that the conditions of a transaction did not hold; `current` are
    /// the rows that its conditions name, as the store has them.
    pub fn on_conflict(
        &mut self,
        id: StoreRequestId,
        current: &[Row],
        now_ms: u64,
    ) -> Vec<ClaimAction> {
        self.apply_rows(id, current, now_ms)
    }

    /// Reports the rows that a read found.
    pub fn on_read(&mut self, id: StoreRequestId, rows: &[Row], now_ms: u64) -> Vec<ClaimAction> {
        self.apply_rows(id, rows, now_ms)
    }

    /// Reports that the outcome of a call is unknown.
    pub fn on_outcome_unknown(&mut self, id: StoreRequestId, now_ms: u64) {
        self.rate_limiter.record_failure(now_ms);
        let Some(mut batch) = self.open.take_running(id) else {
            return;
        };
        for update in &mut batch.updates {
            update.may_have_committed = true;
        }
        self.open.add_unknown(batch);
    }

    /// Reports that a call can't have reached the store.
    pub fn on_not_sent(&mut self, id: StoreRequestId, now_ms: u64) {
        self.rate_limiter.record_failure(now_ms);
        let Some(batch) = self.open.take_running(id) else {
            return;
        };
        if batch.updates.iter().any(|u| u.may_have_committed) {
            self.open.add_unknown(batch);
            return;
        }
        for update in batch.updates.into_iter().rev() {
            self.queue.push_front(update);
        }
    }

    /// Rejects the claims that were not decided in time, and gives up
    /// settlements and releases that could not be written in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let timeout_ms = self.settings.settlement_timeout_ms;
        let mut actions = self.queue.expire(timeout_ms, now_ms);
        actions.extend(self.open.expire(timeout_ms, now_ms));
        actions
    }

    /// Returns the time of the next store call or expiry, if anything waits.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        let is_full = self.open.running_count() >= self.settings.max_concurrent_calls;
        let read = self
            .open
            .has_unknown()
            .then(|| self.rate_limiter.next_read_ms());
        let has_ready = self.queue.has_ready(&self.open);
        let write = has_ready.then(|| self.rate_limiter.next_write_ms());
        let call = read.into_iter().chain(write).min().filter(|_| !is_full);
        let open = self.open.updates().map(|u| u.expires_at_ms).min();
        let expiry = self.queue.next_expiry_ms();
        [call, open, expiry].into_iter().flatten().min()
    }

    /// Returns the number of rows that wait to be written or whose write has
    /// not completed.
    #[must_use]
    pub fn open_rows(&self) -> usize {
        self.queue.len() + self.open.updates().count()
    }

    /// Returns whether no update waits and no call is running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.open.updates().next().is_none()
    }

    fn close_claim(&mut self, claim: HeldClaim, purpose: Purpose, state: ClaimState, now_ms: u64) {
        let mut row = claim.row;
        row.state = state;
        let update = RowUpdate {
            row_name: claim.row_name,
            purpose,
            row,
            existing: vec![claim.version],
            expires_at_ms: now_ms + self.settings.settlement_timeout_ms,
            may_have_committed: false,
            target: None,
        };
        self.queue.push_settlement(update, &self.settings);
    }

    fn take_batch(&mut self, now_ms: u64) -> Option<Batch> {
        if self.queue.is_empty() || now_ms < self.rate_limiter.next_write_ms() {
            return None;
        }
        let batch = self.queue.take_batch(&self.open, &self.settings);
        let has_work = !batch.updates.is_empty();
        (has_work && self.rate_limiter.take_write(now_ms)).then_some(batch)
    }

    fn start(&mut self, batch: Batch) -> StoreRequestId {
        let id = StoreRequestId(self.next_id);
        self.next_id += 1;
        self.open.add_running(id, batch);
        id
    }

    fn apply_rows(&mut self, id: StoreRequestId, rows: &[Row], now_ms: u64) -> Vec<ClaimAction> {
        self.rate_limiter.record_answer();
        let batch = self.open.take_running(id).unwrap_or_default();
        let mut actions = Vec::new();
        for update in batch.updates.into_iter().rev() {
            let own_rows = rows.iter().filter(|r| update.row_name.matches(&r.key));
            let outcome = evaluate(&update, &own_rows.collect::<Vec<&Row>>());
            actions.extend(self.apply(update, outcome, now_ms));
        }
        actions
    }

    fn apply(
        &mut self,
        mut update: RowUpdate,
        outcome: UpdateOutcome,
        now_ms: u64,
    ) -> Option<ClaimAction> {
        match outcome {
            UpdateOutcome::Applied(version) => self.finish(update, version, now_ms),
            UpdateOutcome::Retry(existing) => {
                update.existing = existing;
                self.retry(update, now_ms);
                None
            }
            UpdateOutcome::HeldByOther(row) => {
                claim_id(&update).map(|id| ClaimAction::HeldByOther { id, row })
            }
            UpdateOutcome::KeyReused => claim_id(&update).map(|id| ClaimAction::KeyReused { id }),
            UpdateOutcome::Impossible => {
                claim_id(&update).map(|id| ClaimAction::Unavailable { id })
            }
        }
    }

    fn retry(&mut self, update: RowUpdate, now_ms: u64) {
        let update = match update.purpose {
            Purpose::AbandonedClaim => {
                update.into_release(now_ms + self.settings.settlement_timeout_ms)
            }
            Purpose::Claim(_) | Purpose::Release | Purpose::Settle => update,
        };
        self.queue.push_front(update);
    }

    fn finish(
        &mut self,
        mut update: RowUpdate,
        version: RowVersion,
        now_ms: u64,
    ) -> Option<ClaimAction> {
        let timeout_ms = self.settings.settlement_timeout_ms;
        match update.purpose {
            Purpose::Claim(id) if now_ms < update.expires_at_ms => {
                let claim = HeldClaim {
                    id,
                    row_name: update.row_name,
                    version,
                    row: update.row,
                };
                Some(ClaimAction::Granted { id, claim })
            }
            Purpose::Claim(_) | Purpose::AbandonedClaim => {
                let rejected = claim_id(&update);
                update.existing = vec![version];
                let release = update.into_release(now_ms + timeout_ms);
                self.queue.push_settlement(release, &self.settings);
                rejected.map(|id| ClaimAction::Unavailable { id })
            }
            Purpose::Release | Purpose::Settle => None,
        }
    }
}

/// Returns the request that waits for the outcome of an update, if any.
fn claim_id(update: &RowUpdate) -> Option<ClaimId> {
    match update.purpose {
        Purpose::Claim(id) => Some(id),
        Purpose::AbandonedClaim | Purpose::Release | Purpose::Settle => None,
    }
}
