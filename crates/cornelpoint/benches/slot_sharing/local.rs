//! Strategies that use only the gateway's own requests, or gossip about those of
//! the other gateways: fixed split, two random choices and gossip of load.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::Fleet;
use super::fleet::POOLS;
use super::fleet::SLOTS;

const MAX_CONNECTIONS: u32 = 64;
const GOSSIP_INTERVAL_MS: u64 = 50;
const SEED: u64 = 7;

/// Rule for choosing an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A fixed number of slots per gateway at each endpoint.
    Split,
    /// Of two random endpoints, the one with fewer of the gateway's own requests.
    TwoChoices,
    /// The endpoint with the lowest load according to own requests and gossip.
    Gossip,
}

type Loads = Vec<[u32; ENDPOINTS_PER_POOL]>;

/// The requests of each gateway at each endpoint.
pub struct Local {
    rule: Rule,
    gateways: usize,
    own: Vec<Loads>,
    received: Vec<Loads>,
    random: ChaCha8Rng,
    messages: u64,
}

impl Local {
    pub fn new(rule: Rule, fleet: &Fleet) -> Self {
        let none = vec![vec![[0; ENDPOINTS_PER_POOL]; POOLS]; fleet.gateways];
        Self {
            rule,
            gateways: fleet.gateways,
            own: none.clone(),
            received: none,
            random: ChaCha8Rng::seed_from_u64(SEED),
            messages: 0,
        }
    }

    pub fn messages(&self) -> u64 {
        self.messages
    }

    pub fn acquire(&mut self, gateway: usize, pool: usize) -> Option<usize> {
        let endpoint = match self.rule {
            Rule::Split | Rule::Gossip => self.least(gateway, pool),
            Rule::TwoChoices => self.better_of_two(gateway, pool),
        };
        if !self.has_room(gateway, pool, endpoint) {
            return None;
        }
        self.own[gateway][pool][endpoint] += 1;
        Some(endpoint)
    }

    pub fn release(&mut self, gateway: usize, pool: usize, endpoint: usize) {
        self.own[gateway][pool][endpoint] -= 1;
    }

    pub fn step(&mut self, now_ms: u64) {
        if self.rule == Rule::Gossip && now_ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
            self.received = self.own.clone();
            self.messages += (self.gateways * (self.gateways - 1)) as u64;
        }
    }

    fn has_room(&self, gateway: usize, pool: usize, endpoint: usize) -> bool {
        let gateways = self.gateways as u32;
        let own = self.own[gateway][pool][endpoint];
        match self.rule {
            Rule::Split => own < (SLOTS / gateways).max(1),
            Rule::TwoChoices => own < MAX_CONNECTIONS / gateways,
            Rule::Gossip => {
                own < MAX_CONNECTIONS / gateways && self.load(gateway, pool, endpoint) < SLOTS
            }
        }
    }

    fn load(&self, gateway: usize, pool: usize, endpoint: usize) -> u32 {
        let own = self.own[gateway][pool][endpoint];
        let others: u32 = (0..self.gateways)
            .filter(|other| *other != gateway)
            .map(|other| self.received[other][pool][endpoint])
            .sum();
        own + others
    }

    fn least(&self, gateway: usize, pool: usize) -> usize {
        let offset = gateway * ENDPOINTS_PER_POOL / self.gateways;
        (0..ENDPOINTS_PER_POOL)
            .map(|n| (n + offset) % ENDPOINTS_PER_POOL)
            .min_by_key(|endpoint| match self.rule {
                Rule::Gossip => self.load(gateway, pool, *endpoint),
                Rule::Split | Rule::TwoChoices => self.own[gateway][pool][*endpoint],
            })
            .unwrap_or(0)
    }

    fn better_of_two(&mut self, gateway: usize, pool: usize) -> usize {
        let first = self.random.random_range(0..ENDPOINTS_PER_POOL);
        let second = self.random.random_range(0..ENDPOINTS_PER_POOL);
        let own = &self.own[gateway][pool];
        if own[second] < own[first] {
            second
        } else {
            first
        }
    }
}
