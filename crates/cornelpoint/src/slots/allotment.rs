//! How many slots a gateway may hold, given what all gateways ask for.

/// Part of a share by which a holding may differ from it.
const TOLERANCE_DIVISOR: u32 = 4;

/// Demand and holding of one gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Requests that run or wait.
    pub(super) demand: u32,
    /// Slots lent.
    pub(super) held: u32,
    /// Slots of those that were called back and are still under way.
    pub(super) returning: u32,
}

/// The bounds within which a gateway's holding is left alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Allotment {
    /// Slots that it may grow to.
    pub(super) upper: u32,
    /// Slots that it may be called back to.
    pub(super) lower: u32,
    /// Slots under which it lacks some.
    pub(super) least: u32,
    /// Slots that should come back for the others, beyond those that are free
    /// or under way.
    pub(super) others_lack: u32,
    /// Whether any other gateway waits for slots.
    pub(super) contended: bool,
}

/// Shares the slots in proportion to demand, so that all gateways' requests
/// wait about as long; a gateway with demand lacks at least one slot.
///
/// A gateway that lacks slots goes before one that has less than its share,
/// and that before one that would have more.
pub(super) fn allot(own: Claim, others: &[Claim], slots: u32, free: u32) -> Allotment {
    let demand: u64 = others.iter().map(|claim| u64::from(claim.demand)).sum();
    let scale = Scale {
        demand: demand + u64::from(own.demand),
        slots,
    };
    let lacking: u32 = others
        .iter()
        .map(|claim| scale.least(claim.demand).saturating_sub(claim.held))
        .sum();
    let below_share: u32 = others
        .iter()
        .map(|claim| scale.share_up(claim.demand).saturating_sub(claim.held))
        .sum();
    let returning: u32 = others.iter().map(|claim| claim.returning).sum();
    let missing = if own.held > scale.most(own.demand) {
        below_share
    } else {
        lacking
    };
    let within_share = scale
        .share_up(own.demand)
        .min(own.held + free.saturating_sub(lacking));
    let beyond_share = own.demand.min(own.held + free.saturating_sub(below_share));
    Allotment {
        upper: scale.least(own.demand).max(within_share).max(beyond_share),
        least: scale.least(own.demand),
        lower: scale.share(own.demand),
        others_lack: missing.saturating_sub(free + returning),
        contended: others.iter().any(|claim| claim.demand > claim.held),
    }
}

/// Demand of all gateways against the slots.
#[derive(Clone, Copy, Debug)]
struct Scale {
    demand: u64,
    slots: u32,
}

impl Scale {
    fn suffices(self) -> bool {
        self.demand <= u64::from(self.slots)
    }

    /// Slots for a demand, in whole ones.
    fn share(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = u64::from(demand) * u64::from(self.slots) / self.demand;
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Slots for a demand, the last one in part.
    fn share_up(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = (u64::from(demand) * u64::from(self.slots)).div_ceil(self.demand);
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Slots that a gateway may keep while none of the others lacks any.
    fn most(self, demand: u32) -> u32 {
        let share = self.share_up(demand);
        share + (share / TOLERANCE_DIVISOR).max(1)
    }

    /// The share of a demand, less what may be missing, and at least one.
    fn least(self, demand: u32) -> u32 {
        if self.suffices() {
            return demand;
        }
        let share = self.share(demand);
        (share - share / TOLERANCE_DIVISOR).max(demand.min(1))
    }
}
