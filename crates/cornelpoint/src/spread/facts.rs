use std::collections::BTreeMap;

use super::digest::Digest;
use super::digest::MarkVersion;
use super::endpoint_mark::EndpointMark;
use super::endpoint_mark::MarkCause;
use super::update::Adoption;
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

/// The facts that one process knows.
///
/// ```
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::spread::EndpointMark;
/// use cornelpoint::spread::Facts;
/// use cornelpoint::spread::MarkCause;
/// use cornelpoint::spread::Update;
///
/// let instance = InstanceId::try_from("quoting-1").unwrap();
/// let mark = EndpointMark {
///     instance: instance.clone(),
///     epoch: 1,
///     accepts_work: false,
///     cause: MarkCause::Operator,
/// };
/// let mut first = Facts::default();
/// first.apply(Update { configuration: None, marks: vec![mark] });
///
/// let mut second = Facts::default();
/// second.apply(first.newer_than(&second.digest()));
/// assert!(!second.accepts_work(&instance));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Facts {
    configuration: Option<Configuration>,
    marks: BTreeMap<MarkKey, EndpointMark>,
}

impl Facts {
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
        self.marks.get(&MarkKey {
            instance: instance.clone(),
            cause,
        })
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
        self.marks.values()
    }

    /// What this process knows, in short.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            generation: self.generation(),
            marks: self.marks.values().map(mark_version).collect(),
        }
    }

    /// The facts that a process with this digest lacks.
    #[must_use]
    pub fn newer_than(&self, digest: &Digest) -> Update {
        let known: BTreeMap<MarkKey, (u64, bool)> = digest
            .marks
            .iter()
            .map(|mark| (version_key(mark), (mark.epoch, !mark.accepts_work)))
            .collect();
        Update {
            configuration: self
                .configuration
                .as_ref()
                .filter(|configuration| configuration.generation > digest.generation)
                .cloned(),
            marks: self
                .marks
                .values()
                .filter(|mark| {
                    known
                        .get(&mark_key(mark))
                        .is_none_or(|&order| mark.order() > order)
                })
                .cloned()
                .collect(),
        }
    }

    /// Whether a process with this digest knows something newer.
    #[must_use]
    pub fn lacks(&self, digest: &Digest) -> bool {
        let newer_mark = |mark: &MarkVersion| {
            self.marks
                .get(&version_key(mark))
                .is_none_or(|own| (mark.epoch, !mark.accepts_work) > own.order())
        };
        digest.generation > self.generation() || digest.marks.iter().any(newer_mark)
    }

    /// Takes what is newer from an update and tells what changed.
    pub fn apply(&mut self, update: Update) -> Adoption {
        let mut adoption = Adoption::default();
        if let Some(configuration) = update.configuration {
            adoption.configuration = self.adopt_configuration(configuration);
        }
        for mark in update.marks {
            if self.adopt_mark(&mark) {
                adoption.marks.push(mark);
            }
        }
        adoption
    }

    fn adopt_configuration(&mut self, configuration: Configuration) -> bool {
        if configuration.generation <= self.generation() {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    fn adopt_mark(&mut self, mark: &EndpointMark) -> bool {
        let newer = self
            .marks
            .get(&mark_key(mark))
            .is_none_or(|own| mark.supersedes(own));
        if newer {
            self.marks.insert(mark_key(mark), mark.clone());
        }
        newer
    }
}

fn mark_version(mark: &EndpointMark) -> MarkVersion {
    MarkVersion {
        instance: mark.instance.clone(),
        cause: mark.cause,
        epoch: mark.epoch,
        accepts_work: mark.accepts_work,
    }
}

fn mark_key(mark: &EndpointMark) -> MarkKey {
    MarkKey {
        instance: mark.instance.clone(),
        cause: mark.cause,
    }
}

fn version_key(version: &MarkVersion) -> MarkKey {
    MarkKey {
        instance: version.instance.clone(),
        cause: version.cause,
    }
}
