use serde::Deserialize;
use serde::Serialize;

use super::endpoint_mark::EndpointMark;
use crate::configuration::Configuration;

/// Changes of the replicated state that another process may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it is newer than the other process's.
    pub configuration: Option<Configuration>,
    /// Marks that are newer than the other process's.
    pub marks: Vec<EndpointMark>,
}

impl Update {
    /// Returns whether the update contains no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.marks.is_empty()
    }
}

/// Changes that an update made to a process's state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Whether a newer configuration took effect.
    pub configuration: bool,
    /// Marks that were new or superseded an older one.
    pub marks: Vec<EndpointMark>,
}

impl AppliedChanges {
    /// Returns whether anything changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.configuration && self.marks.is_empty()
    }
}
