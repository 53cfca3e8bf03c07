//! Random schedules in which gateways and holders are lost, frozen and replaced,
//! and the network drops, duplicates, delays and reorders messages.

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
pub const LEAVING_ENDPOINT: u32 = 0;
pub const LEAVES_AT_MS: u64 = 9_000;

const DURATION_MS: u64 = 20_000;
const FIRST_HOLDER_LOSS_MS: u64 = 4_000;
const MEAN_GATEWAY_FAULT_INTERVAL_MS: f64 = 10_000.0;
const MEAN_HOLDER_FAULT_INTERVAL_MS: f64 = 8_000.0;
const EXCHANGE_TIMEOUT_MS: u64 = 100;
const MAX_DELAY_MS: u64 = 1_500;
const MAX_FREEZE_MS: u64 = 4_000;
const QUEUED: u32 = 40;

/// Faults of a schedule in addition to message and gateway faults.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Holders are killed and replaced by new ones without state.
    pub replaced_holder: bool,
    /// Two holders are active, and each gateway switches between them at random.
    pub two_holders: bool,
    /// Slots per gateway at each endpoint during the fallback.
    pub fallback_slots: u32,
    /// Settings of the holders.
    pub holder: HolderSettings,
}

/// Observations over one schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations {
    /// Maximum number of concurrent requests at any endpoint.
    pub peak: usize,
    /// Requests that were started.
    pub started: u64,
    /// Time of the last request start at the leaving endpoint.
    pub last_start_at_leaving_ms: u64,
    /// Number of steps in which the leaving endpoint was reported as drained
    /// while requests were running there.
    pub false_drained: u64,
    /// Whether the leaving endpoint was reported as drained at the end.
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
    observations: Observations,
}

/// Runs the schedule of one seed.
pub fn run(seed: u64, faults: Faults) -> Observations {
    let mut schedule = Schedule::new(seed, faults);
    while schedule.now_ms < DURATION_MS {
        schedule.step();
        schedule.now_ms += 1;
    }
    schedule.observations
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
            observations: Observations::default(),
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
        self.inject_gateway_faults();
        self.inject_holder_faults();
        self.update_endpoints();
        self.deliver();
        for number in 0..GATEWAYS {
            self.run_gateway(number);
        }
        self.observe();
    }

    fn leaves(&self) -> bool {
        self.now_ms >= LEAVES_AT_MS
    }

    fn inject_gateway_faults(&mut self) {
        for number in 0..GATEWAYS {
            let index = number as usize;
            if self
                .random
                .random_bool(1.0 / MEAN_GATEWAY_FAULT_INTERVAL_MS)
            {
                let incarnation = self.gateways[index].incarnation + 1;
                let mut gateway = self.gateway(number, incarnation);
                gateway.down_until_ms = self.now_ms + self.random.random_range(10..1_000);
                self.gateways[index] = gateway;
            }
            if self
                .random
                .random_bool(1.0 / MEAN_GATEWAY_FAULT_INTERVAL_MS)
            {
                let freeze_ms = self.random.random_range(10..MAX_FREEZE_MS);
                self.gateways[index].frozen_until_ms = self.now_ms + freeze_ms;
            }
            if self.faults.two_holders && self.random.random_bool(1.0 / 500.0) {
                self.gateways[index].holder ^= 1;
            }
        }
    }

    fn inject_holder_faults(&mut self) {
        let killed = self.random.random_bool(1.0 / MEAN_HOLDER_FAULT_INTERVAL_MS);
        if self.faults.replaced_holder && killed && self.now_ms > FIRST_HOLDER_LOSS_MS {
            self.holders[0] = Holder::new(self.faults.holder, 2 + self.now_ms, self.now_ms);
        }
        if self.random.random_bool(1.0 / MEAN_HOLDER_FAULT_INTERVAL_MS) {
            let freeze_ms = self.random.random_range(10..MAX_FREEZE_MS);
            self.holder_frozen_until_ms = self.now_ms + freeze_ms;
        }
    }

    fn update_endpoints(&mut self) {
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        let stale = self.random.random_bool(0.3);
        let endpoints: Vec<_> = (0..ENDPOINTS)
            .map(|n| endpoint(n, 1, n != LEAVING_ENDPOINT || !self.leaves()))
            .collect();
        for holder in &mut self.holders {
            holder.set_endpoints(&endpoints, self.now_ms);
        }
        let endpoints: Vec<_> = (0..ENDPOINTS)
            .map(|n| endpoint(n, 1, n != LEAVING_ENDPOINT || !self.leaves() || stale))
            .collect();
        for gateway in &mut self.gateways {
            gateway.borrower.set_endpoints(&endpoints, self.now_ms);
        }
    }

    fn send(&mut self, number: u32, message: Message) {
        if self.random.random_bool(0.1) {
            return;
        }
        let delay_ms = if self.random.random_bool(0.1) {
            self.random.random_range(1..MAX_DELAY_MS)
        } else {
            self.random.random_range(1..4)
        };
        self.messages += 1;
        let arrives = (self.now_ms + delay_ms, self.messages);
        if self.random.random_bool(0.1) {
            let duplicate_delay_ms = delay_ms + self.random.random_range(1..MAX_DELAY_MS);
            let duplicate = match &message {
                Message::Request(_, request) => Message::Request(number, request.clone()),
                Message::Reply(_, reply) => Message::Reply(number, reply.clone()),
            };
            self.messages += 1;
            self.network
                .insert((self.now_ms + duplicate_delay_ms, self.messages), duplicate);
        }
        self.network.insert(arrives, message);
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.network, later);
        for ((_, order), message) in due {
            match message {
                Message::Request(number, request) => self.deliver_to_holder(order, number, request),
                Message::Reply(number, reply) => self.deliver_to_gateway(order, number, reply),
            }
        }
    }

    fn deliver_to_holder(&mut self, order: u64, number: u32, request: SlotRequest) {
        if self.now_ms < self.holder_frozen_until_ms {
            let key = (self.holder_frozen_until_ms, order);
            self.network.insert(key, Message::Request(number, request));
            return;
        }
        let index = self.gateways[number as usize].holder as usize;
        let reply = self.holders[index].exchange(&request, self.now_ms);
        self.send(number, Message::Reply(number, reply));
    }

    fn deliver_to_gateway(&mut self, order: u64, number: u32, reply: SlotReply) {
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
            self.send(number, Message::Request(number, request));
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
            if slot.endpoint == instance(LEAVING_ENDPOINT) {
                self.observations.last_start_at_leaving_ms = now_ms;
            }
            self.observations.started += 1;
            let running = self.at_endpoints.entry(slot.endpoint.clone()).or_default();
            running.push(end_ms);
            gateway.running.push((slot, end_ms));
        }
    }

    fn observe(&mut self) {
        for running in self.at_endpoints.values_mut() {
            running.retain(|end_ms| *end_ms > self.now_ms);
            self.observations.peak = self.observations.peak.max(running.len());
        }
        let leaving = instance(LEAVING_ENDPOINT);
        let runs = self.at_endpoints.get(&leaving).map_or(0, Vec::len);
        self.observations.drained = self
            .holders
            .iter()
            .all(|holder| holder.is_drained(&leaving, self.now_ms));
        if self.observations.drained && runs > 0 {
            self.observations.false_drained += 1;
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
