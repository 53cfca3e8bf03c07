/// A pool's demand, in machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Demand {
    /// Minimum number of machines to place long-running tasks and every step.
    pub(super) floor: u64,
    /// Number of machines that complete the pool's work in time.
    pub(super) wanted: u64,
}

/// Divides machines among pools whose surges overlap: each pool gets its floor,
/// and the remainder is divided in proportion to what each wants beyond its
/// floor. Returns `None` when there are enough machines for all.
pub(super) fn shares(demands: &[Demand], machines: u64) -> Option<Vec<u64>> {
    let floors: u64 = demands.iter().map(|demand| demand.floor).sum();
    let extras: Vec<u64> = demands
        .iter()
        .map(|demand| demand.wanted.saturating_sub(demand.floor))
        .collect();
    let extra: u64 = extras.iter().sum();
    let left = machines.saturating_sub(floors);
    if extra <= left {
        return None;
    }
    let shares = demands.iter().zip(&extras);
    Some(
        shares
            .map(|(demand, own)| demand.floor + left * own / extra)
            .collect(),
    )
}
