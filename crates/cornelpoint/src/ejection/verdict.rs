use serde::Deserialize;
use serde::Serialize;

/// Whether an endpoint may have the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It may.
    Take,
    /// It may have one request, to see whether it has recovered: an idempotent
    /// one, which can be sent elsewhere when the trial fails.
    Trial,
    /// It may not.
    Avoid,
}
