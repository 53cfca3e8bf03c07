//! Shares the slots among gateways according to their demand.

/// A gateway may deviate from its share by the share divided by this number.
const TOLERANCE_DIVISOR: u32 = 4;

/// Demand and slots of one gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotUsage {
    /// Requests that are running or queued.
    pub(super) demand: u32,
    /// Slots lent.
    pub(super) held: u32,
    /// Slots among those lent that were recalled and not yet returned.
    pub(super) recalled: u32,
}

/// Bounds for the number of slots that one gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Allotment {
    /// Number of slots up to which the gateway may get more.
    pub(super) upper: u32,
    /// Number of slots below which none are recalled.
    pub(super) lower: u32,
    /// Minimum share: a gateway with fewer slots is under-served.
    pub(super) min_share: u32,
    /// Slots to recall for the other gateways, beyond those that are free or
    /// already recalled.
    pub(super) others_shortfall: u32,
    /// Whether any other gateway has more demand than slots.
    pub(super) contended: bool,
}

/// Shares the slots in proportion to demand, so that requests wait about
/// equally long at all gateways. The minimum share of a gateway with demand is
/// at least one slot.
///
/// Gateways below their minimum share have priority, then those below their
/// share, then those that would exceed it.
pub(super) fn allot(own: SlotUsage, others: &[SlotUsage], slots: u32, free: u32) -> Allotment {
    let demand: u64 = others.iter().map(|usage| u64::from(usage.demand)).sum();
    let scale = DemandScale {
        demand: demand + u64::from(own.demand),
        slots,
    };
    let below_min_share: u32 = others
        .iter()
        .map(|usage| scale.min_share(usage.demand).saturating_sub(usage.held))
        .sum();
    let below_share: u32 = others
        .iter()
        .map(|usage| {
            scale
                .share_rounded_up(usage.demand)
                .saturating_sub(usage.held)
        })
        .sum();
    let recalled: u32 = others.iter().map(|usage| usage.recalled).sum();
    let shortfall = if own.held > scale.max_before_recall(own.demand) {
        below_share
    } else {
        below_min_share
    };
    let within_share = scale
        .share_rounded_up(own.demand)
        .min(own.held + free.saturating_sub(below_min_share));
    let beyond_share = own.demand.min(own.held + free.saturating_sub(below_share));
    Allotment {
        upper: scale
            .min_share(own.demand)
            .max(within_share)
            .max(beyond_share),
        min_share: scale.min_share(own.demand),
        lower: scale.share_rounded_down(own.demand),
        others_shortfall: shortfall.saturating_sub(free + recalled),
        contended: others.iter().any(|usage| usage.demand > usage.held),
    }
}

/// Total demand of all gateways, and the slots to share.
#[derive(Clone, Copy, Debug)]
struct DemandScale {
    demand: u64,
    slots: u32,
}

impl DemandScale {
    fn suffices(self) -> bool {
        self.demand <= u64::from(self.slots)
    }

    /// Returns the proportional share of a demand, rounded down.
    fn share_rounded_down(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = u64::from(demand) * u64::from(self.slots) / self.demand;
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the proportional share of a demand, rounded up.
    fn share_rounded_up(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = (u64::from(demand) * u64::from(self.slots)).div_ceil(self.demand);
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the slots that a gateway may keep while no other gateway is below
    /// its minimum share.
    fn max_before_recall(self, demand: u32) -> u32 {
        let share = self.share_rounded_up(demand);
        share + (share / TOLERANCE_DIVISOR).max(1)
    }

    /// Returns the share of a demand less the tolerance, and at least one slot
    /// for any demand.
    fn min_share(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = self.share_rounded_down(demand);
        (share - share / TOLERANCE_DIVISOR).max(demand.min(1))
    }
}
