use cornelpoint::request::Refusal;

/// Why a caller's bytes were rejected as a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// The reason.
    pub(super) refusal: Refusal,
    /// What was expected and what was found.
    pub(super) detail: String,
}

impl Rejection {
    /// Creates a rejection for a malformed or unsupported request.
    pub(super) fn bad_request(detail: &str) -> Self {
        Self::new(Refusal::BadRequest, detail)
    }

    /// Creates a rejection.
    pub(super) fn new(refusal: Refusal, detail: &str) -> Self {
        Self {
            refusal,
            detail: detail.to_owned(),
        }
    }
}
