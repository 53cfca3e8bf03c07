//! The store's rows of one pool.

use std::collections::BTreeMap;

use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::WorkerRecord;

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) token: u64,
    pub(crate) earlier_over_ms: u64,
    pub(crate) records: BTreeMap<JobId, JobRecord>,
    pub(crate) progress: BTreeMap<JobId, JobProgress>,
    pub(crate) workers: Vec<WorkerRecord>,
    /// Version of the owner's sign of life; rises with each transaction.
    pub(crate) beat_version: u64,
}

impl FakeStore {
    /// Takes a batch of an owner; false when another one owns the pool.
    pub(crate) fn apply(&mut self, token: u64, batch: &Batch) -> bool {
        if token != self.token {
            return false;
        }
        self.beat_version += 1;
        self.records.extend(batch.records.iter().cloned());
        self.progress.extend(batch.progress.iter().cloned());
        for id in &batch.expired {
            self.records.remove(id);
            self.progress.remove(id);
        }
        if let Some(workers) = &batch.workers {
            self.workers.clone_from(workers);
        }
        true
    }

    /// Carries a batch out whose answer was lost, if its condition still holds.
    pub(crate) fn apply_late(&mut self, token: u64, beat_version: u64, batch: &Batch) {
        if self.beat_version == beat_version {
            self.apply(token, batch);
        }
    }
}
