use crate::request::Refusal;

/// What a gateway does after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Pass on the latest whole answer that any try brought.
    Answer,
    /// Send the request to another endpoint.
    RetryElsewhere,
    /// Refuse; the request did not run.
    RefuseNotRun(Refusal),
    /// Refuse; the request may have run.
    RefuseUnknown(Refusal),
}
