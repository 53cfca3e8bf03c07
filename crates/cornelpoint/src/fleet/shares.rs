/// What a pool asks for, in machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ask {
    /// Machines without which long-running tasks and steps find no places.
    pub(super) floor: u64,
    /// Machines with which its work is done in time.
    pub(super) wanted: u64,
}

/// Divides machines among pools whose surges overlap: each keeps its floor, and
/// what is left goes in proportion to what each wants beyond it. `None` when
/// there are enough for all.
pub(super) fn shares(asks: &[Ask], machines: u64) -> Option<Vec<u64>> {
    let floors: u64 = asks.iter().map(|ask| ask.floor).sum();
    let extras: Vec<u64> = asks
        .iter()
        .map(|ask| ask.wanted.saturating_sub(ask.floor))
        .collect();
    let extra: u64 = extras.iter().sum();
    let left = machines.saturating_sub(floors);
    if extra <= left {
        return None;
    }
    let shares = asks.iter().zip(&extras);
    Some(
        shares
            .map(|(ask, own)| ask.floor + left * own / extra)
            .collect(),
    )
}
