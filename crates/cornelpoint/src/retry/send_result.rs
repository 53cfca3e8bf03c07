/// Result of sending a request to an endpoint once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The endpoint sent a complete answer.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The endpoint reported that it did not start the request.
    NotStarted,
    /// The connection broke after the first byte of the request may have been
    /// sent.
    Broken,
    /// No complete answer arrived in time.
    Late,
}

impl SendResult {
    /// Returns whether the request may have run at the endpoint.
    ///
    /// ```
    /// use cornelpoint::retry::SendResult;
    ///
    /// assert!(SendResult::Broken.may_have_run());
    /// assert!(!SendResult::NotStarted.may_have_run());
    /// ```
    #[must_use]
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Answered { .. } | Self::Broken | Self::Late => true,
            Self::NotSent | Self::NotStarted => false,
        }
    }

    /// Returns whether the answer always goes to the caller, so that no retry
    /// can follow.
    ///
    /// ```
    /// use cornelpoint::retry::SendResult;
    ///
    /// assert!(SendResult::Answered { status: 404 }.is_final());
    /// assert!(!SendResult::Answered { status: 503 }.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Answered { status } if !is_endpoint_failure(status))
    }
}

/// Returns whether a status points to a fault of the endpoint rather than of the
/// request.
fn is_endpoint_failure(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}
