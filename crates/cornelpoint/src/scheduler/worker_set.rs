use std::collections::BTreeSet;

use super::action::IncarnationIndex;

/// Set of worker incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WorkerSet {
    All,
    Some(BTreeSet<IncarnationIndex>),
}

impl Default for WorkerSet {
    fn default() -> Self {
        Self::Some(BTreeSet::new())
    }
}

impl WorkerSet {
    pub(super) fn insert(&mut self, incarnation: IncarnationIndex) {
        if let Self::Some(incarnations) = self {
            incarnations.insert(incarnation);
        }
    }

    pub(super) fn extend(&mut self, others: Self) {
        match (self, others) {
            (Self::All, _) => {}
            (set, Self::All) => *set = Self::All,
            (Self::Some(incarnations), Self::Some(others)) => incarnations.extend(others),
        }
    }
}
