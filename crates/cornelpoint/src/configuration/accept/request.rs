use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::configuration::record::AcceptToken;
use crate::name::WorkspaceName;

/// Request of an operator to accept a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptRequest {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Newest generation that the operator saw; 0 for none.
    pub seen: Generation,
    /// Token of this accept, the same for every attempt.
    pub token: AcceptToken,
    /// Operator who makes the request.
    pub who: String,
    /// Reason that the operator gives.
    pub why: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
    /// Content of the next generation.
    pub content: AcceptContent,
}

/// Content of the next generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptContent {
    /// A checked configuration.
    Given(Box<Configuration>),
    /// The content of an earlier generation.
    Restored(Generation),
}
