//! The ways of sharing slots, behind one interface.

use cornelpoint::queue::RequestQueue;
use cornelpoint::slots::SlotPermit;

use super::central::Central;
use super::fleet::Fleet;
use super::granted::Granted;
use super::lent::Lent;
use super::local::Local;
use super::local::Rule;

/// A way of sharing slots, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Central,
    Lent,
    Granted,
    Split,
    TwoChoices,
    Gossip,
}

pub const WAYS: [Way; 6] = [
    Way::Central,
    Way::Lent,
    Way::Granted,
    Way::Split,
    Way::TwoChoices,
    Way::Gossip,
];

impl Way {
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

/// Where one request runs, and the lent slot if there is one.
#[derive(Clone, Debug)]
pub struct Place {
    pub endpoint: usize,
    pub slot: Option<SlotPermit>,
}

impl Place {
    fn at(endpoint: usize) -> Self {
        Self {
            endpoint,
            slot: None,
        }
    }
}

/// A way of sharing slots, with its state.
pub enum Sharing {
    Central(Central),
    Lent(Box<Lent>),
    Granted(Box<Granted>),
    Local(Box<Local>),
}

impl Sharing {
    pub fn new(way: Way, fleet: &Fleet) -> Self {
        match way {
            Way::Central => Self::Central(Central::new()),
            Way::Lent => Self::Lent(Box::new(Lent::new(fleet))),
            Way::Granted => Self::Granted(Box::new(Granted::new(fleet))),
            Way::Split => Self::Local(Box::new(Local::new(Rule::Split, fleet))),
            Way::TwoChoices => Self::Local(Box::new(Local::new(Rule::TwoChoices, fleet))),
            Way::Gossip => Self::Local(Box::new(Local::new(Rule::Gossip, fleet))),
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

    /// Notes a request that was queued.
    pub fn arrive(&mut self, gateway: usize, pool: usize, deadline_ms: u64, now_ms: u64) {
        match self {
            Self::Granted(granted) => granted.ask(gateway, pool, deadline_ms, now_ms),
            Self::Central(_) | Self::Lent(_) | Self::Local(_) => {}
        }
    }

    pub fn acquire(
        &mut self,
        gateway: usize,
        pool: usize,
        queue: &RequestQueue,
        now_ms: u64,
    ) -> Option<Place> {
        match self {
            Self::Central(central) => central.acquire(pool).map(Place::at),
            Self::Granted(granted) => granted.acquire(gateway, pool, now_ms).map(Place::at),
            Self::Local(local) => local.acquire(gateway, pool).map(Place::at),
            Self::Lent(lent) => {
                lent.set_demand(gateway, pool, waiting(queue), queue.earliest_deadline_ms());
                let (endpoint, slot) = lent.acquire(gateway, pool, now_ms)?;
                Some(Place {
                    endpoint,
                    slot: Some(slot),
                })
            }
        }
    }

    pub fn release(&mut self, gateway: usize, pool: usize, place: &Place, now_ms: u64) {
        match self {
            Self::Central(central) => central.release(pool, place.endpoint),
            Self::Granted(granted) => granted.release(gateway, pool, place.endpoint, now_ms),
            Self::Local(local) => local.release(gateway, pool, place.endpoint),
            Self::Lent(lent) => {
                if let Some(slot) = &place.slot {
                    lent.release(gateway, pool, slot, now_ms);
                }
            }
        }
    }

    /// Sends what one gateway has to say about one pool.
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
