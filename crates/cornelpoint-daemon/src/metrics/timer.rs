/// A time that something took, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timer {
    /// From the wish for a claim to its answer.
    Claim,
    /// From the first byte sent to an endpoint to its whole answer.
    Endpoint,
    /// From a message to the platform to its answer.
    Platform,
    /// From the first byte of a request to its answer.
    Request,
    /// From the end of a request's body to its slot.
    Wait,
}

impl Timer {
    /// All of them, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[
        Self::Claim,
        Self::Endpoint,
        Self::Platform,
        Self::Request,
        Self::Wait,
    ];

    /// The name without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim.time",
            Self::Endpoint => "endpoint.time",
            Self::Platform => "platform.time",
            Self::Request => "request.time",
            Self::Wait => "request.wait",
        }
    }
}
