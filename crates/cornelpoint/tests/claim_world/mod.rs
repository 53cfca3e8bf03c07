//! Gateways, a store with faults, and callers who repeat, in virtual time.

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
pub use self::history::History;
pub use self::history::Told;
pub use self::script::ClaimScript;
pub use self::table::FakeTable;

pub const START_MS: u64 = 86_400_000 * 20;
const GATEWAYS: usize = 3;
const KEYS: u64 = 60;
const TRIES: u64 = 4;
const RUN_MS: u64 = 30_000;
const STORE_TIMEOUT_MS: u64 = 300;

/// A gateway that breaks one rule, for the checker to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    SendsBeforeClaim,
    TakesLostForGranted,
    ReleasesAfterUnknown,
    StoreIgnoresConditions,
}

/// One try of a request.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub key: u64,
    pub number: u64,
    pub count: u64,
    pub deadline_ms: u64,
}

/// What the store says to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    Transacted(TransactionOutcome),
    Rows(Vec<Row>),
    Lost,
    NotSent,
}

/// What happens at a time.
pub enum Event {
    Submit(usize, Try),
    Apply(usize, u64, StoreRequest),
    ApplyUnheard(StoreCall),
    Reply(usize, u64, StoreRequestId, Reply),
    Send(usize, u64, u64),
    EndpointEnd(usize, u64, u64, EndpointEnd),
    Wake(usize),
    Freeze(usize, u64),
    Kill(usize),
}

impl Event {
    /// The gateway that it happens to.
    fn gateway(&self) -> Option<usize> {
        match self {
            Self::ApplyUnheard(_) => None,
            Self::Submit(gateway, _)
            | Self::Apply(gateway, ..)
            | Self::Reply(gateway, ..)
            | Self::Send(gateway, ..)
            | Self::EndpointEnd(gateway, ..)
            | Self::Wake(gateway)
            | Self::Freeze(gateway, _)
            | Self::Kill(gateway) => Some(*gateway),
        }
    }
}

/// How a send ended at the endpoint.
#[derive(Clone, Copy, Debug)]
pub enum EndpointEnd {
    NotStarted,
    Answered(u64),
    Lost,
}

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
        world.plan();
        world
    }

    /// Runs to the end.
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

    pub fn later(&mut self, delay_ms: u64, event: Event) {
        self.next_number += 1;
        let at = (self.now_ms + delay_ms, self.next_number);
        self.events.insert(at, event);
    }

    pub fn later_within(&mut self, delay_ms: u64, event: Event) {
        let drawn_ms = self.random.random_range(0..=delay_ms);
        self.later(drawn_ms, event);
    }

    /// Wakes a gateway, unless it is woken by then anyway.
    pub fn wake(&mut self, gateway: usize, delay_ms: u64) {
        let at_ms = self.now_ms + delay_ms;
        let planned_ms = self.wakes[gateway];
        if planned_ms <= self.now_ms || at_ms < planned_ms {
            self.wakes[gateway] = at_ms;
            self.later(delay_ms, Event::Wake(gateway));
        }
    }

    /// Tells the caller, who may try again at any gateway.
    pub fn tell(&mut self, request: Try, told: Told) {
        self.history.tell(request.key, request.number, told);
        let is_done = matches!(told, Told::Answered { .. });
        if !is_done || self.chance(20) {
            self.try_again(request);
        }
    }

    /// Brings a try to any gateway; some callers do not wait for the end of
    /// it and try again meanwhile.
    fn submit_within(&mut self, delay_ms: u64, mut request: Try) {
        let at_ms = self.random.random_range(0..=delay_ms);
        request.deadline_ms = self.now_ms + at_ms + self.random.random_range(200..3000);
        let gateway = self.random.random_range(0..GATEWAYS);
        self.later(at_ms, Event::Submit(gateway, request));
        if request.count + 1 < TRIES && self.chance(30) {
            let impatient = self.new_try(request.key, request.count + 1);
            self.submit_within(at_ms + 1000, impatient);
        }
    }

    pub fn try_again(&mut self, request: Try) {
        if request.count + 1 < TRIES {
            let again = self.new_try(request.key, request.count + 1);
            self.submit_within(2000, again);
        }
    }

    fn new_try(&mut self, key: u64, count: u64) -> Try {
        self.next_number += 1;
        Try {
            key,
            number: self.next_number,
            count,
            deadline_ms: 0,
        }
    }

    fn plan(&mut self) {
        for key in 0..KEYS {
            let request = self.new_try(key, 0);
            self.submit_within(RUN_MS, request);
        }
        for gateway in 0..GATEWAYS {
            self.later_within(RUN_MS, Event::Kill(gateway));
            let frozen_ms = self.random.random_range(100..8000);
            self.later_within(RUN_MS, Event::Freeze(gateway, frozen_ms));
        }
    }

    fn handle(&mut self, event: Event) {
        let Some(number) = event.gateway() else {
            if let Event::ApplyUnheard(call) = event {
                self.apply(&call);
            }
            return;
        };
        let frozen_until_ms = self.gateways[number].frozen_until_ms;
        if self.now_ms < frozen_until_ms && !matches!(event, Event::Kill(_)) {
            self.later(frozen_until_ms - self.now_ms, event);
            return;
        }
        if let Event::Apply(_, run, request) = event {
            let reply = self.apply(&request.call);
            self.later_within(5, Event::Reply(number, run, request.id, reply));
            return;
        }
        let spare = Gateway::new(number, 0);
        let mut gateway = std::mem::replace(&mut self.gateways[number], spare);
        gateway.handle(event, self);
        gateway.work(self);
        self.gateways[number] = gateway;
    }

    fn apply(&mut self, call: &StoreCall) -> Reply {
        match call {
            StoreCall::Transact(transaction) => Reply::Transacted(self.table.transact(transaction)),
            StoreCall::Read(keys) => Reply::Rows(self.table.read(keys)),
        }
    }

    /// Sends a call to the store, on its way to one of many fates.
    pub fn call_store(&mut self, gateway: usize, incarnation: u64, request: StoreRequest) {
        let id = request.id;
        let is_outage = (self.now_ms - START_MS) % 10_000 < 1500;
        let fate = self.random.random_range(0..100);
        let reply = |reply| Event::Reply(gateway, incarnation, id, reply);
        match fate {
            _ if is_outage => self.later_within(5, reply(Reply::NotSent)),
            0..10 => self.later(STORE_TIMEOUT_MS, reply(Reply::Lost)),
            10..20 => {
                self.later_within(5, Event::ApplyUnheard(request.call));
                self.later(STORE_TIMEOUT_MS, reply(Reply::Lost));
            }
            20..30 => {
                self.later_within(5000, Event::ApplyUnheard(request.call));
                self.later(STORE_TIMEOUT_MS, reply(Reply::Lost));
            }
            30..35 => self.later_within(5, reply(Reply::NotSent)),
            35..45 => self.later_within(1500, Event::Apply(gateway, incarnation, request)),
            _ => self.later_within(5, Event::Apply(gateway, incarnation, request)),
        }
    }
}
