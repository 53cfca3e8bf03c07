//! Slots lent under short leases, as implemented by the library.

use std::collections::HashMap;
use std::collections::VecDeque;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::slots::BorrowerSettings;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderEndpoint;
use cornelpoint::slots::HolderSettings;
use cornelpoint::slots::PoolBorrower;
use cornelpoint::slots::SlotPermit;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::Fleet;
use super::fleet::POOLS;
use super::fleet::SLOTS;
use super::replay::ONE_WAY_DELAY_MS;
use super::trace::MAX_DEADLINE_MS;

const EXCHANGE_TIMEOUT_MS: u64 = 50;

enum Message {
    Request(usize, SlotRequest),
    Reply(usize, usize, AvailabilityZone, SlotReply),
    Failed(usize, usize, AvailabilityZone),
}

/// All borrowers and holders, with the network between them.
pub struct Lent {
    borrowers: Vec<Vec<PoolBorrower>>,
    holders: Vec<Vec<Option<Holder>>>,
    network: VecDeque<(u64, Message)>,
    failures: VecDeque<(u64, Message)>,
    endpoints: HashMap<InstanceId, usize>,
    fleet: Fleet,
    messages: u64,
}

impl Lent {
    pub fn new(fleet: &Fleet) -> Self {
        let mut lent = Self {
            borrowers: Vec::new(),
            holders: Vec::new(),
            network: VecDeque::new(),
            failures: VecDeque::new(),
            endpoints: HashMap::new(),
            fleet: *fleet,
            messages: 0,
        };
        for pool in 0..POOLS {
            for endpoint in 0..ENDPOINTS_PER_POOL {
                lent.endpoints
                    .insert(endpoint_name(pool, endpoint), endpoint);
            }
        }
        lent.borrowers = (0..fleet.gateways)
            .map(|gateway| {
                (0..POOLS)
                    .map(|pool| borrower(fleet, gateway, pool))
                    .collect()
            })
            .collect();
        lent.holders = vec![vec![None; fleet.zones]; POOLS];
        for pool in 0..POOLS {
            for zone in 0..fleet.zones {
                lent.start_holder(pool, zone, 0);
                lent.start_adopted_holder(pool, zone);
            }
        }
        lent
    }

    pub fn messages(&self) -> u64 {
        self.messages
    }

    pub fn stop_holder(&mut self, pool: usize, zone: usize) {
        self.holders[pool][zone] = None;
    }

    pub fn start_holder(&mut self, pool: usize, zone: usize, now_ms: u64) {
        let settings = HolderSettings::for_max_deadline(MAX_DEADLINE_MS);
        let mut holder = Holder::new(settings, 1 + now_ms, now_ms);
        holder.set_endpoints(&endpoints(&self.fleet, pool, zone), now_ms);
        self.holders[pool][zone] = Some(holder);
    }

    /// Starts a holder that lends at once, like one that has finished adopting.
    fn start_adopted_holder(&mut self, pool: usize, zone: usize) {
        let settings = HolderSettings {
            adopt_ms: 0,
            ..HolderSettings::for_max_deadline(MAX_DEADLINE_MS)
        };
        let mut holder = Holder::new(settings, 1, 0);
        holder.set_endpoints(&endpoints(&self.fleet, pool, zone), 0);
        self.holders[pool][zone] = Some(holder);
    }

    pub fn acquire(
        &mut self,
        gateway: usize,
        pool: usize,
        now_ms: u64,
    ) -> Option<(usize, SlotPermit)> {
        let slot = self.borrowers[gateway][pool].acquire(&|_| false, now_ms)?;
        Some((self.endpoints[&slot.endpoint], slot))
    }

    pub fn release(&mut self, gateway: usize, pool: usize, slot: &SlotPermit, now_ms: u64) {
        self.borrowers[gateway][pool].release(slot, now_ms);
    }

    pub fn set_demand(
        &mut self,
        gateway: usize,
        pool: usize,
        queued: u32,
        earliest_deadline_ms: Option<u64>,
    ) {
        self.borrowers[gateway][pool].set_demand(queued, earliest_deadline_ms);
    }

    pub fn deliver(&mut self, now_ms: u64) {
        while let Some(message) = take_due(&mut self.network, now_ms) {
            self.handle(message, now_ms);
        }
        while let Some(message) = take_due(&mut self.failures, now_ms) {
            self.handle(message, now_ms);
        }
    }

    /// Sends the requests of one gateway and pool that are due.
    pub fn send(&mut self, gateway: usize, pool: usize, now_ms: u64) {
        let borrower = &mut self.borrowers[gateway][pool];
        if borrower.is_idle() {
            return;
        }
        for request in borrower.requests_due(now_ms) {
            self.messages += 1;
            self.network.push_back((
                now_ms + ONE_WAY_DELAY_MS,
                Message::Request(gateway, request),
            ));
        }
    }

    fn handle(&mut self, message: Message, now_ms: u64) {
        match message {
            Message::Request(gateway, request) => self.exchange(gateway, &request, now_ms),
            Message::Reply(gateway, pool, zone, reply) => {
                self.borrowers[gateway][pool].apply(&zone, &reply, now_ms);
            }
            Message::Failed(gateway, pool, zone) => {
                self.borrowers[gateway][pool].exchange_failed(&zone, now_ms);
            }
        }
    }

    fn exchange(&mut self, gateway: usize, request: &SlotRequest, now_ms: u64) {
        let zone = request.availability_zone.clone();
        let pool = trailing_number(request.pool.as_str());
        let Some(holder) = &mut self.holders[pool][trailing_number(zone.as_str())] else {
            let failed = Message::Failed(gateway, pool, zone);
            self.failures
                .push_back((now_ms + EXCHANGE_TIMEOUT_MS, failed));
            return;
        };
        let reply = Message::Reply(gateway, pool, zone, holder.exchange(request, now_ms));
        self.messages += 1;
        self.network.push_back((now_ms + ONE_WAY_DELAY_MS, reply));
    }
}

fn borrower(fleet: &Fleet, gateway: usize, pool: usize) -> PoolBorrower {
    let own_zone = fleet.gateway_zone(gateway);
    let name = InstanceId::try_from(format!("entry-{gateway}")).expect("name is valid");
    let others = (0..fleet.zones)
        .map(|n| (own_zone + n) % fleet.zones)
        .filter(|zone| *zone != own_zone)
        .map(|zone| {
            BorrowerSettings::for_other_zone(name.clone(), 1, pool_name(pool), zone_name(zone))
        })
        .collect();
    let own = BorrowerSettings::for_own_zone(name.clone(), 1, pool_name(pool), zone_name(own_zone));
    let mut borrower = PoolBorrower::new(own, others, 0);
    let view = endpoints(fleet, pool, own_zone);
    borrower.set_endpoints(&zone_name(own_zone), &view, 0);
    borrower
}

pub fn endpoints(fleet: &Fleet, pool: usize, zone: usize) -> Vec<HolderEndpoint> {
    fleet
        .endpoints_in(zone)
        .map(|endpoint| HolderEndpoint {
            instance: endpoint_name(pool, endpoint),
            epoch: 1,
            slots: SLOTS,
            accepts_work: true,
        })
        .collect()
}

fn endpoint_name(pool: usize, endpoint: usize) -> InstanceId {
    InstanceId::try_from(format!("pool-{pool}-{endpoint}")).expect("name is valid")
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::try_from(format!("pool-{pool}")).expect("name is valid")
}

fn zone_name(zone: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(format!("zone-{zone}")).expect("name is valid")
}

fn trailing_number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or("");
    digits.parse().expect("names end with a number")
}

fn take_due(messages: &mut VecDeque<(u64, Message)>, now_ms: u64) -> Option<Message> {
    let (due_ms, _) = messages.front()?;
    if *due_ms > now_ms {
        return None;
    }
    messages.pop_front().map(|(_, message)| message)
}
