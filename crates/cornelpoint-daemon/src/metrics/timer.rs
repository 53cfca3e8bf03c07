/// A time that something took, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timer {
    /// From the wish for a claim to its answer.
    Claim,
    /// From the start of a send to the endpoint's whole answer.
    Endpoint,
    /// From a message to the platform to its usable answer.
    Platform,
    /// From the first byte of a request to its answer.
    Request,
}

impl Timer {
    /// All of them, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[Self::Claim, Self::Endpoint, Self::Platform, Self::Request];

    /// The name without the prefix.
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
