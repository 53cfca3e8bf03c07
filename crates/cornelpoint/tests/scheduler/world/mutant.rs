/// A safety rule that is left out, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// Calls are carried out by whatever incarnation is at the worker's address.
    UnboundCalls,
    /// Owners that have a successor renew leases without a quorum of workers.
    NoQuorum,
    /// Workers accept orders of fenced owners.
    NoFence,
    /// Completions are acknowledged before they are stored.
    EarlyAcknowledgement,
    /// A successor does not wait for its predecessors' leases to expire.
    NoWaitForLeases,
    /// Late transactions are written even after newer ones.
    NoWriteOrder,
    /// Reports that leave out completions don't say so.
    UnmarkedReports,
}
