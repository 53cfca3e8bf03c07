//! Random schedules: gateways and holders that are lost, frozen and replaced,
//! and a network that loses, repeats, delays and reorders messages.

use std::collections::BTreeMap;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::slots::Borrower;
use cornelpoint::slots::BorrowerSettings;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderSettings;
use cornelpoint::slots::SlotPermit;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::builder::MAX_DEADLINE_MS;
use super::builder::endpoint;
use super::builder::instance;

pub const GATEWAYS: u32 = 4;
pub const ENDPOINTS: u32 = 3;
pub const LEFT_ENDPOINT: u32 = 0;
pub const LEAVES_AT_MS: u64 = 9_000;

const LENGTH_MS: u64 = 20_000;
const FIRST_START_MS: u64 = 4_000;
const GATEWAY_FAULT_EVERY_MS: f64 = 10_000.0;
const HOLDER_FAULT_EVERY_MS: f64 = 8_000.0;
const EXCHANGE_TIMEOUT_MS: u64 = 100;
const LONGEST_DELAY_MS: u64 = 1_500;
const LONGEST_FREEZE_MS: u64 = 4_000;
const QUEUED: u32 = 40;

/// What a schedule does beyond messages and gateways going wrong.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Holders are killed and replaced by new ones without state.
    pub replaced_holder: bool,
    /// Two holders at once; each gateway changes between them at random.
    pub two_holders: bool,
    /// Slots at each endpoint for each gateway in the fallback.
    pub fallback_slots: u32,
    /// Settings of the holders.
    pub holder: HolderSettings,
}

/// What was seen over a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Most requests that ran at one endpoint at once.
    pub peak: usize,
    /// Requests that were started.
    pub started: u64,
    /// Last start at the endpoint that leaves.
    pub last_start_at_left_ms: u64,
    /// Times at which that endpoint was called drained while one ran.
    pub false_drained: u64,
    /// Whether that endpoint was called drained in the end.
    pub drained: bool,
}

enum Message {
    Request(u32, SlotRequest),
    Reply(u32, SlotReply),
}

struct Gateway {
    borrower: Borrower,
    incarnation: u64,
    frozen_until_ms: u64,
    down_until_ms: u64,
    sent_ms: Option<u64>,
    holder: u32,
    running: Vec<(SlotPermit, u64)>,
}

struct Schedule {
    faults: Faults,
    random: ChaCha8Rng,
    now_ms: u64,
    gateways: Vec<Gateway>,
    holders: Vec<Holder>,
    holder_frozen_until_ms: u64,
    network: BTreeMap<(u64, u64), Message>,
    messages: u64,
    at_endpoints: BTreeMap<InstanceId, Vec<u64>>,
    seen: Seen,
}

/// Runs one schedule from a seed.
pub fn run(seed: u64, faults: Faults) -> Seen {
    let mut schedule = Schedule::new(seed, faults);
    while schedule.now_ms < LENGTH_MS {
        schedule.step();
        schedule.now_ms += 1;
    }
    schedule.seen
}

impl Schedule {
    fn new(seed: u64, faults: Faults) -> Self {
        let holders = 1 + usize::from(faults.two_holders);
        let mut schedule = Self {
            faults,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            gateways: Vec::new(),
            holders: (0..holders as u64)
                .map(|n| Holder::new(faults.holder, n, 0))
                .collect(),
            holder_frozen_until_ms: 0,
            network: BTreeMap::new(),
            messages: 0,
            at_endpoints: BTreeMap::new(),
            seen: Seen::default(),
        };
        schedule.gateways = (0..GATEWAYS).map(|n| schedule.gateway(n, 1)).collect();
        schedule
    }

    fn gateway(&self, number: u32, incarnation: u64) -> Gateway {
        let settings = BorrowerSettings::for_own_zone(
            InstanceId::try_from(format!("entry-{number}")).unwrap(),
            incarnation,
            PoolName::try_from("quoting").unwrap(),
            AvailabilityZone::try_from("a").unwrap(),
        );
        let settings = BorrowerSettings {
            fallback_slots: self.faults.fallback_slots,
            ..settings
        };
        Gateway {
            borrower: Borrower::new(settings, self.now_ms),
            incarnation,
            frozen_until_ms: 0,
            down_until_ms: 0,
            sent_ms: None,
            holder: 0,
            running: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.break_gateways();
        self.break_holders();
        self.tell_endpoints();
        self.deliver();
        for number in 0..GATEWAYS {
            self.run_gateway(number);
        }
        self.watch();
    }

    fn leaves(&self) -> bool {
        self.now_ms >= LEAVES_AT_MS
    }

    fn break_gateways(&mut self) {
        for number in 0..GATEWAYS {
            let index = number as usize;
            if self.random.random_bool(1.0 / GATEWAY_FAULT_EVERY_MS) {
                let incarnation = self.gateways[index].incarnation + 1;
                let mut gateway = self.gateway(number, incarnation);
                gateway.down_until_ms = self.now_ms + self.random.random_range(10..1_000);
                self.gateways[index] = gateway;
            }
            if self.random.random_bool(1.0 / GATEWAY_FAULT_EVERY_MS) {
                let freeze_ms = self.random.random_range(10..LONGEST_FREEZE_MS);
                self.gateways[index].frozen_until_ms = self.now_ms + freeze_ms;
            }
            if self.faults.two_holders && self.random.random_bool(1.0 / 500.0) {
                self.gateways[index].holder ^= 1;
            }
        }
    }

    fn break_holders(&mut self) {
        let killed = self.random.random_bool(1.0 / HOLDER_FAULT_EVERY_MS);
        if self.faults.replaced_holder && killed && self.now_ms > FIRST_START_MS {
            self.holders[0] = Holder::new(self.faults.holder, 2 + self.now_ms, self.now_ms);
        }
        if self.random.random_bool(1.0 / HOLDER_FAULT_EVERY_MS) {
            let freeze_ms = self.random.random_range(10..LONGEST_FREEZE_MS);
            self.holder_frozen_until_ms = self.now_ms + freeze_ms;
        }
    }

    fn tell_endpoints(&mut self) {
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        let stale = self.random.random_bool(0.3);
        let named: Vec<_> = (0..ENDPOINTS)
            .map(|n| endpoint(n, 1, n != LEFT_ENDPOINT || !self.leaves()))
            .collect();
        for holder in &mut self.holders {
            holder.set_endpoints(&named, self.now_ms);
        }
        let named: Vec<_> = (0..ENDPOINTS)
            .map(|n| endpoint(n, 1, n != LEFT_ENDPOINT || !self.leaves() || stale))
            .collect();
        for gateway in &mut self.gateways {
            gateway.borrower.set_endpoints(&named, self.now_ms);
        }
    }

    fn post(&mut self, number: u32, message: Message) {
        if self.random.random_bool(0.1) {
            return;
        }
        let delay_ms = if self.random.random_bool(0.1) {
            self.random.random_range(1..LONGEST_DELAY_MS)
        } else {
            self.random.random_range(1..4)
        };
        self.messages += 1;
        let arrives = (self.now_ms + delay_ms, self.messages);
        if self.random.random_bool(0.1) {
            let again_ms = delay_ms + self.random.random_range(1..LONGEST_DELAY_MS);
            let again = match &message {
                Message::Request(_, request) => Message::Request(number, request.clone()),
                Message::Reply(_, reply) => Message::Reply(number, reply.clone()),
            };
            self.messages += 1;
            self.network
                .insert((self.now_ms + again_ms, self.messages), again);
        }
        self.network.insert(arrives, message);
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.network, later);
        for ((_, order), message) in due {
            match message {
                Message::Request(number, request) => self.at_holder(order, number, request),
                Message::Reply(number, reply) => self.at_gateway(order, number, reply),
            }
        }
    }

    fn at_holder(&mut self, order: u64, number: u32, request: SlotRequest) {
        if self.now_ms < self.holder_frozen_until_ms {
            let key = (self.holder_frozen_until_ms, order);
            self.network.insert(key, Message::Request(number, request));
            return;
        }
        let index = self.gateways[number as usize].holder as usize;
        let reply = self.holders[index].exchange(&request, self.now_ms);
        self.post(number, Message::Reply(number, reply));
    }

    fn at_gateway(&mut self, order: u64, number: u32, reply: SlotReply) {
        let gateway = &mut self.gateways[number as usize];
        if self.now_ms < gateway.frozen_until_ms {
            let key = (gateway.frozen_until_ms, order);
            self.network.insert(key, Message::Reply(number, reply));
            return;
        }
        gateway.borrower.apply(&reply, self.now_ms);
    }

    fn run_gateway(&mut self, number: u32) {
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[number as usize];
        if now_ms < gateway.frozen_until_ms.max(gateway.down_until_ms) {
            return;
        }
        end_requests(gateway, now_ms);
        gateway.borrower.set_demand(QUEUED, None);
        if gateway
            .sent_ms
            .is_some_and(|sent_ms| sent_ms + EXCHANGE_TIMEOUT_MS <= now_ms)
        {
            gateway.sent_ms = None;
            gateway.borrower.exchange_failed(now_ms);
        }
        let request = gateway.borrower.request_due(now_ms);
        if let Some(request) = request {
            gateway.sent_ms = Some(now_ms);
            self.post(number, Message::Request(number, request));
        }
        self.start_requests(number);
    }

    fn start_requests(&mut self, number: u32) {
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[number as usize];
        while let Some(slot) = gateway.borrower.acquire(&|_| false, now_ms) {
            let run_ms = if self.random.random_bool(0.05) {
                MAX_DEADLINE_MS
            } else {
                self.random.random_range(20..100)
            };
            let end_ms = now_ms + run_ms;
            if slot.endpoint == instance(LEFT_ENDPOINT) {
                self.seen.last_start_at_left_ms = now_ms;
            }
            self.seen.started += 1;
            let running = self.at_endpoints.entry(slot.endpoint.clone()).or_default();
            running.push(end_ms);
            gateway.running.push((slot, end_ms));
        }
    }

    fn watch(&mut self) {
        for running in self.at_endpoints.values_mut() {
            running.retain(|end_ms| *end_ms > self.now_ms);
            self.seen.peak = self.seen.peak.max(running.len());
        }
        let left = instance(LEFT_ENDPOINT);
        let runs = self.at_endpoints.get(&left).map_or(0, Vec::len);
        self.seen.drained = self
            .holders
            .iter()
            .all(|holder| holder.is_drained(&left, self.now_ms));
        if self.seen.drained && runs > 0 {
            self.seen.false_drained += 1;
        }
    }
}

fn end_requests(gateway: &mut Gateway, now_ms: u64) {
    for (slot, end_ms) in &gateway.running {
        if *end_ms <= now_ms {
            gateway.borrower.release(slot, now_ms);
        }
    }
    gateway.running.retain(|(_, end_ms)| *end_ms > now_ms);
}
