use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// Source of an endpoint's mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MarkCause {
    /// An operator.
    Operator,
    /// The endpoint itself.
    Endpoint,
    /// The platform's list of instances.
    InstanceList,
}

/// Whether an endpoint accepts new work, according to one source.
///
/// Each source numbers its own marks of an endpoint. A mark never overrides
/// that of another source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointMark {
    /// The endpoint.
    pub instance: InstanceId,
    /// Number of the mark among the same source's marks of the endpoint; a higher
    /// one is newer.
    pub epoch: u64,
    /// Whether the endpoint accepts new work.
    pub accepts_work: bool,
    /// Source of the mark.
    pub cause: MarkCause,
}

impl EndpointMark {
    /// Returns whether this mark replaces another of the same endpoint and
    /// source.
    ///
    /// The mark with the higher epoch wins. Within an epoch, the mark that
    /// accepts no work wins, so that a late mark of the same epoch can't return
    /// an endpoint to service.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::replication::EndpointMark;
    /// use cornelpoint::replication::MarkCause;
    ///
    /// let mark = |epoch, accepts_work| EndpointMark {
    ///     instance: InstanceId::try_from("quoting-1").unwrap(),
    ///     epoch,
    ///     accepts_work,
    ///     cause: MarkCause::Operator,
    /// };
    /// assert!(mark(2, true).supersedes(&mark(1, false)));
    /// assert!(mark(1, false).supersedes(&mark(1, true)));
    /// assert!(!mark(1, true).supersedes(&mark(1, false)));
    /// ```
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Returns the sort key of the mark among the same source's marks of an
    /// endpoint.
    #[must_use]
    pub fn order(&self) -> (u64, bool) {
        (self.epoch, !self.accepts_work)
    }
}
