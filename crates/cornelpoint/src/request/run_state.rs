use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at an endpoint, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// No byte of the request can have reached an endpoint, or the endpoint
    /// reported that it did not start the request.
    No,
    /// The endpoint answered.
    Yes,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Name of the response header that carries the state.
    pub const HEADER: &'static str = "cornelpoint-run";

    /// Returns the state as written in the header.
    ///
    /// ```
    /// use cornelpoint::request::RunState;
    ///
    /// assert_eq!(RunState::No.as_str(), "no");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}
