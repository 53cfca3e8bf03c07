//! In-memory store with the rows of one pool.

use std::collections::BTreeMap;

use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::WorkerRecord;

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) token: u64,
    pub(crate) predecessor_leases_end_ms: u64,
    pub(crate) records: BTreeMap<JobId, JobRecord>,
    pub(crate) progress: BTreeMap<JobId, JobProgress>,
    pub(crate) workers: Vec<WorkerRecord>,
    /// Version of the owner's heartbeat in the store; rises with each
    /// transaction.
    pub(crate) heartbeat_version: u64,
}

impl FakeStore {
    /// Applies an owner's batch. Returns `false` if another process owns the
    /// pool.
    pub(crate) fn apply(&mut self, token: u64, batch: &Batch) -> bool {
        if token != self.token {
            return false;
        }
        self.heartbeat_version += 1;
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

    /// Applies a delayed batch whose answer was lost, if its condition still
    /// holds.
    pub(crate) fn apply_late(&mut self, token: u64, heartbeat_version: u64, batch: &Batch) {
        if self.heartbeat_version == heartbeat_version {
            self.apply(token, batch);
        }
    }
}
