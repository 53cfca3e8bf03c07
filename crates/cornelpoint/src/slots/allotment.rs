//! How many slots a gateway may hold, given what all gateways ask for.

use std::iter;

/// Part of a share by which a holding may differ from it.
const TOLERANCE_DIVISOR: u32 = 4;

/// Demand and holding of one gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) demand: u32,
    pub(super) held: u32,
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
    /// Slots that the others lack beyond those that are free.
    pub(super) others_lack: u32,
    /// Whether any other gateway waits for slots.
    pub(super) contended: bool,
}

/// Shares the slots in proportion to demand, so that all gateways' requests
/// wait about as long; no gateway with demand gets less than one slot.
pub(super) fn allot(own: Claim, others: &[Claim], slots: u32, free: u32) -> Allotment {
    let demands = others.iter().chain(iter::once(&own));
    let total: u64 = demands.map(|claim| u64::from(claim.demand)).sum();
    let lacking: u32 = others
        .iter()
        .map(|claim| least_due(claim.demand, total, slots).saturating_sub(claim.held))
        .sum();
    let spare = free.saturating_sub(lacking);
    Allotment {
        upper: share_up(own.demand, total, slots).max(own.demand.min(own.held + spare)),
        least: least_due(own.demand, total, slots),
        lower: share_down(own.demand, total, slots),
        others_lack: lacking.saturating_sub(free),
        contended: others.iter().any(|claim| claim.demand > claim.held),
    }
}

/// The share of a demand, less what may be missing.
fn least_due(demand: u32, total: u64, slots: u32) -> u32 {
    if total <= u64::from(slots) {
        return demand;
    }
    let share = share_down(demand, total, slots);
    share - share / TOLERANCE_DIVISOR
}

fn share_up(demand: u32, total: u64, slots: u32) -> u32 {
    if total <= u64::from(slots) {
        return demand;
    }
    let share = (u64::from(demand) * u64::from(slots)).div_ceil(total);
    u32::try_from(share).unwrap_or(u32::MAX)
}

fn share_down(demand: u32, total: u64, slots: u32) -> u32 {
    if total <= u64::from(slots) {
        return demand;
    }
    let share = u64::from(demand) * u64::from(slots) / total;
    u32::try_from(share).unwrap_or(u32::MAX).max(demand.min(1))
}
