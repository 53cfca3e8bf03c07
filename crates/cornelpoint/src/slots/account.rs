//! What a holder has lent to one incarnation of one gateway.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::allotment::Claim;
use super::slot_request::HeldSlots;
use super::slot_request::SlotRequest;

/// Slots of one gateway at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Holding {
    /// Most requests that the gateway may be running there.
    pub(super) count: u32,
    /// Requests that ran there at its last report.
    pub(super) in_use: u32,
}

/// The account of one incarnation of one gateway.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) sequence: u64,
    /// Term of the holder that the gateway had heard when it reported.
    pub(super) holder_term: Option<u64>,
    pub(super) lease_end_ms: u64,
    pub(super) queued: u32,
    /// Slots that the last answer called back.
    pub(super) returning: u32,
    pub(super) holdings: BTreeMap<InstanceId, Holding>,
}

impl Account {
    /// An account from a gateway's report, under a lease that ends at
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
            returning: 0,
            holdings,
        }
    }

    /// Slots lent in all.
    pub(super) fn held(&self) -> u32 {
        self.holdings.values().map(|holding| holding.count).sum()
    }

    /// Slots that the gateway could fill now.
    pub(super) fn demand(&self) -> u32 {
        let in_use: u32 = self.holdings.values().map(|holding| holding.in_use).sum();
        in_use.saturating_add(self.queued)
    }

    /// What this gateway asks for and has.
    pub(super) fn claim(&self) -> Claim {
        Claim {
            demand: self.demand(),
            held: self.held(),
            returning: self.returning,
        }
    }

    /// Raises the holdings to new limits, and lowers none before the gateway
    /// confirms it.
    pub(super) fn raise_to(&mut self, limits: BTreeMap<InstanceId, u32>) {
        let limit: u32 = limits.values().sum();
        self.returning = self.held().saturating_sub(limit);
        for (instance, limit) in limits {
            let holding = self.holdings.entry(instance).or_default();
            holding.count = holding.count.max(limit);
        }
    }

    /// Slots lent at one endpoint.
    pub(super) fn count_at(&self, endpoint: &InstanceId) -> u32 {
        self.holdings
            .get(endpoint)
            .map_or(0, |holding| holding.count)
    }

    /// The holdings as a message states them.
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
