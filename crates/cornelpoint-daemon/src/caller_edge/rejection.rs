use cornelpoint::request::Refusal;

/// Why the bytes of a caller are not taken as a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// The reason.
    pub(super) refusal: Refusal,
    /// What was expected and what was found.
    pub(super) detail: String,
}

impl Rejection {
    /// A rejection for a form that is not taken.
    pub(super) fn bad_request(detail: &str) -> Self {
        Self::new(Refusal::BadRequest, detail)
    }

    /// A rejection with its reason.
    pub(super) fn new(refusal: Refusal, detail: &str) -> Self {
        Self {
            refusal,
            detail: detail.to_owned(),
        }
    }
}
