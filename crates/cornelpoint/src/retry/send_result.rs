/// What became of one send of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The endpoint answered, and the answer is whole.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The endpoint said that it did not start the request.
    NotStarted,
    /// The connection broke after the first byte of the request may have left.
    Broken,
    /// No whole answer came in time.
    Late,
}

impl SendResult {
    /// Whether the request may have run at the endpoint.
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

    /// Whether the answer goes to the caller whatever else is known, so that
    /// no retry can follow.
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

/// Statuses that say more of the endpoint than of the request.
fn is_endpoint_failure(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}
