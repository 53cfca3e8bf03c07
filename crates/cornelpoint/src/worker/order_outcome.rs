/// A worker's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is carried out, now or by an earlier attempt.
    Done {
        /// Reading of the worker's clock.
        clock_ms: u64,
    },
    /// The worker rejected the order and will never carry it out.
    Rejected(Rejection),
    /// The order never reached the worker.
    NotSent,
    /// The same, since this process had no connection free. Says nothing about the
    /// worker.
    Busy,
    /// There was no usable answer; the order may be carried out, also later.
    NoAnswer,
}

/// Why a worker rejects an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has received a higher fencing token.
    Fence,
    /// A run of the task with the same or a higher number has ended or was
    /// stopped on the worker.
    OldRun,
    /// The lease in the order has expired.
    Late,
    /// The worker does not have enough free capacity.
    NoCapacity,
    /// The placement ticket is not valid.
    Ticket,
    /// Another incarnation answers at the worker's address.
    OtherLife,
    /// The worker considers itself unhealthy.
    Unhealthy,
    /// The worker can't parse the order.
    Malformed,
}
