use std::collections::BTreeMap;

use super::endpoint_mark::EndpointMark;
use super::endpoint_mark::MarkCause;
use super::position::Position;
use super::update::AppliedChanges;
use super::update::Update;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::name::InstanceId;

const CAUSES: [MarkCause; 3] = [
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
    change: u64,
}

/// The facts that one process knows.
///
/// ```
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::replication::EndpointMark;
/// use cornelpoint::replication::ReplicatedState;
/// use cornelpoint::replication::MarkCause;
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
    changes: u64,
    configuration: Option<Configuration>,
    configuration_change: u64,
    marks: BTreeMap<MarkKey, StoredMark>,
    mark_changes: BTreeMap<u64, MarkKey>,
}

impl ReplicatedState {
    /// No facts, in a process that started with this incarnation.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Where a reader is that has read all facts.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            incarnation: self.incarnation,
            change: self.changes,
        }
    }

    /// What changed since a reader's position; all facts for a reader without
    /// one, or with one of an earlier start of this process. A configuration
    /// is left out when the reader knows its generation, from whomever.
    ///
    /// ```
    /// use cornelpoint::configuration::Generation;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::replication::EndpointMark;
    /// use cornelpoint::replication::ReplicatedState;
    /// use cornelpoint::replication::MarkCause;
    /// use cornelpoint::replication::Update;
    ///
    /// let mut facts = ReplicatedState::new(1);
    /// let mark = EndpointMark {
    ///     instance: InstanceId::try_from("quoting-1").unwrap(),
    ///     epoch: 1,
    ///     accepts_work: false,
    ///     cause: MarkCause::Operator,
    /// };
    /// facts.apply(Update { configuration: None, marks: vec![mark] });
    /// assert_eq!(facts.since(None, Generation(0)).marks.len(), 1);
    /// assert!(facts.since(Some(facts.position()), Generation(0)).is_empty());
    /// ```
    #[must_use]
    pub fn since(&self, position: Option<Position>, known: Generation) -> Update {
        let read = position
            .filter(|position| position.incarnation == self.incarnation)
            .map_or(0, |position| position.change);
        Update {
            configuration: self
                .configuration
                .as_ref()
                .filter(|configuration| {
                    self.configuration_change > read && configuration.generation > known
                })
                .cloned(),
            marks: self
                .mark_changes
                .range(read + 1..)
                .filter_map(|(_, key)| self.marks.get(key))
                .map(|stored| stored.mark.clone())
                .collect(),
        }
    }

    /// The newest configuration known.
    #[must_use]
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The newest generation known; zero without a configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration
            .as_ref()
            .map_or(Generation(0), |configuration| configuration.generation)
    }

    /// Whether an endpoint takes new work: no source says that it does not.
    #[must_use]
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        CAUSES
            .iter()
            .filter_map(|&cause| self.mark(instance, cause))
            .all(|mark| mark.accepts_work)
    }

    /// The newest mark of an endpoint from one source.
    #[must_use]
    pub fn mark(&self, instance: &InstanceId, cause: MarkCause) -> Option<&EndpointMark> {
        let key = MarkKey {
            instance: instance.clone(),
            cause,
        };
        self.marks.get(&key).map(|stored| &stored.mark)
    }

    /// Order of an endpoint's states over all sources: it grows with every
    /// mark that can bring the endpoint back.
    #[must_use]
    pub fn work_epoch(&self, instance: &InstanceId) -> u64 {
        CAUSES
            .iter()
            .filter_map(|&cause| self.mark(instance, cause))
            .map(|mark| mark.epoch)
            .sum()
    }

    /// The epoch that a source's next mark of an endpoint gets.
    #[must_use]
    pub fn next_epoch(&self, instance: &InstanceId, cause: MarkCause) -> u64 {
        self.mark(instance, cause).map_or(1, |mark| mark.epoch + 1)
    }

    /// All marks, in the order of their endpoints.
    pub fn marks(&self) -> impl Iterator<Item = &EndpointMark> {
        self.marks.values().map(|stored| &stored.mark)
    }

    /// Takes what is newer from an update and tells what changed.
    pub fn apply(&mut self, update: Update) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        if let Some(configuration) = update.configuration {
            applied.configuration = self.adopt_configuration(configuration);
        }
        for mark in update.marks {
            if self.adopt_mark(&mark) {
                applied.marks.push(mark);
            }
        }
        applied
    }

    fn adopt_configuration(&mut self, configuration: Configuration) -> bool {
        if configuration.generation <= self.generation() {
            return false;
        }
        self.changes += 1;
        self.configuration_change = self.changes;
        self.configuration = Some(configuration);
        true
    }

    fn adopt_mark(&mut self, mark: &EndpointMark) -> bool {
        let key = mark_key(mark);
        let known = self.marks.get(&key);
        if known.is_some_and(|known| !mark.supersedes(&known.mark)) {
            return false;
        }
        if let Some(known) = known {
            self.mark_changes.remove(&known.change);
        }
        self.changes += 1;
        self.mark_changes.insert(self.changes, key.clone());
        let stored = StoredMark {
            mark: mark.clone(),
            change: self.changes,
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
