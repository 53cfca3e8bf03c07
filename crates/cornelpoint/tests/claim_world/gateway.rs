use std::collections::BTreeMap;

use cornelpoint::claim::AnswerBody;
use cornelpoint::claim::AnswerWaiter;
use cornelpoint::claim::ClaimAction;
use cornelpoint::claim::ClaimBatcher;
use cornelpoint::claim::ClaimId;
use cornelpoint::claim::ClaimKey;
use cornelpoint::claim::ClaimRequest;
use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::ClaimSettings;
use cornelpoint::claim::Claimant;
use cornelpoint::claim::Fingerprint;
use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::SendPermit;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoreCall;
use cornelpoint::claim::StoreRequest;
use cornelpoint::claim::StoreRequestId;
use cornelpoint::claim::StoredAnswer;
use cornelpoint::claim::WaitAction;
use cornelpoint::name::InstanceId;
use cornelpoint::name::ServiceName;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::request::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Attempt;
use super::CallerResult;
use super::EndpointResult;
use super::Event;
use super::Mutant;
use super::Reply;
use super::World;

/// Identifier under which the outcomes of the waiter's reads are reported.
const WAITER_READ: StoreRequestId = StoreRequestId(u64::MAX);

/// A gateway that claims keys, sends requests and settles or releases the
/// claims.
pub struct Gateway {
    pub frozen_until_ms: u64,
    number: usize,
    seed: u64,
    incarnation: u64,
    batcher: ClaimBatcher,
    waiter: AnswerWaiter,
    waiting: BTreeMap<ClaimId, Attempt>,
    held: BTreeMap<u64, HeldClaim>,
    sent: BTreeMap<u64, SendPermit>,
}

impl Gateway {
    pub fn new(number: usize, seed: u64) -> Self {
        Self::start(number, seed, 1)
    }

    fn start(number: usize, seed: u64, incarnation: u64) -> Self {
        let name = format!("entry-{number}");
        let claimant = Claimant {
            instance: InstanceId::try_from(name).expect("the name is valid"),
            incarnation,
        };
        let random = ChaCha8Rng::seed_from_u64(seed + incarnation);
        Self {
            frozen_until_ms: 0,
            number,
            seed,
            incarnation,
            batcher: ClaimBatcher::new(claimant, ClaimSettings::default(), random),
            waiter: AnswerWaiter::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    pub fn handle(&mut self, event: Event, world: &mut World) {
        let own = self.incarnation;
        match event {
            Event::Submit(_, request) => self.submit(request, world),
            Event::Freeze(_, frozen_ms) => self.frozen_until_ms = world.now_ms + frozen_ms,
            Event::Kill(_) => self.restart(world),
            Event::Reply(_, of, id, reply) if of == own => self.on_reply(id, &reply, world),
            Event::Send(_, of, number) if of == own => self.send(number, world),
            Event::Result(_, of, number, result) if of == own => self.finish(number, result, world),
            _ => {}
        }
    }

    /// Expires what is overdue, makes the store calls that are due and schedules
    /// the next wake-up.
    pub fn run_due(&mut self, world: &mut World) {
        let actions = self.batcher.expire(world.now_ms);
        self.apply_actions(actions, world);
        let actions = self.waiter.expire(world.now_ms);
        self.resolve_waits(actions, world);
        while let Some(request) = self.batcher.next_request(world.now_ms) {
            world.call_store(self.number, self.incarnation, request);
        }
        if let Some(keys) = self.waiter.next_read(world.now_ms) {
            let call = StoreCall::Read(keys);
            let id = WAITER_READ;
            world.call_store(self.number, self.incarnation, StoreRequest { id, call });
        }
        let wakes = [self.batcher.next_wake_ms(), self.waiter.next_wake_ms()];
        if let Some(wake_ms) = wakes.into_iter().flatten().min() {
            let delay_ms = wake_ms.saturating_sub(world.now_ms).max(1);
            world.wake(self.number, delay_ms);
        }
    }

    fn restart(&mut self, world: &mut World) {
        let waiting = std::mem::take(&mut self.waiting);
        *self = Self::start(self.number, self.seed, self.incarnation + 1);
        for request in waiting.into_values() {
            world.retry(request);
        }
    }

    fn submit(&mut self, request: Attempt, world: &mut World) {
        if world.mutant == Mutant::SendsBeforeClaim {
            world.history.send(request.key, request.number);
            world.history.run(request.key);
        }
        self.waiting.insert(ClaimId(request.number), request);
        self.claim(request, world);
    }

    fn claim(&mut self, request: Attempt, world: &mut World) {
        let claim = ClaimRequest {
            id: ClaimId(request.number),
            row_name: row_name(request),
            fingerprint: Fingerprint::new(Method::Post, &service(), "/", b"on"),
            decide_by_ms: request.deadline_ms,
            deadline_ms: request.deadline_ms,
        };
        let rejected = self.batcher.submit(claim, world.now_ms);
        self.apply_actions(rejected, world);
    }

    fn on_reply(&mut self, id: StoreRequestId, reply: &Reply, world: &mut World) {
        if id == WAITER_READ {
            let actions = if let Reply::Rows(rows) = reply {
                self.waiter.on_read(rows)
            } else {
                self.waiter.on_read_failed();
                Vec::new()
            };
            self.resolve_waits(actions, world);
            return;
        }
        let now_ms = world.now_ms;
        let actions = match reply {
            Reply::Transacted(TransactionOutcome::Committed) => {
                self.batcher.on_committed(id, now_ms)
            }
            Reply::Transacted(TransactionOutcome::Conflict { current }) => {
                self.batcher.on_conflict(id, current, now_ms)
            }
            Reply::Rows(rows) => self.batcher.on_read(id, rows, now_ms),
            Reply::Lost if world.mutant == Mutant::TreatsLostAsCommitted => {
                self.batcher.on_committed(id, now_ms)
            }
            Reply::Lost => {
                self.batcher.on_outcome_unknown(id, now_ms);
                Vec::new()
            }
            Reply::NotSent => {
                self.batcher.on_not_sent(id, now_ms);
                Vec::new()
            }
        };
        self.apply_actions(actions, world);
    }

    fn apply_actions(&mut self, actions: impl IntoIterator<Item = ClaimAction>, world: &mut World) {
        for action in actions {
            match action {
                ClaimAction::Granted { id, claim } => {
                    self.held.insert(id.0, claim);
                    let longest_ms = if world.chance(10) { 4000 } else { 50 };
                    let send = Event::Send(self.number, self.incarnation, id.0);
                    world.schedule_within(longest_ms, send);
                }
                ClaimAction::HeldByOther { id, row } => {
                    let request = self.waiting[&id];
                    let deadline_ms = request.deadline_ms;
                    let action = self.waiter.wait(id, row_name(request), &row, deadline_ms);
                    self.resolve_waits(action, world);
                }
                ClaimAction::KeyReused { .. } => panic!("all attempts have the same body"),
                ClaimAction::Unavailable { id } => self.report(id, CallerResult::NotRun, world),
            }
        }
    }

    fn resolve_waits(&mut self, actions: impl IntoIterator<Item = WaitAction>, world: &mut World) {
        for action in actions {
            match action {
                WaitAction::Answered { id, answer } => {
                    let run = run_of(&answer);
                    self.report(id, CallerResult::Answered { run }, world);
                }
                WaitAction::Unresolved { id } => self.report(id, CallerResult::Unknown, world),
                WaitAction::Released { id } => self.claim(self.waiting[&id], world),
            }
        }
    }

    fn send(&mut self, number: u64, world: &mut World) {
        let Some(claim) = self.held.remove(&number) else {
            return;
        };
        let id = claim.id();
        let permit = match claim.begin_send(world.now_ms) {
            SendCheck::Send(permit) => permit,
            SendCheck::TooLate(claim) => {
                self.batcher.release(claim, world.now_ms);
                self.report(id, CallerResult::NotRun, world);
                return;
            }
        };
        self.sent.insert(number, permit);
        let key = self.waiting[&id].key;
        world.history.send(key, number);
        let result = match world.random.random_range(0..100) {
            0..15 => EndpointResult::NotStarted,
            15..25 => EndpointResult::Lost,
            25..35 => {
                world.history.run(key);
                EndpointResult::Lost
            }
            _ => EndpointResult::Answered(world.history.run(key)),
        };
        let event = Event::Result(self.number, self.incarnation, number, result);
        world.schedule_within(200, event);
    }

    fn finish(&mut self, number: u64, result: EndpointResult, world: &mut World) {
        let Some(permit) = self.sent.remove(&number) else {
            return;
        };
        let id = permit.id();
        let now_ms = world.now_ms;
        match result {
            EndpointResult::NotStarted => {
                world.history.not_started(number);
                self.batcher.release(permit.not_run(), now_ms);
                self.report(id, CallerResult::NotRun, world);
            }
            EndpointResult::Answered(run) => {
                let answer = Settlement::Answered(answer_of(run));
                self.batcher.settle(permit, answer, now_ms);
                self.report(id, CallerResult::Answered { run }, world);
            }
            EndpointResult::Lost => {
                if world.mutant == Mutant::ReleasesAfterUnknown {
                    self.batcher.release(permit.not_run(), now_ms);
                } else {
                    self.batcher.settle(permit, Settlement::Unresolved, now_ms);
                }
                self.report(id, CallerResult::Unknown, world);
            }
        }
    }

    fn report(&mut self, id: ClaimId, result: CallerResult, world: &mut World) {
        let request = self
            .waiting
            .remove(&id)
            .expect("the request waits for its result");
        world.report(request, result);
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("controller").expect("the name is valid")
}

fn row_name(request: Attempt) -> ClaimRowName {
    let key = format!("key-{}", request.key);
    let key = ClaimKey::try_from(key.as_str()).expect("the key is valid");
    ClaimRowName::new(&service(), &key)
}

fn answer_of(run: u64) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: AnswerBody::Inline {
            bytes: run.to_le_bytes().to_vec(),
        },
    }
}

fn run_of(answer: &StoredAnswer) -> u64 {
    let AnswerBody::Inline { bytes } = &answer.body else {
        panic!("expected an inline body, found {answer:?}");
    };
    u64::from_le_bytes(
        bytes
            .as_slice()
            .try_into()
            .expect("a run number has eight bytes"),
    )
}
