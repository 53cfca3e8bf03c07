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
}

impl FakeStore {
    /// Takes a batch of an owner; false when another one owns the pool.
    pub(crate) fn apply(&mut self, token: u64, batch: &Batch) -> bool {
        if token != self.token {
            return false;
        }
        self.records.extend(batch.records.iter().cloned());
        self.progress.extend(batch.progress.iter().cloned());
        for id in &batch.forgotten {
            self.records.remove(id);
            self.progress.remove(id);
        }
        if let Some(workers) = &batch.workers {
            self.workers.clone_from(workers);
        }
        true
    }
}
