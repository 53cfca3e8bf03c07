//! Common interface of the strategies for sharing slots.

use cornelpoint::queue::RequestQueue;
use cornelpoint::slots::SlotPermit;

use super::central::Central;
use super::fleet::Fleet;
use super::granted::Granted;
use super::lent::Lent;
use super::local::Local;
use super::local::Rule;

/// Identifies a strategy for sharing slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    Central,
    Lent,
    Granted,
    Split,
    TwoChoices,
    Gossip,
}

pub const STRATEGIES: [Strategy; 6] = [
    Strategy::Central,
    Strategy::Lent,
    Strategy::Granted,
    Strategy::Split,
    Strategy::TwoChoices,
    Strategy::Gossip,
];

impl Strategy {
    pub fn name(self) -> &'static str {
        match self {
            Self::Central => "one dispatcher",
            Self::Lent => "slots lent",
            Self::Granted => "grant a request",
            Self::Split => "fixed split",
            Self::TwoChoices => "two choices",
            Self::Gossip => "gossip of load",
        }
    }
}

/// Endpoint at which a request runs, and the permit if slots are lent.
#[derive(Clone, Debug)]
pub struct Placement {
    pub endpoint: usize,
    pub slot: Option<SlotPermit>,
}

impl Placement {
    fn at(endpoint: usize) -> Self {
        Self {
            endpoint,
            slot: None,
        }
    }
}

/// State of one strategy for sharing slots.
pub enum Sharing {
    Central(Central),
    Lent(Box<Lent>),
    Granted(Box<Granted>),
    Local(Box<Local>),
}

impl Sharing {
    pub fn new(strategy: Strategy, fleet: &Fleet) -> Self {
        match strategy {
            Strategy::Central => Self::Central(Central::new()),
            Strategy::Lent => Self::Lent(Box::new(Lent::new(fleet))),
            Strategy::Granted => Self::Granted(Box::new(Granted::new(fleet))),
            Strategy::Split => Self::Local(Box::new(Local::new(Rule::Split, fleet))),
            Strategy::TwoChoices => Self::Local(Box::new(Local::new(Rule::TwoChoices, fleet))),
            Strategy::Gossip => Self::Local(Box::new(Local::new(Rule::Gossip, fleet))),
        }
    }

    pub fn messages(&self) -> u64 {
        match self {
            Self::Central(_) => 0,
            Self::Lent(lent) => lent.messages(),
            Self::Granted(granted) => granted.messages(),
            Self::Local(local) => local.messages(),
        }
    }

    pub fn stop_holder(&mut self, pool: usize, zone: usize, now_ms: u64) {
        match self {
            Self::Lent(lent) => lent.stop_holder(pool, zone),
            Self::Granted(granted) => granted.stop_holder(pool, zone, now_ms),
            Self::Central(_) | Self::Local(_) => {}
        }
    }

    pub fn start_holder(&mut self, pool: usize, zone: usize, now_ms: u64) {
        match self {
            Self::Lent(lent) => lent.start_holder(pool, zone, now_ms),
            Self::Granted(granted) => granted.start_holder(pool, zone),
            Self::Central(_) | Self::Local(_) => {}
        }
    }

    pub fn deliver(&mut self, now_ms: u64) {
        match self {
            Self::Lent(lent) => lent.deliver(now_ms),
            Self::Granted(granted) => granted.deliver(now_ms),
            Self::Local(local) => local.step(now_ms),
            Self::Central(_) => {}
        }
    }

    /// Records that a request was queued.
    pub fn arrive(&mut self, gateway: usize, pool: usize, deadline_ms: u64, now_ms: u64) {
        match self {
            Self::Granted(granted) => granted.request(gateway, pool, deadline_ms, now_ms),
            Self::Central(_) | Self::Lent(_) | Self::Local(_) => {}
        }
    }

    pub fn acquire(
        &mut self,
        gateway: usize,
        pool: usize,
        queue: &RequestQueue,
        now_ms: u64,
    ) -> Option<Placement> {
        match self {
            Self::Central(central) => central.acquire(pool).map(Placement::at),
            Self::Granted(granted) => granted.acquire(gateway, pool, now_ms).map(Placement::at),
            Self::Local(local) => local.acquire(gateway, pool).map(Placement::at),
            Self::Lent(lent) => {
                lent.set_demand(gateway, pool, waiting(queue), queue.earliest_deadline_ms());
                let (endpoint, slot) = lent.acquire(gateway, pool, now_ms)?;
                Some(Placement {
                    endpoint,
                    slot: Some(slot),
                })
            }
        }
    }

    pub fn release(&mut self, gateway: usize, pool: usize, placement: &Placement, now_ms: u64) {
        match self {
            Self::Central(central) => central.release(pool, placement.endpoint),
            Self::Granted(granted) => granted.release(gateway, pool, placement.endpoint, now_ms),
            Self::Local(local) => local.release(gateway, pool, placement.endpoint),
            Self::Lent(lent) => {
                if let Some(slot) = &placement.slot {
                    lent.release(gateway, pool, slot, now_ms);
                }
            }
        }
    }

    /// Sends one gateway's due messages for one pool.
    pub fn send(&mut self, gateway: usize, pool: usize, queue: &RequestQueue, now_ms: u64) {
        match self {
            Self::Lent(lent) => {
                lent.set_demand(gateway, pool, waiting(queue), queue.earliest_deadline_ms());
                lent.send(gateway, pool, now_ms);
            }
            Self::Granted(granted) => {
                granted.send(gateway, pool, queue, now_ms);
            }
            Self::Central(_) | Self::Local(_) => {}
        }
    }
}

fn waiting(queue: &RequestQueue) -> u32 {
    u32::try_from(queue.len()).unwrap_or(u32::MAX)
}
