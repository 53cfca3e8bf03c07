use serde::Deserialize;
use serde::Serialize;

use crate::job::JobId;
use crate::job::JobProgress;
use crate::job::JobRecord;
use crate::job::JobStatus;
use crate::worker::RegistryEntry;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::worker_state::WorkerState;

/// Jobs in one batch at most: two rows each, within the 100 entries that the
/// store takes at once.
const JOBS_PER_BATCH: usize = 40;

/// A worker's life that may run tasks, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Identity.
    pub id: String,
    /// Start of the life, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Machine that it runs on.
    pub machine: Option<String>,
}

impl WorkerRecord {
    /// Whether a registry's entry shows that this life is over: a machine runs
    /// one life at a time.
    pub(super) fn is_followed_by(&self, entry: &RegistryEntry) -> bool {
        let same_place =
            self.id == entry.id || (self.machine.is_some() && self.machine == entry.machine);
        same_place && self.born_unix_ms != 0 && entry.born_unix_ms > self.born_unix_ms
    }
}

/// Rows that the store takes together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// New jobs.
    pub records: Vec<(JobId, JobRecord)>,
    /// Jobs whose progress has changed.
    pub progress: Vec<(JobId, JobProgress)>,
    /// Jobs to forget.
    pub expired: Vec<JobId>,
    /// Workers that may run tasks from now on, where that has changed.
    pub workers: Option<Vec<WorkerRecord>>,
}

/// How the store answered a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// It is stored.
    Stored,
    /// It may be stored, or never.
    Unknown,
    /// Another process owns the pool.
    Fenced,
}

/// What a stored batch allows to be said to callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredJobs {
    /// Jobs that are accepted now.
    pub accepted: Vec<JobId>,
    /// Jobs whose final status shows now.
    pub ended: Vec<EndedJob>,
}

/// A job whose final status is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// The job.
    pub id: JobId,
    /// Its status.
    pub status: JobStatus,
    /// Time from its hand-in to its end.
    pub took_ms: u64,
    /// Time past its objective; 0 when it was in time.
    pub late_ms: u64,
}

/// What the batch on its way will have stored.
#[derive(Clone, Debug, Default)]
pub(super) struct BatchInFlight {
    jobs: Vec<(JobId, JobStatus, bool)>,
    expired: Vec<JobId>,
    ends: Vec<(IncarnationIndex, u64)>,
    incarnations: Vec<IncarnationIndex>,
}

impl PoolScheduler {
    /// The next batch, unless one is on its way or none is needed yet.
    pub fn begin_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.batch.is_some() || self.fenced || !self.has_rows() {
            return None;
        }
        let due_ms = self.last_batch_ms + self.settings.batch_wait_ms;
        if !self.urgent && due_ms > now.steady_ms {
            return None;
        }
        self.last_batch_ms = now.steady_ms;
        let mut batch = Batch::default();
        let mut note = BatchInFlight::default();
        let ids: Vec<JobId> = self.dirty.iter().take(JOBS_PER_BATCH).copied().collect();
        for id in &ids {
            self.dirty.remove(id);
            self.add_job(*id, &mut batch, &mut note, now);
        }
        self.urgent = !self.dirty.is_empty();
        if self.dirty.is_empty() {
            // Ends are acknowledged only once every job that they changed is in.
            let ends = self
                .incarnations
                .iter()
                .filter(|(_, worker)| worker.applied_end > worker.stored_end);
            note.ends = ends
                .map(|(&incarnation, worker)| (incarnation, worker.applied_end))
                .collect();
        }
        if self.workers_row_wanted {
            self.workers_row_wanted = false;
            let workers = self.incarnations.values();
            batch.workers = Some(workers.map(WorkerState::record).collect());
            note.incarnations = self.incarnations.keys().copied().collect();
        }
        self.batch = Some(note);
        Some(batch)
    }

    fn has_rows(&self) -> bool {
        let ends = self
            .incarnations
            .values()
            .any(|worker| worker.applied_end > worker.stored_end);
        ends || !self.dirty.is_empty() || self.workers_row_wanted
    }

    fn add_job(&mut self, id: JobId, batch: &mut Batch, note: &mut BatchInFlight, now: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let kept_ms = self.settings.status_kept_ms;
        if job.status.is_final() && job.final_steady_ms + kept_ms <= now.steady_ms {
            batch.expired.push(id);
            note.expired.push(id);
            return;
        }
        if job.stored_status.is_none() {
            batch.records.push((id, job.record.clone()));
        }
        let progress = job.progress();
        if job.stored_status.is_some() || progress != JobProgress::default() {
            batch.progress.push((id, progress));
        }
        note.jobs
            .push((id, job.status, job.stored_status.is_none()));
    }

    /// When [`Self::begin_batch`] has something to give by time alone.
    #[must_use]
    pub fn next_batch_ms(&self) -> Option<u64> {
        let waits = self.batch.is_none() && self.has_rows();
        waits.then(|| self.last_batch_ms + self.settings.batch_wait_ms)
    }

    /// Takes the store's answer to the batch on its way.
    pub fn batch_replied(&mut self, outcome: BatchOutcome, now: Instant) -> StoredJobs {
        let Some(note) = self.batch.take() else {
            return StoredJobs::default();
        };
        match outcome {
            BatchOutcome::Stored => self.batch_stored(note, now),
            BatchOutcome::Fenced => {
                self.fenced = true;
                StoredJobs::default()
            }
            BatchOutcome::Unknown => {
                self.dirty.extend(note.jobs.iter().map(|(id, _, _)| *id));
                self.dirty.extend(note.expired);
                self.workers_row_wanted |= !note.incarnations.is_empty();
                self.urgent = false;
                StoredJobs::default()
            }
        }
    }

    fn batch_stored(&mut self, note: BatchInFlight, now: Instant) -> StoredJobs {
        let mut stored = StoredJobs::default();
        for (id, status, is_new) in note.jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let known = job.stored_status.replace(status);
            if is_new {
                stored.accepted.push(id);
            }
            if status.is_final() && known != Some(status) {
                stored.ended.push(EndedJob {
                    id,
                    status,
                    took_ms: job
                        .final_unix_ms
                        .saturating_sub(job.record.accepted_unix_ms),
                    late_ms: job.final_steady_ms.saturating_sub(job.objective.due_ms()),
                });
            }
        }
        for id in note.expired {
            self.jobs.remove(&id);
        }
        for (incarnation, number) in note.ends {
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.stored_end = worker.stored_end.max(number);
                worker.look_by(now.steady_ms);
            }
        }
        for incarnation in note.incarnations {
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.recorded = true;
            }
        }
        self.placing_needed = true;
        stored
    }

    /// Takes word that the predecessor's process has ended, so that its leases
    /// end sooner.
    pub fn predecessor_ended(&mut self, over_ms: u64) {
        self.predecessor_over_ms = self.predecessor_over_ms.min(over_ms);
    }

    /// Whether tasks wait for a predecessor's leases to end.
    #[must_use]
    pub fn waits_for_predecessor(&self) -> bool {
        !self.predecessor_lives.is_empty()
    }

    /// Takes what a predecessor recorded: workers that may run its tasks, and
    /// when its last leases have ended at the latest.
    pub fn set_predecessor(&mut self, workers: Vec<WorkerRecord>, over_ms: u64) {
        let workers = workers
            .into_iter()
            .map(|worker| (worker.id.clone(), worker));
        self.predecessor_lives = workers.collect();
        self.predecessor_over_ms = over_ms;
    }
}
