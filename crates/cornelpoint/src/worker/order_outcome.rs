/// How a worker answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out, or it was already.
    Done {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// Not carried out, and never will be.
    Rejected(Rejection),
    /// The order never reached the worker.
    NotSent,
    /// It may be carried out, also later.
    NoAnswer,
}

/// Why a worker refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It has seen a higher fencing token.
    Fence,
    /// A run as high has ended or been stopped there.
    OldRun,
    /// The lease that the order carries has passed.
    Late,
    /// There is no capacity left.
    NoCapacity,
    /// The ticket does not hold.
    Ticket,
    /// Another life answers at the address.
    OtherLife,
    /// It considers itself unhealthy.
    Unhealthy,
    /// It can't read the order.
    Malformed,
}
