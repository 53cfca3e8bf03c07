use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::job::JobId;

/// Time after which rows that the store has refused are written again.
const REFUSED_RETRY_MS: u64 = 5000;

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

/// A job whose rows the store has refused.
#[derive(Clone, Copy, Debug)]
struct RefusedJob {
    job: UnstoredJob,
    retry_ms: u64,
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
    /// Jobs whose rows the store has refused; they wait apart from the others.
    refused: HashMap<JobId, RefusedJob>,
    changes: u64,
}

impl UnstoredJobs {
    /// Adds a change of a job, and returns its number.
    pub(super) fn insert(&mut self, id: JobId, urgency: Urgency) -> u64 {
        self.changes += 1;
        let change = self.changes;
        self.restore(UnstoredJob {
            id,
            urgency,
            change,
        });
        change
    }

    /// Puts a job back in its place that was taken but not stored.
    pub(super) fn restore(&mut self, job: UnstoredJob) {
        if let Some(refused) = self.refused.get_mut(&job.id) {
            refused.job.urgency = refused.job.urgency.min(job.urgency);
            refused.job.change = refused.job.change.min(job.change);
            return;
        }
        let mut place = (job.urgency, job.change);
        if let Some((urgency, change)) = self.places.remove(&job.id) {
            self.jobs_mut(urgency).remove(&change);
            place = (urgency.min(job.urgency), change.min(job.change));
        }
        let (urgency, change) = place;
        self.jobs_mut(urgency).insert(change, job.id);
        self.places.insert(job.id, place);
    }

    /// Sets a job aside whose rows the store has refused.
    pub(super) fn refuse(&mut self, mut job: UnstoredJob, now_ms: u64) {
        if let Some((urgency, change)) = self.places.remove(&job.id) {
            self.jobs_mut(urgency).remove(&change);
            job.urgency = job.urgency.min(urgency);
            job.change = job.change.min(change);
        }
        let retry_ms = now_ms + REFUSED_RETRY_MS;
        self.refused.insert(job.id, RefusedJob { job, retry_ms });
    }

    /// Puts refused jobs back that are to be tried again.
    pub(super) fn retry_refused(&mut self, now_ms: u64) {
        let due = self.refused.values();
        let due = due.filter(|refused| refused.retry_ms <= now_ms);
        let due: Vec<UnstoredJob> = due.map(|refused| refused.job).collect();
        for job in due {
            self.refused.remove(&job.id);
            self.restore(job);
        }
    }

    /// Forgets a job.
    pub(super) fn remove(&mut self, id: JobId) {
        self.refused.remove(&id);
        if let Some((urgency, change)) = self.places.remove(&id) {
            self.jobs_mut(urgency).remove(&change);
        }
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

    /// Whether all changes of a job up to a number are taken.
    pub(super) fn are_taken(&self, id: JobId, changes: u64) -> bool {
        let place = self.places.get(&id).map(|(_, change)| *change);
        let refused = self.refused.get(&id).map(|refused| refused.job.change);
        let mut waiting = place.into_iter().chain(refused);
        waiting.all(|change| change > changes)
    }

    fn jobs_mut(&mut self, urgency: Urgency) -> &mut BTreeMap<u64, JobId> {
        match urgency {
            Urgency::Awaited => &mut self.awaited,
            Urgency::Progress => &mut self.progress,
        }
    }
}
