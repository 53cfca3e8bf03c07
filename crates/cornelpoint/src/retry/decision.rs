use crate::request::Refusal;

/// What a gateway does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Return the latest complete answer of any attempt to the caller.
    Answer,
    /// Send the request to another endpoint.
    RetryElsewhere,
    /// Reject the request, which did not run.
    RefuseNotRun(Refusal),
    /// Reject the request, which may have run.
    RefuseUnknown(Refusal),
}
