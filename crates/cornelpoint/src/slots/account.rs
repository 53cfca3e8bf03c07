//! Slots that a holder has lent to one incarnation of one gateway.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::allotment::SlotUsage;
use super::slot_request::HeldSlots;
use super::slot_request::SlotRequest;

/// Slots that one gateway holds at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Holding {
    /// Maximum number of requests that the gateway may be running there.
    pub(super) count: u32,
    /// Requests that the gateway was running there at its last report.
    pub(super) in_use: u32,
}

/// Lease, demand and slots of one gateway incarnation.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) sequence: u64,
    /// Term of the holder whose reply the gateway had last received when it
    /// reported.
    pub(super) holder_term: Option<u64>,
    pub(super) lease_end_ms: u64,
    pub(super) queued: u32,
    /// Slots that the last reply recalled.
    pub(super) recalled: u32,
    pub(super) holdings: BTreeMap<InstanceId, Holding>,
}

impl Account {
    /// Creates an account from a gateway's report, with a lease that ends at
    /// `lease_end_ms`.
    pub(super) fn from_report(request: &SlotRequest, lease_end_ms: u64) -> Self {
        let holdings = request
            .held
            .iter()
            .map(|held| (held.endpoint.clone(), holding(held)))
            .collect();
        Self {
            sequence: request.sequence,
            holder_term: request.holder_term,
            lease_end_ms,
            queued: request.queued,
            recalled: 0,
            holdings,
        }
    }

    /// Returns the total slots lent.
    pub(super) fn held(&self) -> u32 {
        self.holdings.values().map(|holding| holding.count).sum()
    }

    /// Returns the slots that the gateway could use now: running plus queued
    /// requests.
    pub(super) fn demand(&self) -> u32 {
        let in_use: u32 = self.holdings.values().map(|holding| holding.in_use).sum();
        in_use.saturating_add(self.queued)
    }

    /// Returns the gateway's demand and slots.
    pub(super) fn usage(&self) -> SlotUsage {
        SlotUsage {
            demand: self.demand(),
            held: self.held(),
            recalled: self.recalled,
        }
    }

    /// Raises the holdings to new limits. A lower limit takes effect only with
    /// the gateway's next report, which confirms it.
    pub(super) fn raise_to(&mut self, limits: BTreeMap<InstanceId, u32>) {
        let limit: u32 = limits.values().sum();
        self.recalled = self.held().saturating_sub(limit);
        for (instance, limit) in limits {
            let holding = self.holdings.entry(instance).or_default();
            holding.count = holding.count.max(limit);
        }
    }

    /// Returns the slots lent at one endpoint.
    pub(super) fn count_at(&self, endpoint: &InstanceId) -> u32 {
        self.holdings
            .get(endpoint)
            .map_or(0, |holding| holding.count)
    }

    /// Returns the holdings in the form used in messages.
    pub(super) fn held_slots(&self) -> Vec<HeldSlots> {
        self.holdings
            .iter()
            .map(|(endpoint, holding)| HeldSlots {
                endpoint: endpoint.clone(),
                count: holding.count,
                in_use: holding.in_use,
            })
            .collect()
    }
}

fn holding(held: &HeldSlots) -> Holding {
    Holding {
        count: held.count.max(held.in_use),
        in_use: held.in_use,
    }
}
