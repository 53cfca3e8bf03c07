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
}
