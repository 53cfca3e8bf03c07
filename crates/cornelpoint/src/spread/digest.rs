use serde::Deserialize;
use serde::Serialize;

use super::endpoint_mark::MarkCause;
use crate::configuration::Generation;
use crate::name::InstanceId;

/// Which mark of an endpoint a process knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkVersion {
    /// The endpoint.
    pub instance: InstanceId,
    /// Source of the mark.
    pub cause: MarkCause,
    /// Epoch of the mark.
    pub epoch: u64,
    /// Whether the mark lets the endpoint take new work.
    pub accepts_work: bool,
}

/// What a process knows, in short: sent to ask for what is newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Newest generation known.
    pub generation: Generation,
    /// Marks known, in the order of their endpoints.
    pub marks: Vec<MarkVersion>,
}
