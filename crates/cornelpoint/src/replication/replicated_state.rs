use std::collections::BTreeMap;

use super::endpoint_mark::EndpointMark;
use super::endpoint_mark::MarkCause;
use super::position::Position;
use super::update::AppliedChanges;
use super::update::Update;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::name::InstanceId;

const ALL_CAUSES: [MarkCause; 3] = [
    MarkCause::Operator,
    MarkCause::Endpoint,
    MarkCause::InstanceList,
];

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MarkKey {
    instance: InstanceId,
    cause: MarkCause,
}

#[derive(Clone, Debug)]
struct StoredMark {
    mark: EndpointMark,
    /// Sequence number of the change that set the mark.
    change: u64,
}

/// A process's copy of the replicated state.
///
/// ```
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::replication::EndpointMark;
/// use cornelpoint::replication::MarkCause;
/// use cornelpoint::replication::ReplicatedState;
/// use cornelpoint::replication::Update;
///
/// let instance = InstanceId::try_from("quoting-1").unwrap();
/// let mark = EndpointMark {
///     instance: instance.clone(),
///     epoch: 1,
///     accepts_work: false,
///     cause: MarkCause::Operator,
/// };
/// let mut first = ReplicatedState::default();
/// first.apply(Update { configuration: None, marks: vec![mark] });
///
/// let mut second = ReplicatedState::default();
/// second.apply(first.since(None, second.generation()));
/// assert!(!second.accepts_work(&instance));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplicatedState {
    incarnation: u64,
    /// Sequence number of the last change.
    last_change: u64,
    configuration: Option<Configuration>,
    /// Sequence number of the change that set the configuration.
    configuration_change: u64,
    marks: BTreeMap<MarkKey, StoredMark>,
    /// Keys of the marks by the sequence number of their last change.
    marks_by_change: BTreeMap<u64, MarkKey>,
}

impl ReplicatedState {
    /// Creates an empty state for one incarnation of a process.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Returns the position of a reader that has read all changes.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            incarnation: self.incarnation,
            change: self.last_change,
        }
    }

    /// Returns the changes since a reader's position, or the whole state if the
    /// reader has no position or one from another incarnation.
    ///
    /// The configuration is left out if it is not newer than `known`, the newest
    /// generation that the reader has from any process.
    ///
    /// ```
    /// use cornelpoint::configuration::Generation;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::replication::EndpointMark;
    /// use cornelpoint::replication::MarkCause;
    /// use cornelpoint::replication::ReplicatedState;
    /// use cornelpoint::replication::Update;
    ///
    /// let mut state = ReplicatedState::new(1);
    /// let mark = EndpointMark {
    ///     instance: InstanceId::try_from("quoting-1").unwrap(),
    ///     epoch: 1,
    ///     accepts_work: false,
    ///     cause: MarkCause::Operator,
    /// };
    /// state.apply(Update { configuration: None, marks: vec![mark] });
    /// assert_eq!(state.since(None, Generation(0)).marks.len(), 1);
    /// assert!(state.since(Some(state.position()), Generation(0)).is_empty());
    /// ```
    #[must_use]
    pub fn since(&self, position: Option<Position>, known: Generation) -> Update {
        let last_read = position
            .filter(|position| position.incarnation == self.incarnation)
            .map_or(0, |position| position.change);
        Update {
            configuration: self
                .configuration
                .as_ref()
                .filter(|configuration| {
                    self.configuration_change > last_read && configuration.generation > known
                })
                .cloned(),
            marks: self
                .marks_by_change
                .range(last_read + 1..)
                .filter_map(|(_, key)| self.marks.get(key))
                .map(|stored| stored.mark.clone())
                .collect(),
        }
    }

    /// Returns the newest known configuration.
    #[must_use]
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the generation of the newest known configuration, or zero if none
    /// is known.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration
            .as_ref()
            .map_or(Generation(0), |configuration| configuration.generation)
    }

    /// Returns whether an endpoint accepts new work: it does unless the mark of
    /// some source says otherwise.
    #[must_use]
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        ALL_CAUSES
            .iter()
            .filter_map(|&cause| self.mark(instance, cause))
            .all(|mark| mark.accepts_work)
    }

    /// Returns the newest mark of an endpoint from one source.
    #[must_use]
    pub fn mark(&self, instance: &InstanceId, cause: MarkCause) -> Option<&EndpointMark> {
        let key = MarkKey {
            instance: instance.clone(),
            cause,
        };
        self.marks.get(&key).map(|stored| &stored.mark)
    }

    /// Returns the sum of the epochs of an endpoint's marks over all sources,
    /// which grows with every mark that can return the endpoint to service.
    #[must_use]
    pub fn work_epoch(&self, instance: &InstanceId) -> u64 {
        ALL_CAUSES
            .iter()
            .filter_map(|&cause| self.mark(instance, cause))
            .map(|mark| mark.epoch)
            .sum()
    }

    /// Returns the epoch for a source's next mark of an endpoint.
    #[must_use]
    pub fn next_epoch(&self, instance: &InstanceId, cause: MarkCause) -> u64 {
        self.mark(instance, cause).map_or(1, |mark| mark.epoch + 1)
    }

    /// Iterates over all marks, ordered by endpoint.
    pub fn marks(&self) -> impl Iterator<Item = &EndpointMark> {
        self.marks.values().map(|stored| &stored.mark)
    }

    /// Applies those parts of an update that are newer than this state, and
    /// returns what changed.
    pub fn apply(&mut self, update: Update) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        if let Some(configuration) = update.configuration {
            applied.configuration = self.apply_configuration(configuration);
        }
        for mark in update.marks {
            if self.apply_mark(&mark) {
                applied.marks.push(mark);
            }
        }
        applied
    }

    fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        if configuration.generation <= self.generation() {
            return false;
        }
        self.last_change += 1;
        self.configuration_change = self.last_change;
        self.configuration = Some(configuration);
        true
    }

    fn apply_mark(&mut self, mark: &EndpointMark) -> bool {
        let key = mark_key(mark);
        let known = self.marks.get(&key);
        if known.is_some_and(|known| !mark.supersedes(&known.mark)) {
            return false;
        }
        if let Some(known) = known {
            self.marks_by_change.remove(&known.change);
        }
        self.last_change += 1;
        self.marks_by_change.insert(self.last_change, key.clone());
        let stored = StoredMark {
            mark: mark.clone(),
            change: self.last_change,
        };
        self.marks.insert(key, stored);
        true
    }
}

fn mark_key(mark: &EndpointMark) -> MarkKey {
    MarkKey {
        instance: mark.instance.clone(),
        cause: mark.cause,
    }
}
