use serde::Deserialize;
use serde::Serialize;

use super::endpoint_mark::EndpointMark;
use crate::configuration::Configuration;

/// Facts that another process may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// A configuration, when it is newer than the other process's.
    pub configuration: Option<Configuration>,
    /// Marks that are newer than the other process's.
    pub marks: Vec<EndpointMark>,
}

impl Update {
    /// Whether the update says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.marks.is_empty()
    }
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// A newer configuration took effect.
    pub configuration: bool,
    /// Endpoints whose mark changed.
    pub marks: Vec<EndpointMark>,
}

impl AppliedChanges {
    /// Whether anything changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.configuration && self.marks.is_empty()
    }
}
