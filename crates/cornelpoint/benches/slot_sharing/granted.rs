//! One grant per request: each queued request has one outstanding slot request,
//! and the holder is notified of each request's end.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cornelpoint::queue::RequestQueue;

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::Fleet;
use super::fleet::POOLS;
use super::fleet::SLOTS;
use super::replay::ONE_WAY_DELAY_MS;

const FALLBACK_AFTER_MS: u64 = 900;

enum Message {
    Request(usize, usize, usize, u64),
    Grant(usize, usize, usize, u64),
    Return(usize, usize),
}

/// Slot requests waiting at one holder, by deadline.
#[derive(Clone, Default)]
struct Holder {
    requests: BTreeMap<(u64, u64), usize>,
}

/// Outstanding slot requests and grants of one gateway for one pool.
#[derive(Clone, Default)]
struct Requester {
    requests: Vec<Vec<u64>>,
    grants: VecDeque<usize>,
    fallback: [u32; ENDPOINTS_PER_POOL],
}

/// All gateways and holders, with the network between them.
pub struct Granted {
    fleet: Fleet,
    requesters: Vec<Vec<Requester>>,
    holders: Vec<Vec<Holder>>,
    down_since_ms: Vec<Vec<Option<u64>>>,
    in_use: Vec<[u32; ENDPOINTS_PER_POOL]>,
    network: VecDeque<(u64, Message)>,
    requests: u64,
    messages: u64,
}

impl Granted {
    pub fn new(fleet: &Fleet) -> Self {
        let requester = Requester {
            requests: vec![Vec::new(); fleet.zones],
            ..Requester::default()
        };
        Self {
            fleet: *fleet,
            requesters: vec![vec![requester; POOLS]; fleet.gateways],
            holders: vec![vec![Holder::default(); fleet.zones]; POOLS],
            down_since_ms: vec![vec![None; fleet.zones]; POOLS],
            in_use: vec![[0; ENDPOINTS_PER_POOL]; POOLS],
            network: VecDeque::new(),
            requests: 0,
            messages: 0,
        }
    }

    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Stops a holder; the slot requests waiting there are lost.
    pub fn stop_holder(&mut self, pool: usize, zone: usize, now_ms: u64) {
        self.holders[pool][zone].requests.clear();
        self.down_since_ms[pool][zone] = Some(now_ms);
        for gateway in &mut self.requesters {
            gateway[pool].requests[zone].clear();
        }
    }

    pub fn start_holder(&mut self, pool: usize, zone: usize) {
        self.down_since_ms[pool][zone] = None;
    }

    pub fn acquire(&mut self, gateway: usize, pool: usize, now_ms: u64) -> Option<usize> {
        if let Some(endpoint) = self.requesters[gateway][pool].grants.pop_front() {
            return Some(endpoint);
        }
        let zone = self.fleet.gateway_zone(gateway);
        let down_ms = now_ms - self.down_since_ms[pool][zone]?;
        if down_ms < FALLBACK_AFTER_MS {
            return None;
        }
        let fallback = &mut self.requesters[gateway][pool].fallback;
        let endpoint = self
            .fleet
            .endpoints_in(zone)
            .find(|endpoint| fallback[*endpoint] == 0)?;
        fallback[endpoint] += 1;
        self.in_use[pool][endpoint] += 1;
        Some(endpoint)
    }

    pub fn release(&mut self, gateway: usize, pool: usize, endpoint: usize, now_ms: u64) {
        let fallback = &mut self.requesters[gateway][pool].fallback[endpoint];
        *fallback = fallback.saturating_sub(1);
        self.send_message(Message::Return(pool, endpoint), now_ms);
    }

    /// Sends a slot request for one more queued request.
    pub fn request(&mut self, gateway: usize, pool: usize, deadline_ms: u64, now_ms: u64) {
        let Some(zone) = self.zone(gateway, pool) else {
            return;
        };
        self.requesters[gateway][pool].requests[zone].push(deadline_ms);
        self.send_message(Message::Request(gateway, pool, zone, deadline_ms), now_ms);
    }

    /// Returns grants that are not needed, and resends slot requests that were
    /// lost.
    pub fn send(&mut self, gateway: usize, pool: usize, queue: &RequestQueue, now_ms: u64) {
        while let Some(endpoint) = self.requesters[gateway][pool].grants.pop_front() {
            self.send_message(Message::Return(pool, endpoint), now_ms);
        }
        let requests = &mut self.requesters[gateway][pool].requests;
        for requests in requests.iter_mut() {
            requests.retain(|deadline_ms| *deadline_ms > now_ms);
        }
        let outstanding: usize = requests.iter().map(Vec::len).sum();
        let Some(deadline_ms) = queue.earliest_deadline_ms() else {
            return;
        };
        for _ in outstanding..queue.len() {
            self.request(gateway, pool, deadline_ms, now_ms);
        }
    }

    pub fn deliver(&mut self, now_ms: u64) {
        while let Some(message) = take_due(&mut self.network, now_ms) {
            self.handle(&message);
        }
        for pool in 0..POOLS {
            for zone in 0..self.fleet.zones {
                self.grant(pool, zone, now_ms);
            }
        }
    }

    /// Returns the zone with the fewest outstanding slot requests of the gateway
    /// relative to the zone's size; the gateway's own zone wins ties.
    fn zone(&self, gateway: usize, pool: usize) -> Option<usize> {
        let own = self.fleet.gateway_zone(gateway);
        let requests = &self.requesters[gateway][pool].requests;
        (0..self.fleet.zones)
            .map(|n| (own + n) % self.fleet.zones)
            .filter(|zone| self.down_since_ms[pool][*zone].is_none())
            .min_by_key(|zone| requests[*zone].len() * 100 / self.fleet.endpoints_in(*zone).count())
    }

    fn handle(&mut self, message: &Message) {
        match *message {
            Message::Request(gateway, pool, zone, deadline_ms) => {
                if self.down_since_ms[pool][zone].is_none() {
                    self.requests += 1;
                    let key = (deadline_ms, self.requests);
                    self.holders[pool][zone].requests.insert(key, gateway);
                }
            }
            Message::Grant(gateway, pool, endpoint, deadline_ms) => {
                let zone = self.fleet.endpoint_zone(endpoint);
                let requester = &mut self.requesters[gateway][pool];
                let requests = &mut requester.requests[zone];
                if let Some(index) = requests.iter().position(|request| *request == deadline_ms) {
                    requests.swap_remove(index);
                }
                requester.grants.push_back(endpoint);
            }
            Message::Return(pool, endpoint) => {
                self.in_use[pool][endpoint] -= 1;
            }
        }
    }

    fn grant(&mut self, pool: usize, zone: usize, now_ms: u64) {
        while let Some(((deadline_ms, _), _)) = self.holders[pool][zone].requests.first_key_value()
        {
            let deadline_ms = *deadline_ms;
            if deadline_ms <= now_ms {
                self.holders[pool][zone].requests.pop_first();
                continue;
            }
            let in_use = &mut self.in_use[pool];
            let least = self
                .fleet
                .endpoints_in(zone)
                .min_by_key(|endpoint| in_use[*endpoint]);
            let Some(endpoint) = least.filter(|endpoint| in_use[*endpoint] < SLOTS) else {
                return;
            };
            in_use[endpoint] += 1;
            let Some((_, gateway)) = self.holders[pool][zone].requests.pop_first() else {
                return;
            };
            self.send_message(Message::Grant(gateway, pool, endpoint, deadline_ms), now_ms);
        }
    }

    fn send_message(&mut self, message: Message, now_ms: u64) {
        self.messages += 1;
        self.network.push_back((now_ms + ONE_WAY_DELAY_MS, message));
    }
}

fn take_due(messages: &mut VecDeque<(u64, Message)>, now_ms: u64) -> Option<Message> {
    let (due_ms, _) = messages.front()?;
    if *due_ms > now_ms {
        return None;
    }
    messages.pop_front().map(|(_, message)| message)
}
