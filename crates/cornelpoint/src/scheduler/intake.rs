use std::collections::BTreeMap;

use crate::admission::ShareClass;
use crate::inbox::InboxKey;
use crate::inbox::Withdrawal;
use crate::job::BlockProgress;
use crate::job::IndexSet;
use crate::job::JobId;
use crate::job::JobProgress;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::JobStatus;
use crate::job::StepId;
use crate::job::StepProgress;
use crate::job::TaskBlock;
use crate::job::TaskProgress;

use super::instant::Instant;
use super::job_entry::JobEntry;
use super::placement::task_id;
use super::pool_scheduler::PoolScheduler;
use super::stored_blocks::StoredBlocks;
use super::unstored_jobs::Urgency;

/// Estimated memory that a final job takes until it expires.
const FINAL_JOB_BYTES: usize = 800;

/// Answer to a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The job will be accepted once it is stored.
    Storing,
    /// The job is rejected and never runs.
    Rejected {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The job must not be accepted here: another pool has it, or may accept it.
    Moved,
}

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The job has a final status in the store.
    Done,
    /// The job will be cancelled once that is stored.
    Storing,
    /// The scheduler knows no such job.
    Unknown,
}

impl PoolScheduler {
    /// Admits or rejects a job submitted by a caller.
    pub fn submit(
        &mut self,
        id: JobId,
        record: JobRecord,
        spec: JobSpec,
        now: Instant,
    ) -> SubmitAnswer {
        if let Some(entry) = self.jobs.get(&id) {
            return if entry.accepted {
                SubmitAnswer::Accepted
            } else {
                SubmitAnswer::Storing
            };
        }
        if self.withdrawn.get(id) == Some(Withdrawal::Moved) {
            return SubmitAnswer::Moved;
        }
        let work = self.expected_work_core_ms(&record, &spec);
        if spec.schedule.is_none() {
            self.admission.record_offered(id, work, now.steady_ms);
        }
        let verdict = self.admit(id, &record, &spec, now);
        if verdict.refused.is_some() {
            self.admission.record_rejected(id, work, now.steady_ms);
            return SubmitAnswer::Rejected {
                retry_after_ms: verdict.retry_after_ms,
            };
        }
        self.insert_job(id, record, spec, None, now);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.share_class = verdict.class;
        }
        self.admission.forget_return(id);
        self.add_to_recent_load(id, now);
        self.unstored.insert(id, Urgency::Awaited);
        self.urgent = true;
        self.apply_earlier_cancellation(id, now);
        SubmitAnswer::Storing
    }

    /// Accepts a job that another process has stored in the owner's inbox.
    pub fn submit_from_inbox(&mut self, id: JobId, record: JobRecord, spec: JobSpec, now: Instant) {
        self.inbox_row_read(InboxKey::Submit(id));
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.accepted = true;
            return;
        }
        self.insert_job(id, record, spec, None, now);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.accepted = true;
        }
        self.unstored.insert(id, Urgency::Awaited);
        self.urgent = true;
        self.apply_earlier_cancellation(id, now);
    }

    /// Cancels a job whose cancellation was read before the job itself.
    fn apply_earlier_cancellation(&mut self, id: JobId, now: Instant) {
        if self.withdrawn.remove(id) {
            self.finish(id, JobStatus::Cancelled, now);
        }
    }

    /// Applies a cancellation that another process has stored in the owner's
    /// inbox. It may arrive before the job itself.
    pub fn cancel_from_inbox(&mut self, id: JobId, now: Instant) {
        self.withdraw_from_inbox(id, Withdrawal::Cancelled, now);
    }

    /// Applies a row of the owner's inbox that keeps the pool from accepting a job.
    pub fn withdraw_from_inbox(&mut self, id: JobId, withdrawal: Withdrawal, now: Instant) {
        self.inbox_row_read(InboxKey::Cancel(id));
        let job = self.jobs.get(&id);
        if withdrawal == Withdrawal::Moved && job.is_some_and(|job| !job.accepted) {
            // The store has refused, or will refuse, to write it.
            self.remove_unstored_job(id);
        }
        if self.cancel(id, now) == CancelAnswer::Unknown {
            self.withdrawn.insert(id, withdrawal, now.steady_ms);
        }
    }

    /// Removes rows that have kept the pool from accepting jobs for long enough.
    fn expire_withdrawn_jobs(&mut self, now: Instant) {
        let kept_ms = self.settings.status_kept_ms;
        let before_ms = now.steady_ms.saturating_sub(kept_ms);
        for id in self.withdrawn.take_old(before_ms) {
            let key = InboxKey::Cancel(id);
            self.inbox.remove(&key);
            self.settled_inbox.insert(key);
        }
    }

    /// Restores a job from its stored rows after a takeover.
    pub fn restore(
        &mut self,
        id: JobId,
        record: JobRecord,
        spec: JobSpec,
        progress: Option<&JobProgress>,
        now: Instant,
    ) {
        let progress = progress.cloned().unwrap_or_default();
        self.restore_split(id, record, spec, progress, Vec::new(), now);
    }

    /// Restores a job of whose tasks some have stored progress in blocks.
    pub fn restore_split(
        &mut self,
        id: JobId,
        record: JobRecord,
        spec: JobSpec,
        mut progress: JobProgress,
        blocks: Vec<(TaskBlock, BlockProgress)>,
        now: Instant,
    ) {
        let is_whole = !progress.steps.is_empty() || !progress.tasks.is_empty();
        let mut written = Vec::with_capacity(blocks.len());
        for (block, stored) in blocks {
            written.push(block);
            progress.steps.push(StepProgress {
                occurrence: block.occurrence,
                step: block.step,
                done: stored.done,
            });
            progress.tasks.extend(stored.tasks);
        }
        self.insert_job(id, record, spec, Some(&progress), now);
        self.restore_progress(id, &progress, now);
        self.restore_blocks(id, is_whole, written);
        self.apply_earlier_cancellation(id, now);
    }

    /// Takes note of the blocks that the store has. An earlier version may have stored the
    /// progress of a job as a whole that is now stored in blocks.
    fn restore_blocks(&mut self, id: JobId, is_whole: bool, written: Vec<TaskBlock>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let has_obsolete = written.iter().any(|block| job.is_obsolete(*block));
        job.blocks.read(written.into_iter());
        if is_whole && job.blocks.are_used() {
            job.blocks.replace_whole();
            let change = self.unstored.insert(id, Urgency::Progress);
            for block in job.started_blocks() {
                job.blocks.change(block, change);
            }
        } else if has_obsolete {
            self.unstored.insert(id, Urgency::Progress);
        }
    }

    fn insert_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        spec: JobSpec,
        progress: Option<&JobProgress>,
        now: Instant,
    ) {
        let status = progress.map_or(JobStatus::Pending, |progress| progress.status);
        let age_ms = now.unix_ms.saturating_sub(record.accepted_unix_ms);
        let first_ms = self
            .admission
            .first_rejected_ms(id)
            .unwrap_or(now.steady_ms);
        let objective = self.objective(&record, &spec, first_ms.saturating_sub(age_ms));
        let has_limits = self.quota.is_some();
        let tenant = record.tenant.as_deref().filter(|_| has_limits);
        let tenant = tenant.map(|tenant| self.tenant_use.index_of(tenant));
        let work = self.expected_work_core_ms(&record, &spec);
        let value_milli = self.admission.value_milli(&record.queue, work);
        let held_bytes = spec.held_bytes();
        let entry = JobEntry {
            id,
            blocks: StoredBlocks::new(spec.task_count()),
            record,
            tenant,
            spec,
            status,
            final_unix_ms: progress.map_or(0, |progress| progress.final_unix_ms),
            final_steady_ms: now.steady_ms,
            stored_status: progress.map(|progress| progress.status),
            accepted: progress.is_some(),
            inherited: progress.is_some(),
            share_class: ShareClass::Owed,
            value_milli,
            objective,
            held_bytes,
            occurrences: BTreeMap::new(),
            done_occurrences: IndexSet::default(),
            next_occurrence: 0,
        };
        if status.is_final() {
            self.retained_final_jobs.push((now.steady_ms, id));
        } else {
            self.active_jobs.insert(id);
        }
        self.held_job_bytes += held_bytes;
        self.keep_advice(&entry.record);
        self.jobs.insert(id, entry);
        self.release_job(id);
        if !status.is_final() && progress.is_none() {
            self.plan_occurrences(id, now);
        }
    }

    /// Keeps the rules of a queue with advice that the configuration no longer has.
    fn keep_advice(&mut self, record: &JobRecord) {
        if record.advice.is_some() && !self.queues.contains_key(&record.queue) {
            let rules = self.queue_rules(record);
            self.queues.insert(record.queue.clone(), rules);
        }
    }

    fn restore_progress(&mut self, id: JobId, progress: &JobProgress, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.status.is_final() {
            return;
        }
        let count = job.spec.occurrences();
        let done = progress.done_occurrences.iter();
        job.done_occurrences = done.filter(|occurrence| *occurrence < count).collect();
        let last_done = job.done_occurrences.iter().last();
        job.next_occurrence = last_done.map_or(0, |last| last + 1);
        for step in &progress.steps {
            let id = StepId {
                job: id,
                occurrence: step.occurrence,
                step: step.step,
            };
            if Self::restore_occurrence(job, step.occurrence) {
                for index in step.done.iter() {
                    job.mark_task_done(id.task(index));
                }
            }
        }
        for task in &progress.tasks {
            if Self::restore_occurrence(job, task.occurrence) {
                Self::restore_task(id, job, task);
            }
        }
        // Occurrences overlap, and one of which no task is done has no stored progress.
        job.add_occurrences_before(job.next_occurrence);
        let occurrences: Vec<u32> = job.occurrences.keys().copied().collect();
        if job.is_done() {
            self.finish(id, JobStatus::Completed, now);
            return;
        }
        for &occurrence in &occurrences {
            job.forget_done_occurrence(occurrence);
        }
        for occurrence in occurrences {
            self.open_steps(id, occurrence, now);
        }
        self.plan_occurrences(id, now);
    }

    /// Adds an occurrence with stored progress. Returns `false` if it is done or the job
    /// has no such occurrence.
    fn restore_occurrence(job: &mut JobEntry, occurrence: u32) -> bool {
        if occurrence >= job.spec.occurrences() {
            return false;
        }
        if !job.occurrences.contains_key(&occurrence) {
            if job.done_occurrences.contains(occurrence) {
                return false;
            }
            job.add_occurrence(occurrence);
        }
        true
    }

    fn restore_task(id: JobId, job: &mut JobEntry, stored: &TaskProgress) {
        let step = usize::from(stored.step);
        let task = task_id(id, stored.occurrence, step, stored.index as usize);
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.failed_runs.clone_from(&stored.failed_runs);
        entry.last_run = stored.last_run;
        entry.checkpoint.clone_from(&stored.checkpoint);
        entry.crashes.total = stored.crashes;
        entry.crashes.on_start = stored.crashes_on_start;
        if stored.done {
            job.mark_task_done(task);
        }
    }

    /// Adds the occurrences of a job that are due, and schedules the next one.
    pub(super) fn plan_occurrences(&mut self, id: JobId, now: Instant) {
        let schedule = self.jobs.get(&id).and_then(|job| job.spec.schedule);
        let mut free_steps = schedule.map_or(0, |_| self.free_steps());
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(schedule) = job.spec.schedule else {
            if job.next_occurrence == 0 {
                job.add_occurrence(0);
                self.open_steps(id, 0, now);
            }
            return;
        };
        let count = job.spec.steps.len();
        let mut opened: Vec<u32> = Vec::new();
        for occurrence in job.next_occurrence..schedule.count {
            let due_unix_ms = schedule.due_unix_ms(occurrence);
            let fits = free_steps >= count || !job.has_begun_occurrence();
            if due_unix_ms > now.unix_ms || !fits {
                self.scheduled_occurrences
                    .insert((due_unix_ms, id, occurrence));
                break;
            }
            free_steps = free_steps.saturating_sub(count);
            job.add_occurrence(occurrence);
            opened.push(occurrence);
        }
        for occurrence in opened {
            self.open_steps(id, occurrence, now);
        }
    }

    /// Adds the occurrence that a worker's report names, and all earlier ones. The
    /// predecessor that started it may have had a clock ahead of this process's.
    pub(super) fn plan_reported_occurrence(&mut self, step: StepId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let is_planned = step.occurrence < job.next_occurrence;
        if is_planned || step.occurrence >= job.spec.occurrences() || job.status.is_final() {
            return;
        }
        let first = job.next_occurrence;
        job.add_occurrences_before(step.occurrence + 1);
        let added: Vec<u32> = job.occurrences.range(first..).map(|(&at, _)| at).collect();
        for occurrence in added {
            self.open_steps(step.job, occurrence, now);
        }
        self.scheduled_occurrences
            .retain(|&(_, job, _)| job != step.job);
        self.plan_occurrences(step.job, now);
    }

    /// Opens the scheduled occurrences that are due, as far as memory allows.
    pub(super) fn open_due_occurrences(&mut self, now: Instant) {
        let is_due = |&(due_unix_ms, _, _): &(u64, JobId, u32)| due_unix_ms <= now.unix_ms;
        if !self.scheduled_occurrences.first().is_some_and(is_due) {
            return;
        }
        let free_steps = self.free_steps();
        let due = self
            .scheduled_occurrences
            .iter()
            .take_while(|at| is_due(at));
        let fitting = due.filter(|(_, id, _)| {
            let job = self.jobs.get(id);
            job.is_none_or(|job| job.spec.steps.len() <= free_steps || !job.has_begun_occurrence())
        });
        let fitting: Vec<(u64, JobId, u32)> = fitting.copied().collect();
        for scheduled in fitting {
            self.scheduled_occurrences.remove(&scheduled);
            self.plan_occurrences(scheduled.1, now);
        }
    }

    /// Returns the number of steps of further occurrences that may begin.
    fn free_steps(&self) -> usize {
        let scheduled = self.active().filter(|job| job.spec.schedule.is_some());
        let begun = scheduled.map(|job| {
            let further = job.occurrences.len().saturating_sub(1);
            further * job.spec.steps.len()
        });
        self.memory_limits.steps.saturating_sub(begun.sum())
    }

    /// Releases a job's memory if it is final, stored as such and has no runs.
    pub(super) fn release_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.release() {
            let released = job.held_bytes.saturating_sub(FINAL_JOB_BYTES);
            self.held_job_bytes = self.held_job_bytes.saturating_sub(released);
            job.held_bytes -= released;
        }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Instant) -> CancelAnswer {
        let Some(entry) = self.jobs.get(&id) else {
            return CancelAnswer::Unknown;
        };
        let stored_final = entry.stored_status.is_some_and(JobStatus::is_final);
        if stored_final {
            return CancelAnswer::Done;
        }
        self.finish(id, JobStatus::Cancelled, now);
        CancelAnswer::Storing
    }

    /// Marks final jobs past their retention period for deletion.
    pub(super) fn expire_final_jobs(&mut self, now: Instant) {
        self.expire_withdrawn_jobs(now);
        let kept_ms = self.settings.status_kept_ms;
        let expired = self
            .retained_final_jobs
            .iter()
            .take_while(|(at_ms, _)| at_ms + kept_ms <= now.steady_ms)
            .count();
        for (_, id) in self.retained_final_jobs.drain(..expired) {
            self.unstored.insert(id, Urgency::Progress);
        }
    }
}
