/// A rule that is left out, to show that its absence is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// Workers take orders of deposed owners.
    NoFence,
    /// Ends are acknowledged although the store has not taken them.
    EarlyAcknowledgement,
    /// A successor does not wait for its predecessors' leases.
    NoWaitForLeases,
    /// Late transactions are carried out whatever came after them.
    NoWriteOrder,
}
