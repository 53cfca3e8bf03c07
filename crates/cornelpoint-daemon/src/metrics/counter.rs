/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Requests that got an endpoint's answer.
    Answered,
    /// Claims of idempotency keys that were written.
    Claim,
    /// Claims that could not be written in time.
    ClaimFailure,
    /// Messages to a keeper without a usable answer.
    KeeperFailure,
    /// Sends that an endpoint did not start.
    NotStarted,
    /// Messages to the platform without a usable answer.
    PlatformFailure,
    /// Requests that were read whole.
    Received,
    /// Requests refused as not run; tag `reason`.
    Refused,
    /// Requests that may have run without an answer; tag `reason`.
    Unknown,
}

impl Counter {
    /// All of them, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[
        Self::Answered,
        Self::Claim,
        Self::ClaimFailure,
        Self::KeeperFailure,
        Self::NotStarted,
        Self::PlatformFailure,
        Self::Received,
        Self::Refused,
        Self::Unknown,
    ];

    /// The name without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "request.answered",
            Self::Claim => "claim.written",
            Self::ClaimFailure => "claim.failed",
            Self::KeeperFailure => "keeper.failed",
            Self::NotStarted => "endpoint.not_started",
            Self::PlatformFailure => "platform.failed",
            Self::Received => "request.received",
            Self::Refused => "request.refused",
            Self::Unknown => "request.unknown",
        }
    }
}
