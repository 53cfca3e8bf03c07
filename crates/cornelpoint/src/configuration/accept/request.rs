use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::configuration::record::AcceptToken;
use crate::name::WorkspaceName;

/// What an operator wants to bring into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptRequest {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Generation that the operator saw as the newest; 0 for none.
    pub seen: Generation,
    /// Mark of this accept; the same for every try of it.
    pub token: AcceptToken,
    /// Operator who asks.
    pub who: String,
    /// Reason that the operator gives.
    pub why: String,
    /// Time of the request, in milliseconds since 1970.
    pub now_unix_ms: u64,
    /// What the next generation holds.
    pub content: AcceptContent,
}

/// What the next generation holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptContent {
    /// A checked configuration.
    Given(Box<Configuration>),
    /// The content of an earlier generation.
    Restored(Generation),
}
