/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Requests that got an endpoint's answer.
    Answered,
    /// Claims of idempotency keys that were written.
    Claim,
    /// Claims that the platform did not take in time.
    ClaimFailure,
    /// Callers' connections over the limit.
    ConnectionTurnedAway,
    /// Endpoints taken out after failures.
    EndpointEjected,
    /// Endpoints taken back after a trial.
    EndpointReadmitted,
    /// Messages to a keeper without an answer in time.
    KeeperFailure,
    /// Log records that found the queue full.
    LogDropped,
    /// Sends that an endpoint did not start.
    NotStarted,
    /// Messages to the platform without an answer in time.
    PlatformFailure,
    /// Requests that were read whole.
    Received,
    /// Requests refused as not run; tag `reason`.
    Refused,
    /// Requests sent again.
    Retry,
    /// Requests that may have run without an answer; tag `reason`.
    Unknown,
}

impl Counter {
    /// All of them, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[
        Self::Answered,
        Self::Claim,
        Self::ClaimFailure,
        Self::ConnectionTurnedAway,
        Self::EndpointEjected,
        Self::EndpointReadmitted,
        Self::KeeperFailure,
        Self::LogDropped,
        Self::NotStarted,
        Self::PlatformFailure,
        Self::Received,
        Self::Refused,
        Self::Retry,
        Self::Unknown,
    ];

    /// The name without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "request.answered",
            Self::Claim => "claim.written",
            Self::ClaimFailure => "claim.failed",
            Self::ConnectionTurnedAway => "caller.turned_away",
            Self::EndpointEjected => "endpoint.ejected",
            Self::EndpointReadmitted => "endpoint.readmitted",
            Self::KeeperFailure => "keeper.failed",
            Self::LogDropped => "log.dropped",
            Self::NotStarted => "endpoint.not_started",
            Self::PlatformFailure => "platform.failed",
            Self::Received => "request.received",
            Self::Refused => "request.refused",
            Self::Retry => "request.retried",
            Self::Unknown => "request.unknown",
        }
    }
}
