use std::collections::HashMap;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::time::Duration;

use cornelpoint::claim::AnswerWaiter;
use cornelpoint::claim::ClaimAction;
use cornelpoint::claim::ClaimBatcher;
use cornelpoint::claim::ClaimCleaner;
use cornelpoint::claim::ClaimId;
use cornelpoint::claim::ClaimRequest;
use cornelpoint::claim::SendPermit;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoreCall;
use cornelpoint::claim::StoreRequest;
use cornelpoint::claim::StoreRequestId;
use cornelpoint::claim::WaitAction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::request::Refusal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::claim_clock::ClaimClock;
use super::claim_store_dump::ClaimStoreDump;
use super::claim_store_settings::ClaimStoreSettings;
use super::complete_answer::CompleteAnswer;
use super::event::ClaimResult;
use super::event::Event;
use super::event::ReadReply;
use super::event::TableReply;
use super::object_thread::ObjectCall;
use super::read_thread::ReadCall;

/// Longest wait for an event, in milliseconds.
const MAX_WAIT_MS: u64 = 500;
/// Events handled before the next round of calls.
const EVENTS_PER_ROUND: usize = 256;

/// Queues of the threads that make calls.
#[derive(Debug)]
pub(super) struct CallQueues {
    pub(super) table: SyncSender<StoreRequest>,
    pub(super) read: SyncSender<ReadCall>,
    pub(super) object: SyncSender<ObjectCall>,
}

/// A request whose claim is pending.
#[derive(Debug)]
struct PendingClaim {
    request: ClaimRequest,
    reply: SyncSender<ClaimResult>,
}

/// The thread that makes the decisions on claims.
#[derive(Debug)]
pub(super) struct StoreLoop {
    batcher: ClaimBatcher,
    waiter: AnswerWaiter,
    cleaner: ClaimCleaner,
    clock: ClaimClock,
    events: Receiver<Event>,
    calls: CallQueues,
    pending: HashMap<ClaimId, PendingClaim>,
    claimant_name: String,
    object_count: u64,
    pending_objects: u64,
    inline_body_bytes: usize,
    stop_by_ms: Option<u64>,
    counts: ClaimStoreDump,
}

impl StoreLoop {
    pub(super) fn new(
        settings: &ClaimStoreSettings,
        clock: ClaimClock,
        events: Receiver<Event>,
        calls: CallQueues,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let claimant = &settings.claimant;
        Self {
            batcher: ClaimBatcher::new(claimant.clone(), settings.claim.clone(), random),
            waiter: AnswerWaiter::new(),
            cleaner: ClaimCleaner::new(),
            clock,
            events,
            calls,
            pending: HashMap::new(),
            claimant_name: format!("{}-{}", claimant.instance, claimant.incarnation),
            object_count: 0,
            pending_objects: 0,
            inline_body_bytes: settings.inline_body_bytes,
            stop_by_ms: None,
            counts: ClaimStoreDump::default(),
        }
    }

    pub(super) fn run(mut self) {
        while !self.is_finished() {
            match self.events.recv_timeout(self.wait()) {
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..EVENTS_PER_ROUND {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                self.handle_event(event);
            }
            self.expire();
            self.issue_calls();
        }
    }

    fn is_finished(&self) -> bool {
        let is_idle =
            self.batcher.is_idle() && self.pending.is_empty() && self.pending_objects == 0;
        self.stop_by_ms
            .is_some_and(|stop_by_ms| is_idle || self.clock.now_ms() >= stop_by_ms)
    }

    fn wait(&self) -> Duration {
        let now_ms = self.clock.now_ms();
        let wakes = [
            self.batcher.next_wake_ms(),
            self.waiter.next_wake_ms(),
            Some(self.cleaner.next_wake_ms()),
            Some(now_ms + MAX_WAIT_MS),
        ];
        let wake_ms = wakes.into_iter().flatten().min().unwrap_or(now_ms);
        Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1))
    }

    fn handle_event(&mut self, event: Event) {
        let now_ms = self.clock.now_ms();
        match event {
            Event::Claim(request, reply) => self.claim(request, reply, now_ms),
            Event::Release(claim) => self.batcher.release(claim, now_ms),
            Event::Answered(permit, answer) => self.store_answer(permit, answer, now_ms),
            Event::Unresolved(permit) => {
                self.batcher.settle(permit, Settlement::Unresolved, now_ms);
            }
            Event::Stored(permit, settlement) => {
                self.pending_objects -= 1;
                self.batcher.settle(permit, settlement, now_ms);
            }
            Event::Table(id, reply) => self.handle_table_reply(id, reply, now_ms),
            Event::Read(reply) => self.handle_read_reply(reply, now_ms),
            Event::Dump(reply_to) => {
                // The requester may have given up.
                let _ = reply_to.try_send(self.dump());
            }
            Event::Stop(stop_by_ms) => self.stop_by_ms = Some(stop_by_ms),
        }
    }

    fn claim(&mut self, request: ClaimRequest, reply: SyncSender<ClaimResult>, now_ms: u64) {
        let pending = PendingClaim {
            request: request.clone(),
            reply,
        };
        self.pending.insert(request.id, pending);
        let actions = self.batcher.submit(request, now_ms);
        self.apply_claim_actions(actions);
    }

    fn store_answer(&mut self, permit: SendPermit, answer: CompleteAnswer, now_ms: u64) {
        if answer.body.len() <= self.inline_body_bytes {
            let settlement = Settlement::Answered(answer.into_stored());
            self.batcher.settle(permit, settlement, now_ms);
            return;
        }
        self.object_count += 1;
        self.pending_objects += 1;
        let call = ObjectCall {
            permit,
            name: format!("claim-{}-{}", self.claimant_name, self.object_count),
            answer,
        };
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.calls.object.try_send(call)
        {
            self.pending_objects -= 1;
            self.batcher
                .settle(call.permit, Settlement::Unresolved, now_ms);
        }
    }

    fn handle_table_reply(&mut self, id: StoreRequestId, reply: TableReply, now_ms: u64) {
        let actions = match reply {
            TableReply::Transacted(TransactionOutcome::Committed) => {
                self.batcher.on_committed(id, now_ms)
            }
            TableReply::Transacted(TransactionOutcome::Conflict { current }) => {
                self.batcher.on_conflict(id, &current, now_ms)
            }
            TableReply::Rows(rows) => self.batcher.on_read(id, &rows, now_ms),
            TableReply::OutcomeUnknown => {
                self.counts.lost_calls += 1;
                self.batcher.on_outcome_unknown(id, now_ms);
                return;
            }
            TableReply::NotSent => {
                self.batcher.on_not_sent(id, now_ms);
                return;
            }
        };
        self.apply_claim_actions(actions);
    }

    fn handle_read_reply(&mut self, reply: ReadReply, now_ms: u64) {
        match reply {
            ReadReply::Claims(Some(rows)) => {
                let actions = self.waiter.on_read(&rows);
                self.apply_wait_actions(actions);
            }
            ReadReply::Claims(None) => self.waiter.on_read_failed(),
            ReadReply::OldRows(Some(rows)) => {
                if let Some(removal) = self.cleaner.on_rows(&rows, now_ms) {
                    // A full queue drops the removal; the next scan finds the rows.
                    let _ = self.calls.read.try_send(ReadCall::Remove(removal));
                }
            }
            ReadReply::OldRows(None) => self.cleaner.on_scan_failed(now_ms),
        }
    }

    fn expire(&mut self) {
        let now_ms = self.clock.now_ms();
        let actions = self.batcher.expire(now_ms);
        self.apply_claim_actions(actions);
        let wait_actions = self.waiter.expire(now_ms);
        self.apply_wait_actions(wait_actions);
    }

    fn issue_calls(&mut self) {
        let now_ms = self.clock.now_ms();
        while let Some(request) = self.batcher.next_request(now_ms) {
            if matches!(request.call, StoreCall::Transact(_)) {
                self.counts.transactions += 1;
            }
            if let Err(TrySendError::Full(request) | TrySendError::Disconnected(request)) =
                self.calls.table.try_send(request)
            {
                self.batcher.on_not_sent(request.id, now_ms);
            }
        }
        if let Some(keys) = self.waiter.next_read(now_ms)
            && self.calls.read.try_send(ReadCall::Claims(keys)).is_err()
        {
            self.waiter.on_read_failed();
        }
        if let Some(scan) = self.cleaner.next_scan(now_ms)
            && self.calls.read.try_send(ReadCall::OldRows(scan)).is_err()
        {
            self.cleaner.on_scan_failed(now_ms);
        }
    }

    fn apply_claim_actions(&mut self, actions: impl IntoIterator<Item = ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Granted { id, claim } => self.decide(id, ClaimResult::Granted(claim)),
                ClaimAction::HeldByOther { id, row } => {
                    let Some(pending) = self.pending.get(&id) else {
                        continue;
                    };
                    let request = &pending.request;
                    let row_name = request.row_name.clone();
                    let wait_actions = self.waiter.wait(id, row_name, &row, request.deadline_ms);
                    self.apply_wait_actions(wait_actions);
                }
                ClaimAction::KeyReused { id } => {
                    self.decide(id, ClaimResult::Refused(Refusal::KeyReused));
                }
                ClaimAction::Unavailable { id } => {
                    self.decide(id, ClaimResult::Refused(Refusal::ClaimUnavailable));
                }
            }
        }
    }

    fn apply_wait_actions(&mut self, actions: impl IntoIterator<Item = WaitAction>) {
        for action in actions {
            match action {
                WaitAction::Answered { id, answer } => {
                    self.decide(id, ClaimResult::Answered(answer));
                }
                WaitAction::Unresolved { id } => {
                    self.decide(id, ClaimResult::Refused(Refusal::ClaimUnresolved));
                }
                WaitAction::Released { id } => self.resubmit(id),
            }
        }
    }

    fn resubmit(&mut self, id: ClaimId) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let request = pending.request.clone();
        let actions = self.batcher.submit(request, self.clock.now_ms());
        self.apply_claim_actions(actions);
    }

    /// Sends the result to the caller's thread; a granted claim that can't be
    /// delivered is released.
    fn decide(&mut self, id: ClaimId, result: ClaimResult) {
        match result {
            ClaimResult::Granted(_) => self.counts.granted += 1,
            ClaimResult::Answered(_) => self.counts.repeats_answered += 1,
            ClaimResult::Refused(_) => self.counts.refused += 1,
        }
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Err(TrySendError::Full(undelivered) | TrySendError::Disconnected(undelivered)) =
            pending.reply.try_send(result)
            && let ClaimResult::Granted(claim) = undelivered
        {
            self.batcher.release(claim, self.clock.now_ms());
        }
    }

    fn dump(&self) -> ClaimStoreDump {
        ClaimStoreDump {
            undecided: self.pending.len(),
            open_rows: self.batcher.open_rows(),
            ..self.counts
        }
    }
}
