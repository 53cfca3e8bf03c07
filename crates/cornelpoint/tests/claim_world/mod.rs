//! Simulation in virtual time of gateways, a store with faults, and callers who
//! repeat their requests.

mod gateway;
mod history;
mod script;
mod table;

use std::collections::BTreeMap;

use cornelpoint::claim::StoreCall;
use cornelpoint::claim::StoreRequest;
use cornelpoint::claim::StoreRequestId;
use cornelpoint::platform::Row;
use cornelpoint::platform::TransactionOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::gateway::Gateway;
pub use self::history::CallerResult;
pub use self::history::History;
pub use self::script::ClaimScript;
pub use self::table::FakeTable;

pub const START_MS: u64 = 86_400_000 * 20;
const GATEWAYS: usize = 3;
const KEYS: u64 = 60;
const MAX_ATTEMPTS: u64 = 4;
const RUN_MS: u64 = 30_000;
const STORE_TIMEOUT_MS: u64 = 300;

/// A safety rule that a gateway or the store breaks, to show that the checks
/// detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    SendsBeforeClaim,
    TreatsLostAsCommitted,
    ReleasesAfterUnknown,
    StoreIgnoresConditions,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub key: u64,
    pub number: u64,
    pub earlier_attempts: u64,
    pub deadline_ms: u64,
}

/// Outcome of a store call, as the gateway sees it.
#[derive(Clone, Debug)]
pub enum Reply {
    Transacted(TransactionOutcome),
    Rows(Vec<Row>),
    Lost,
    NotSent,
}

/// A scheduled event.
///
/// The first field is the gateway. A second field with its incarnation lets a
/// restarted gateway ignore what its earlier incarnation caused.
pub enum Event {
    Submit(usize, Attempt),
    Apply(usize, u64, StoreRequest),
    ApplyWithoutReply(StoreCall),
    Reply(usize, u64, StoreRequestId, Reply),
    Send(usize, u64, u64),
    Result(usize, u64, u64, EndpointResult),
    Wake(usize),
    Freeze(usize, u64),
    Kill(usize),
}

impl Event {
    /// Returns the gateway that the event concerns.
    fn gateway(&self) -> Option<usize> {
        match self {
            Self::ApplyWithoutReply(_) => None,
            Self::Submit(gateway, _)
            | Self::Apply(gateway, ..)
            | Self::Reply(gateway, ..)
            | Self::Send(gateway, ..)
            | Self::Result(gateway, ..)
            | Self::Wake(gateway)
            | Self::Freeze(gateway, _)
            | Self::Kill(gateway) => Some(*gateway),
        }
    }
}

/// Outcome of a request that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum EndpointResult {
    NotStarted,
    Answered(u64),
    Lost,
}

/// All simulated processes, and the events that are still to happen.
pub struct World {
    pub now_ms: u64,
    pub random: ChaCha8Rng,
    pub history: History,
    pub table: FakeTable,
    pub mutant: Mutant,
    events: BTreeMap<(u64, u64), Event>,
    gateways: Vec<Gateway>,
    wakes: [u64; GATEWAYS],
    next_number: u64,
}

impl World {
    pub fn new(seed: u64, mutant: Mutant) -> Self {
        let gateway = |number| Gateway::new(number, seed);
        let mut world = Self {
            now_ms: START_MS,
            random: ChaCha8Rng::seed_from_u64(seed),
            history: History::default(),
            table: FakeTable::default(),
            mutant,
            events: BTreeMap::new(),
            gateways: (0..GATEWAYS).map(gateway).collect(),
            wakes: [0; GATEWAYS],
            next_number: 0,
        };
        world.table.ignores_conditions = mutant == Mutant::StoreIgnoresConditions;
        world.schedule_workload();
        world
    }

    /// Runs until no events are left.
    pub fn run(mut self) -> Self {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            self.handle(event);
        }
        self
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    pub fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_number += 1;
        let at = (self.now_ms + delay_ms, self.next_number);
        self.events.insert(at, event);
    }

    pub fn schedule_within(&mut self, delay_ms: u64, event: Event) {
        let drawn_ms = self.random.random_range(0..=delay_ms);
        self.schedule(drawn_ms, event);
    }

    /// Schedules the wake-up of a gateway, unless it wakes up by then anyway.
    pub fn wake(&mut self, gateway: usize, delay_ms: u64) {
        let at_ms = self.now_ms + delay_ms;
        let planned_ms = self.wakes[gateway];
        if planned_ms <= self.now_ms || at_ms < planned_ms {
            self.wakes[gateway] = at_ms;
            self.schedule(delay_ms, Event::Wake(gateway));
        }
    }

    /// Reports a result to the caller, who may repeat the request at any
    /// gateway.
    pub fn report(&mut self, request: Attempt, result: CallerResult) {
        self.history
            .record_result(request.key, request.number, result);
        let is_done = matches!(result, CallerResult::Answered { .. });
        if !is_done || self.chance(20) {
            self.retry(request);
        }
    }

    /// Submits an attempt to a random gateway; some callers repeat the request
    /// before they get its result.
    fn submit_within(&mut self, delay_ms: u64, mut request: Attempt) {
        let at_ms = self.random.random_range(0..=delay_ms);
        request.deadline_ms = self.now_ms + at_ms + self.random.random_range(200..3000);
        let gateway = self.random.random_range(0..GATEWAYS);
        self.schedule(at_ms, Event::Submit(gateway, request));
        if request.earlier_attempts + 1 < MAX_ATTEMPTS && self.chance(30) {
            let early_repeat = self.new_attempt(request.key, request.earlier_attempts + 1);
            self.submit_within(at_ms + 1000, early_repeat);
        }
    }

    pub fn retry(&mut self, request: Attempt) {
        if request.earlier_attempts + 1 < MAX_ATTEMPTS {
            let again = self.new_attempt(request.key, request.earlier_attempts + 1);
            self.submit_within(2000, again);
        }
    }

    fn new_attempt(&mut self, key: u64, earlier_attempts: u64) -> Attempt {
        self.next_number += 1;
        Attempt {
            key,
            number: self.next_number,
            earlier_attempts,
            deadline_ms: 0,
        }
    }

    fn schedule_workload(&mut self) {
        for key in 0..KEYS {
            let request = self.new_attempt(key, 0);
            self.submit_within(RUN_MS, request);
        }
        for gateway in 0..GATEWAYS {
            self.schedule_within(RUN_MS, Event::Kill(gateway));
            let frozen_ms = self.random.random_range(100..8000);
            self.schedule_within(RUN_MS, Event::Freeze(gateway, frozen_ms));
        }
    }

    fn handle(&mut self, event: Event) {
        let Some(number) = event.gateway() else {
            if let Event::ApplyWithoutReply(call) = event {
                self.apply(&call);
            }
            return;
        };
        let frozen_until_ms = self.gateways[number].frozen_until_ms;
        if self.now_ms < frozen_until_ms && !matches!(event, Event::Kill(_)) {
            self.schedule(frozen_until_ms - self.now_ms, event);
            return;
        }
        if let Event::Apply(_, incarnation, request) = event {
            let reply = self.apply(&request.call);
            self.schedule_within(5, Event::Reply(number, incarnation, request.id, reply));
            return;
        }
        let placeholder = Gateway::new(number, 0);
        let mut gateway = std::mem::replace(&mut self.gateways[number], placeholder);
        gateway.handle(event, self);
        gateway.run_due(self);
        self.gateways[number] = gateway;
    }

    fn apply(&mut self, call: &StoreCall) -> Reply {
        match call {
            StoreCall::Transact(transaction) => Reply::Transacted(self.table.transact(transaction)),
            StoreCall::Read(keys) => Reply::Rows(self.table.read(keys)),
        }
    }

    /// Sends a call to the store, with random delays and losses; in the first
    /// 1.5 of every 10 seconds the store can't be reached.
    pub fn call_store(&mut self, gateway: usize, incarnation: u64, request: StoreRequest) {
        let id = request.id;
        let is_outage = (self.now_ms - START_MS) % 10_000 < 1500;
        let draw = self.random.random_range(0..100);
        let reply = |reply| Event::Reply(gateway, incarnation, id, reply);
        match draw {
            _ if is_outage => self.schedule_within(5, reply(Reply::NotSent)),
            0..10 => self.schedule(STORE_TIMEOUT_MS, reply(Reply::Lost)),
            10..20 => {
                self.schedule_within(5, Event::ApplyWithoutReply(request.call));
                self.schedule(STORE_TIMEOUT_MS, reply(Reply::Lost));
            }
            20..30 => {
                self.schedule_within(5000, Event::ApplyWithoutReply(request.call));
                self.schedule(STORE_TIMEOUT_MS, reply(Reply::Lost));
            }
            30..35 => self.schedule_within(5, reply(Reply::NotSent)),
            35..45 => self.schedule_within(1500, Event::Apply(gateway, incarnation, request)),
            _ => self.schedule_within(5, Event::Apply(gateway, incarnation, request)),
        }
    }
}
