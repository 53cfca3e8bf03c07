use crate::job::JobStatus;
use crate::job::StepId;
use crate::job::TaskBlock;
use crate::job::TaskId;
use crate::speculation::CopyOutcome;
use crate::speculation::DurationSource;
use crate::speculation::StepProfile;
use crate::worker::CompletionKind;
use crate::worker::RunCompletion;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::task_entry::Run;
use super::unstored_jobs::Urgency;

impl PoolScheduler {
    /// Applies a completion that a worker lists, unless it was applied before.
    pub(super) fn apply_completion(
        &mut self,
        incarnation: IncarnationIndex,
        completion: &RunCompletion,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        if completion.sequence <= worker.applied_completion {
            return;
        }
        worker.applied_completion = completion.sequence;
        worker.release(completion.task, completion.run, &mut self.tenant_use);
        match completion.kind {
            CompletionKind::Done => worker.consecutive_failures = 0,
            CompletionKind::Failed => {
                worker.consecutive_failures += 1;
                worker.pace.record_slow(now.steady_ms);
            }
            _ => {}
        }
        self.changed_workers.insert(incarnation);
        self.placement_needed = true;
        let Some(job) = self.jobs.get_mut(&completion.task.step.job) else {
            return;
        };
        let Some(task) = job.task_mut(completion.task) else {
            return;
        };
        let ended = task.remove_run(completion.run);
        let started_ms = ended.map(|run| run.started_ms);
        task.last_run = task.last_run.max(completion.run);
        task.keep_checkpoint(completion.run, &completion.checkpoint);
        if task.runs.is_empty() {
            task.idle_since_ms = now.steady_ms;
        }
        let done = task.done;
        match completion.kind {
            CompletionKind::Done if !done => {
                let outcome = self.copies.settle_done(completion.task, completion.run);
                self.log_copy(completion.task, outcome);
                if let Some(ended) = ended {
                    self.learn_usual(completion.task, ended, now);
                }
                if let Some(started_ms) = started_ms {
                    self.learn_duration(completion.task, now.steady_ms.saturating_sub(started_ms));
                }
                self.task_done(completion.task, now);
            }
            CompletionKind::Failed if !done => {
                self.penalize_failures(incarnation, now);
                self.task_failed(completion.task, completion.run, now);
            }
            _ => {
                self.task_changed(completion.task);
                self.make_ready(completion.task, now);
            }
        }
        let outcome = self.copies.run_ended(completion.task, completion.run);
        self.log_copy(completion.task, outcome);
        if let Some(job) = self.jobs.get_mut(&completion.task.step.job) {
            job.forget_ended(completion.task);
        }
        self.release_job(completion.task.step.job);
    }

    fn log_copy(&mut self, task: TaskId, outcome: Option<(u64, CopyOutcome)>) {
        if let Some((run, outcome)) = outcome {
            self.events
                .push(SchedulerEvent::CopyEnded { task, run, outcome });
        }
    }

    /// Returns what is known of a step's tasks, unless nothing is learned from them: from
    /// tasks that last, and from fillers, whose speed depends on others.
    pub(super) fn profile(&self, id: StepId) -> Option<StepProfile> {
        let job = self.jobs.get(&id.job)?;
        let step = job.step(id.step);
        let queue = &job.record.queue;
        (!step.long_running && !step.fills).then(|| StepProfile {
            step: id,
            source: DurationSource::new(step.image.as_deref(), queue),
            tasks: step.replicas,
            expected_ms: self.expected_ms(queue, step.estimate_ms),
        })
    }

    /// Learns from a run that has ended done, and from the one that it overtook. It is not
    /// known when runs of a predecessor were started.
    fn learn_usual(&mut self, id: TaskId, ended: Run, now: Instant) {
        let Some(profile) = self.profile(id.step) else {
            return;
        };
        if ended.adopted_ms.is_none() {
            let took_ms = now.steady_ms.saturating_sub(ended.started_ms);
            let ratio = self.learned.ratio_to_usual(&profile, took_ms);
            self.learned.learn(&profile, ended.incarnation, took_ms);
            let worker = self.incarnations.get_mut(&ended.incarnation);
            if let (Some(worker), Some(ratio), false) = (worker, ratio, ended.overdue) {
                worker.pace.record(ratio, now.steady_ms);
            }
        }
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        let others = task.into_iter().flat_map(|task| &task.runs);
        for run in others.filter(|run| run.adopted_ms.is_none()) {
            let age_ms = now.steady_ms.saturating_sub(run.started_ms);
            self.learned.learn_stopped(&profile, age_ms);
        }
    }

    /// Has a task's progress stored.
    pub(super) fn task_changed(&mut self, id: TaskId) {
        let change = self.unstored.insert(id.step.job, Urgency::Progress);
        if let Some(job) = self.jobs.get_mut(&id.step.job)
            && job.blocks.are_used()
        {
            job.blocks.change(TaskBlock::of(id), change);
        }
    }

    fn task_done(&mut self, id: TaskId, now: Instant) {
        self.task_changed(id);
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let step = job.step(id.step.step);
        if step.long_running {
            self.make_ready(id, now);
            return;
        }
        let gang = step.gang;
        let indexes: Vec<u32> = if gang {
            (0..step.replicas).collect()
        } else {
            vec![id.index]
        };
        for index in indexes {
            let task = id.step.task(index);
            if gang {
                self.task_changed(task);
            }
            self.mark_done(task, now);
        }
        self.open_following_steps(id, now);
    }

    fn mark_done(&mut self, id: TaskId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let step = job.begun_step(id.step);
        if step.is_none_or(|step| step.is_done(id.index)) {
            return;
        }
        let runs = job.task(id).into_iter().flat_map(|task| &task.runs);
        let others: Vec<u64> = runs.map(|run| run.number).collect();
        job.mark_task_done(id);
        for run in others {
            self.stop_run(id, run, now);
        }
        self.remove_ready(id);
    }

    /// Opens the steps that depended on this one, or completes the occurrence.
    fn open_following_steps(&mut self, id: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let Some(steps) = job.occurrences.get(&id.step.occurrence) else {
            return;
        };
        if steps[usize::from(id.step.step)].remaining() > 0 {
            return;
        }
        if let Some(profile) = self.profile(id.step) {
            self.learned.step_done(&profile);
        }
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        if job.done_occurrences.contains(id.step.occurrence) {
            if job.is_done() {
                self.finish(id.step.job, JobStatus::Completed, now);
            }
            return;
        }
        self.open_steps(id.step.job, id.step.occurrence, now);
    }

    fn task_failed(&mut self, id: TaskId, run: u64, now: Instant) {
        self.task_changed(id);
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let max_attempts = self.queue_rules(&job.record).max_attempts.max(1);
        let long_running = job.step(id.step.step).long_running;
        let gang = job.step(id.step.step).gang;
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let Some(task) = job.task_mut(id) else { return };
        if !long_running && !task.failed_runs.contains(&run) {
            task.failed_runs.push(run);
        }
        let failures = if gang {
            job.failed_gang_runs(id.step)
        } else {
            job.task(id).map_or(0, |task| task.failed_runs.len())
        };
        if !long_running && failures >= max_attempts as usize {
            self.finish(id.step.job, JobStatus::Failed, now);
        } else {
            self.make_ready(id, now);
        }
    }

    /// Makes a job final and stops its remaining runs.
    pub(super) fn finish(&mut self, id: crate::job::JobId, status: JobStatus, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.status.is_final() {
            return;
        }
        job.status = status;
        job.final_unix_ms = now.unix_ms;
        job.final_steady_ms = now.steady_ms;
        self.retained_final_jobs.push((now.steady_ms, id));
        self.active_jobs.remove(&id);
        let mut active_runs = Vec::new();
        for (&occurrence, steps) in &job.occurrences {
            for (step_index, step) in steps.iter().enumerate() {
                let step_id = super::placement::task_id(id, occurrence, step_index, 0).step;
                for (index, task) in step.started() {
                    let task_id = step_id.task(index);
                    active_runs.extend(task.runs.iter().map(|run| (task_id, run.number)));
                }
            }
        }
        for (task, run) in active_runs {
            self.stop_run(task, run, now);
            let outcome = self.copies.settle_final(task);
            self.log_copy(task, outcome);
        }
        self.learned.forget_job(id);
        self.remove_ready_of_job(id);
        self.scheduled_occurrences.retain(|&(_, job, _)| job != id);
        self.unstored.insert(id, Urgency::Awaited);
        self.urgent = true;
    }

    /// Handles a run that is over without a completion listed by its worker.
    pub(super) fn run_lost(&mut self, id: TaskId, run: u64, now: Instant) {
        if self.drop_run(id, run, now) {
            self.make_ready(id, now);
        }
    }

    /// Removes a run from its task. Returns whether it was there.
    pub(super) fn drop_run(&mut self, id: TaskId, run: u64, now: Instant) -> bool {
        let job = self.jobs.get_mut(&id.step.job);
        let Some(task) = job.and_then(|job| job.task_mut(id)) else {
            return false;
        };
        if task.remove_run(run).is_none() {
            return false;
        }
        if task.runs.is_empty() {
            task.idle_since_ms = now.steady_ms;
        }
        let outcome = self.copies.run_ended(id, run);
        self.log_copy(id, outcome);
        if let Some(job) = self.jobs.get_mut(&id.step.job) {
            job.forget_ended(id);
        }
        self.release_job(id.step.job);
        true
    }
}

impl super::job_entry::JobEntry {
    /// Returns the number of failed runs of a gang, whose members share run
    /// numbers.
    fn failed_gang_runs(&self, step: crate::job::StepId) -> usize {
        let Some(steps) = self.occurrences.get(&step.occurrence) else {
            return 0;
        };
        let tasks = steps[usize::from(step.step)].started();
        let runs = tasks.flat_map(|(_, task)| task.failed_runs.iter());
        runs.collect::<std::collections::BTreeSet<_>>().len()
    }
}
