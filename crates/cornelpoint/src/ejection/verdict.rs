use serde::Deserialize;
use serde::Serialize;

/// Whether an endpoint may be sent the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It may be sent requests.
    Take,
    /// It may be sent one request, to find out whether it has recovered. That
    /// request must be idempotent, so that it can be sent elsewhere when the
    /// trial fails.
    Trial,
    /// It may not be sent requests.
    Avoid,
}
