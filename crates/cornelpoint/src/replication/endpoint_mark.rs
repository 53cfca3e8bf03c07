use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// Who said that an endpoint takes, or no longer takes, new work.
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

/// Whether an endpoint takes new work, as one source says.
///
/// Each source numbers its own marks of an endpoint; the sources do not
/// overrule each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointMark {
    /// The endpoint.
    pub instance: InstanceId,
    /// Order of one source's marks of an endpoint; a higher one is newer.
    pub epoch: u64,
    /// Whether the endpoint takes new work.
    pub accepts_work: bool,
    /// Who said so.
    pub cause: MarkCause,
}

impl EndpointMark {
    /// Whether this mark takes the place of another of the same endpoint and
    /// source.
    ///
    /// The higher epoch wins. Within one epoch a mark that stops work wins,
    /// so that a late mark of the same epoch cannot bring an endpoint back.
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

    /// The mark's place among one source's marks of an endpoint.
    #[must_use]
    pub fn order(&self) -> (u64, bool) {
        (self.epoch, !self.accepts_work)
    }
}
