use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::inbox::Withdrawal;
use crate::job::JobId;

/// Most jobs that are kept; then the oldest are forgotten, long after the last write of
/// their submission can be done.
const MAX_JOBS: usize = 100_000;

/// Jobs that the pool must not accept: callers were told that they are unknown or cancelled,
/// or that another pool has them. A write of their submission may still be done.
#[derive(Clone, Debug, Default)]
pub(super) struct WithdrawnJobs {
    jobs: BTreeMap<JobId, Withdrawal>,
    /// Jobs with the time since which they are kept, the oldest first.
    by_age: VecDeque<(u64, JobId)>,
}

impl WithdrawnJobs {
    pub(super) fn insert(&mut self, id: JobId, withdrawal: Withdrawal, now_ms: u64) {
        if self.jobs.insert(id, withdrawal).is_none() {
            self.by_age.push_back((now_ms, id));
        }
    }

    pub(super) fn get(&self, id: JobId) -> Option<Withdrawal> {
        self.jobs.get(&id).copied()
    }

    /// Removes a job that is stored as cancelled. Returns whether it was there.
    pub(super) fn remove(&mut self, id: JobId) -> bool {
        self.jobs.remove(&id).is_some()
    }

    /// Removes and returns the jobs that are kept since before a time, or are too many.
    pub(super) fn take_old(&mut self, before_ms: u64) -> Vec<JobId> {
        let mut old = Vec::new();
        while let Some(&(since_ms, id)) = self.by_age.front()
            && (since_ms < before_ms || self.by_age.len() > MAX_JOBS)
        {
            self.by_age.pop_front();
            if self.jobs.remove(&id).is_some() {
                old.push(id);
            }
        }
        old
    }
}
