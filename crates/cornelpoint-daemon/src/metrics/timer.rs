/// Timer of durations, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timer {
    /// From the request for a claim to its result.
    Claim,
    /// From the start of sending to the endpoint's complete answer.
    Endpoint,
    /// From a call to the platform to its usable answer.
    Platform,
    /// From the first byte of a request to its answer.
    Request,
}

impl Timer {
    /// All timers, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[Self::Claim, Self::Endpoint, Self::Platform, Self::Request];

    /// Name of the metric, without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim.time",
            Self::Endpoint => "endpoint.time",
            Self::Platform => "platform.time",
            Self::Request => "request.time",
        }
    }
}
