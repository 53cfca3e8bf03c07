use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::job::JobId;

/// Whether somebody waits for a job's rows to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A caller waits: for the acceptance or for the final status.
    Awaited,
    /// Only the acknowledgement of completions waits.
    Progress,
}

/// A job to be stored, with its place among the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnstoredJob {
    pub(super) id: JobId,
    pub(super) urgency: Urgency,
    /// Number of the earliest change that is not stored.
    pub(super) change: u64,
}

/// Jobs that have changed since their rows were last stored.
///
/// Awaited jobs come first, the others in the order of their changes: in a surge
/// jobs change faster than they are stored, and none may wait while others are
/// stored again and again.
#[derive(Clone, Debug, Default)]
pub(super) struct UnstoredJobs {
    awaited: BTreeMap<u64, JobId>,
    progress: BTreeMap<u64, JobId>,
    places: HashMap<JobId, (Urgency, u64)>,
    changes: u64,
}

impl UnstoredJobs {
    /// Adds a change of a job.
    pub(super) fn insert(&mut self, id: JobId, urgency: Urgency) {
        self.changes += 1;
        let change = self.changes;
        self.restore(UnstoredJob {
            id,
            urgency,
            change,
        });
    }

    /// Puts a job back in its place that was taken but not stored.
    pub(super) fn restore(&mut self, job: UnstoredJob) {
        let mut place = (job.urgency, job.change);
        if let Some((urgency, change)) = self.places.remove(&job.id) {
            self.jobs_mut(urgency).remove(&change);
            place = (urgency.min(job.urgency), change.min(job.change));
        }
        let (urgency, change) = place;
        self.jobs_mut(urgency).insert(change, job.id);
        self.places.insert(job.id, place);
    }

    /// Takes the job that is to be stored first.
    pub(super) fn pop_first(&mut self) -> Option<UnstoredJob> {
        let (urgency, (change, id)) = match self.awaited.pop_first() {
            Some(first) => (Urgency::Awaited, first),
            None => (Urgency::Progress, self.progress.pop_first()?),
        };
        self.places.remove(&id);
        Some(UnstoredJob {
            id,
            urgency,
            change,
        })
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of changes so far.
    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether all changes up to a number are taken.
    pub(super) fn are_taken(&self, changes: u64) -> bool {
        let first = [&self.awaited, &self.progress]
            .into_iter()
            .filter_map(|jobs| jobs.first_key_value());
        first.into_iter().all(|(&change, _)| change > changes)
    }

    fn jobs_mut(&mut self, urgency: Urgency) -> &mut BTreeMap<u64, JobId> {
        match urgency {
            Urgency::Awaited => &mut self.awaited,
            Urgency::Progress => &mut self.progress,
        }
    }
}
