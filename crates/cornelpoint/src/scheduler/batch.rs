use crate::inbox::InboxKey;
use crate::inbox::Withdrawal;
use crate::job::BlockKey;
use crate::job::JobId;
use crate::job::JobStatus;
use crate::job::RawJob;
use crate::job::TaskBlock;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::job_rows::Expiry;
use super::job_rows::JobRows;
use super::job_rows::RowSize;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::stored_batch::Batch;
use super::stored_batch::BatchOutcome;
use super::stored_batch::EndedJob;
use super::stored_batch::StoredJobs;
use super::stored_batch::WorkerRecord;
use super::unstored_jobs::UnstoredJob;
use super::unstored_jobs::Urgency;
use super::worker_quorum::FencedWorkers;
use super::worker_quorum::RecordedWorkers;
use super::worker_state::WorkerState;

/// Largest number of rows of jobs in a batch. The store allows 100 entries in a
/// transaction; the workers' row, the owner's conditions and its store heartbeat
/// take four.
pub(super) const MAX_BATCH_ROWS: usize = 96;
/// Estimated size of the rows from which a batch takes no further job. Encoded, one
/// more job of the largest size stays within the store's limit of 1 MB for a
/// transaction.
pub(super) const FULL_BATCH_BYTES: usize = 400_000;
/// The same after several batches without an answer: a slow link carries as much within
/// the timeout of a call.
const LEAST_BATCH_BYTES: usize = 25_000;
/// Estimated size of the rows that a batch of several jobs doesn't exceed.
const MAX_BATCH_BYTES: usize = 600_000;
/// Size of a job from which its record is replaced by one without its steps when it ends.
const MAX_FINAL_RECORD_BYTES: usize = 4096;
/// Estimated size of a worker's record besides its identifier.
const WORKER_BYTES: usize = 120;

/// A job in a batch, with its status there.
#[derive(Clone, Copy, Debug)]
struct StoringJob {
    job: UnstoredJob,
    status: JobStatus,
    is_new: bool,
}

/// Whether all that is to be stored of a job is in a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    Whole,
    Part,
}

/// Changes that count as stored once the batch in flight is stored.
#[derive(Clone, Debug, Default)]
pub(super) struct BatchInFlight {
    jobs: Vec<StoringJob>,
    /// Blocks, with their jobs' place and the first change that each of them stores.
    blocks: Vec<(TaskBlock, UnstoredJob)>,
    obsolete_blocks: Vec<BlockKey>,
    /// Jobs of which only a part is in the batch.
    partial: Vec<UnstoredJob>,
    expired: Vec<UnstoredJob>,
    inbox: Vec<InboxKey>,
    completions: Vec<(IncarnationIndex, u64)>,
    incarnations: Vec<IncarnationIndex>,
    workers: Option<RecordedWorkers>,
}

impl PoolScheduler {
    /// Returns the next batch, unless one is in flight or none is needed yet.
    pub fn begin_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.batch.is_some() || self.fenced || !self.has_rows() {
            return None;
        }
        let due_ms = self.last_batch_ms + self.settings.batch_wait_ms;
        if !self.urgent && due_ms > now.steady_ms {
            return None;
        }
        self.last_batch_ms = now.steady_ms;
        self.unstored.retry_refused(now.steady_ms);
        self.committing_since_ms.get_or_insert(now.steady_ms);
        let mut batch = Batch::default();
        let mut in_flight = BatchInFlight::default();
        let mut size = RowSize::default();
        if self.workers_row_dirty {
            let workers = self.incarnations.values();
            let bytes = workers.map(|worker| WORKER_BYTES + worker.entry.id.len());
            size.add_value(bytes.sum(), self.settings.row_bytes);
        }
        while in_flight.jobs.len() + in_flight.expired.len() < self.max_batch_jobs
            && size.bytes < self.full_batch_bytes
            && let Some(job) = self.unstored.pop_first()
        {
            let rows = self.job_rows(job.id, size, now);
            let with_job = size.plus(rows.size);
            let max_bytes = MAX_BATCH_BYTES.min(2 * self.full_batch_bytes);
            let is_full = with_job.rows > MAX_BATCH_ROWS || with_job.bytes > max_bytes;
            let has_jobs = !in_flight.jobs.is_empty() || !in_flight.expired.is_empty();
            if is_full && has_jobs {
                self.unstored.restore(job);
                break;
            }
            size = with_job;
            if self.add_job_rows(job, rows, &mut batch, &mut in_flight) == Extent::Part {
                break;
            }
        }
        let free = MAX_BATCH_ROWS.saturating_sub(size.rows);
        batch.inbox.extend(self.settled_inbox.iter().take(free));
        in_flight.inbox.clone_from(&batch.inbox);
        self.urgent = !self.unstored.is_empty();
        // Completions are acknowledged only once the jobs that they changed are stored.
        let completions = self
            .incarnations
            .iter()
            .filter_map(|(&incarnation, worker)| {
                let unstored = worker.unstored_completions.iter();
                let taken = unstored
                    .take_while(|(_, (job, changes))| self.unstored.are_taken(*job, *changes));
                let (sequence, _) = taken.last()?;
                Some((incarnation, *sequence))
            });
        in_flight.completions = completions.collect();
        if self.workers_row_dirty {
            self.workers_row_dirty = false;
            let workers = self.incarnations.values().map(WorkerState::record);
            // A successor has to wait for these, too, also if the registry no longer
            // lists them.
            let unreported = self.predecessor_incarnations.values().cloned();
            let unreported = unreported.filter(|record| {
                let known = self.incarnation_of_id.get(&record.id);
                let known = known.and_then(|incarnation| self.incarnations.get(incarnation));
                known.is_none_or(|worker| worker.record() != *record)
            });
            let workers: Vec<WorkerRecord> = workers.chain(unreported).collect();
            let row = RecordedWorkers::new(workers.iter());
            self.stored_rows.writing(row.clone());
            in_flight.workers = Some(row);
            batch.workers = Some(workers);
            in_flight.incarnations = self.incarnations.keys().copied().collect();
        }
        self.batch = Some(in_flight);
        Some(batch)
    }

    fn has_rows(&self) -> bool {
        let completions = self
            .incarnations
            .values()
            .any(|worker| worker.applied_completion > worker.stored_completion);
        completions
            || !self.unstored.is_empty()
            || self.workers_row_dirty
            || !self.settled_inbox.is_empty()
    }

    /// Whether the store has what a row of the inbox asks for.
    fn is_settled(&self, key: InboxKey) -> bool {
        let stored = |id| self.jobs.get(&id).and_then(|job| job.stored_status);
        match key {
            InboxKey::Submit(id) => stored(id).is_some(),
            InboxKey::Cancel(id) | InboxKey::Withdraw(id) => {
                stored(id).is_some_and(JobStatus::is_final)
            }
        }
    }

    /// Records that a row of the inbox was read.
    pub(super) fn inbox_row_read(&mut self, key: InboxKey) {
        if self.is_settled(key) {
            self.settled_inbox.insert(key);
        } else {
            self.inbox.insert(key);
        }
    }

    /// Adds the rows of a job to a batch. What does not fit waits for the next one.
    fn add_job_rows(
        &mut self,
        unstored: UnstoredJob,
        rows: JobRows,
        batch: &mut Batch,
        in_flight: &mut BatchInFlight,
    ) -> Extent {
        let id = unstored.id;
        let Some(job) = self.jobs.get_mut(&id) else {
            return Extent::Whole;
        };
        job.forget_obsolete_changes();
        if rows.expiry == Expiry::Now {
            batch.expired.push(id);
            in_flight.expired.push(unstored);
            return Extent::Whole;
        }
        // A successor reads the rows of final jobs, too, until they expire.
        let ends = job.status.is_final() && !job.stored_status.is_some_and(JobStatus::is_final);
        let is_shortened = ends && job.held_bytes > MAX_FINAL_RECORD_BYTES;
        if job.stored_status.is_none() && !job.status.is_final() {
            batch.absent.push(InboxKey::Cancel(id));
        }
        if job.stored_status.is_none() || is_shortened {
            let mut record = job.record.clone();
            if is_shortened {
                record.job = RawJob::default();
            }
            batch.records.push((id, record));
        }
        let has_progress = rows.progress.is_some();
        batch
            .progress
            .extend(rows.progress.map(|progress| (id, progress)));
        batch.inbox.extend(rows.inbox);
        for (block, change, progress) in rows.blocks {
            job.blocks.writing(block);
            batch.blocks.push((BlockKey { job: id, block }, progress));
            in_flight
                .blocks
                .push((block, UnstoredJob { change, ..unstored }));
        }
        let obsolete = rows.obsolete_blocks.into_iter();
        let obsolete = obsolete.map(|block| BlockKey { job: id, block });
        let obsolete: Vec<BlockKey> = obsolete.collect();
        batch.obsolete_blocks.extend_from_slice(&obsolete);
        in_flight.obsolete_blocks.extend(obsolete);
        let storing = StoringJob {
            job: unstored,
            status: job.status,
            is_new: job.stored_status.is_none(),
        };
        if !rows.is_partial {
            in_flight.jobs.push(storing);
            if rows.expiry == Expiry::OnceWithoutBlocks {
                self.unstored.insert(id, Urgency::Progress);
            }
            return Extent::Whole;
        }
        let left = job.blocks.first_change();
        if has_progress {
            in_flight.jobs.push(storing);
        } else {
            in_flight.partial.push(unstored);
        }
        match left {
            Some(change) => self.unstored.restore(UnstoredJob { change, ..unstored }),
            None => {
                self.unstored.insert(id, Urgency::Progress);
            }
        }
        Extent::Part
    }

    /// Returns when [`Self::begin_batch`] will return a batch even if no event
    /// occurs.
    #[must_use]
    pub fn next_batch_ms(&self) -> Option<u64> {
        let waits = self.batch.is_none() && self.has_rows();
        waits.then(|| self.last_batch_ms + self.settings.batch_wait_ms)
    }

    /// Applies the store's answer to the batch in flight.
    pub fn batch_replied(&mut self, outcome: BatchOutcome, now: Instant) -> StoredJobs {
        let Some(in_flight) = self.batch.take() else {
            return StoredJobs::default();
        };
        match outcome {
            BatchOutcome::Stored => self.batch_stored(in_flight, now),
            BatchOutcome::Fenced => {
                self.fenced = true;
                StoredJobs::default()
            }
            BatchOutcome::Unknown => {
                self.full_batch_bytes = LEAST_BATCH_BYTES.max(self.full_batch_bytes / 2);
                self.restore_batch(in_flight);
                StoredJobs::default()
            }
            BatchOutcome::Invalid => self.batch_invalid(in_flight, now),
        }
    }

    /// Applies the store's refusal of the batch in flight because of rows that are in the
    /// inbox. The jobs that they name are not accepted.
    pub fn batch_withdrawn(
        &mut self,
        withdrawn: Vec<(JobId, Withdrawal)>,
        now: Instant,
    ) -> StoredJobs {
        let Some(in_flight) = self.batch.take() else {
            return StoredJobs::default();
        };
        self.committing_since_ms = None;
        self.restore_batch(in_flight);
        self.urgent = true;
        for &(id, withdrawal) in &withdrawn {
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| !job.accepted) {
                self.remove_unstored_job(id);
            }
            self.withdraw_from_inbox(id, withdrawal, now);
        }
        StoredJobs {
            withdrawn,
            ..StoredJobs::default()
        }
    }

    /// Puts back what was to be stored.
    fn restore_batch(&mut self, in_flight: BatchInFlight) {
        for (block, job) in in_flight.blocks {
            if let Some(entry) = self.jobs.get_mut(&job.id) {
                entry.blocks.change(block, job.change);
            }
            self.unstored.restore(job);
        }
        let jobs = in_flight.jobs.into_iter().map(|storing| storing.job);
        for job in jobs.chain(in_flight.partial).chain(in_flight.expired) {
            self.unstored.restore(job);
        }
        self.workers_row_dirty |= !in_flight.incarnations.is_empty();
        self.urgent = false;
    }

    /// Finds the job whose rows the store refuses, by batches of half the size, and
    /// leaves it out, so that it holds back no others.
    fn batch_invalid(&mut self, mut in_flight: BatchInFlight, now: Instant) -> StoredJobs {
        // The store answers.
        self.committing_since_ms = None;
        let mut outcome = StoredJobs::default();
        let count = in_flight.jobs.len() + in_flight.partial.len() + in_flight.expired.len();
        self.max_batch_jobs = (count / 2).max(1);
        if count == 1
            && let Some(storing) = in_flight.jobs.pop()
        {
            let id = storing.job.id;
            let bytes = self.job_rows(id, RowSize::default(), now).size.bytes;
            let accepted = self.jobs.get(&id).is_some_and(|job| job.accepted);
            self.events.push(SchedulerEvent::JobUnstorable {
                job: id,
                bytes,
                accepted,
            });
            if accepted {
                // Nothing that rests on these rows may be acknowledged.
                self.unstored.refuse(storing.job, now.steady_ms);
            } else {
                self.remove_unstored_job(id);
                outcome.rejected.push(id);
            }
        }
        self.restore_batch(in_flight);
        self.urgent = true;
        outcome
    }

    fn forget_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            self.held_job_bytes = self.held_job_bytes.saturating_sub(job.held_bytes);
        }
    }

    /// Removes a job that was never stored, so that nothing of it has started.
    pub(super) fn remove_unstored_job(&mut self, id: JobId) {
        self.remove_ready_of_job(id);
        self.scheduled_occurrences.retain(|&(_, job, _)| job != id);
        self.retained_final_jobs.retain(|&(_, job)| job != id);
        self.active_jobs.remove(&id);
        self.unstored.remove(id);
        self.forget_job(id);
        self.recent_load = None;
    }

    fn batch_stored(&mut self, in_flight: BatchInFlight, now: Instant) -> StoredJobs {
        self.committing_since_ms = None;
        self.max_batch_jobs = MAX_BATCH_ROWS.min(2 * self.max_batch_jobs);
        self.full_batch_bytes = FULL_BATCH_BYTES.min(2 * self.full_batch_bytes);
        let mut stored = StoredJobs::default();
        if let Some(row) = in_flight.workers {
            self.stored_rows.stored(row);
        }
        for key in in_flight.inbox {
            self.inbox.remove(&key);
            self.settled_inbox.remove(&key);
        }
        for key in in_flight.obsolete_blocks {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.blocks.removed(key.block);
            }
        }
        for storing in in_flight.jobs {
            let StoringJob {
                job: UnstoredJob { id, .. },
                status,
                is_new,
            } = storing;
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let previous_status = job.stored_status.replace(status);
            job.accepted = true;
            // Only its row needs the job as submitted.
            job.record.job = RawJob::default();
            if is_new {
                stored.accepted.push(id);
            }
            if status.is_final() && previous_status != Some(status) {
                stored.ended.push(EndedJob {
                    id,
                    status,
                    took_ms: job
                        .final_unix_ms
                        .saturating_sub(job.record.accepted_unix_ms),
                    late_ms: job.final_steady_ms.saturating_sub(job.objective.due_ms()),
                });
            }
            self.release_job(id);
            // Read while the batch was in flight, which did not remove them.
            for key in [InboxKey::Submit(id), InboxKey::Cancel(id)] {
                if self.inbox.remove(&key) {
                    self.inbox_row_read(key);
                }
            }
        }
        for job in in_flight.expired {
            self.forget_job(job.id);
        }
        for (incarnation, sequence) in in_flight.completions {
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.completions_stored(sequence);
                worker.renew_by(now.steady_ms);
            }
        }
        if !in_flight.incarnations.is_empty() {
            self.recent_load = None;
        }
        for incarnation in in_flight.incarnations {
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.recorded = true;
                self.changed_workers.insert(incarnation);
            }
        }
        self.placement_needed = true;
        stored
    }

    /// Shortens the wait for the predecessor's leases, since its process is
    /// known to have ended.
    pub fn predecessor_ended(&mut self, leases_end_ms: u64) {
        self.predecessor_leases_end_ms = self.predecessor_leases_end_ms.min(leases_end_ms);
    }

    /// Whether tasks wait for a predecessor's leases to expire.
    #[must_use]
    pub fn waits_for_predecessor(&self) -> bool {
        !self.predecessor_incarnations.is_empty()
    }

    /// Sets what a predecessor recorded: the workers that may run its tasks,
    /// and the time by which its last leases have expired.
    pub fn set_predecessor(&mut self, workers: Vec<WorkerRecord>, leases_end_ms: u64) {
        self.fenced_workers = FencedWorkers::new(&workers);
        self.stored_rows
            .stored(RecordedWorkers::new(workers.iter()));
        let workers = workers
            .into_iter()
            .map(|worker| (worker.id.clone(), worker));
        self.predecessor_incarnations = workers.collect();
        self.predecessor_leases_end_ms = leases_end_ms;
    }
}
