use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission::ShareClass;
use crate::admission::dominant_millicores;
use crate::job::BlockProgress;
use crate::job::IndexSet;
use crate::job::JobId;
use crate::job::JobProgress;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::JobStatus;
use crate::job::RawJob;
use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;
use crate::job::StepProgress;
use crate::job::TaskBlock;
use crate::job::TaskId;
use crate::job::TaskProgress;
use crate::quota::TenantIndex;

use super::objective::Objective;
use super::step_entry::StepEntry;
use super::stored_blocks::StoredBlocks;
use super::task_entry::TaskEntry;

/// Largest checkpoint that is stored: a block of tasks has to fit a transaction.
const MAX_CHECKPOINT_BYTES: usize = 1500;
/// Stands for the steps of a released job.
static RELEASED_STEP: Step = Step::NONE;

/// In-memory state of a job.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) id: JobId,
    pub(super) record: JobRecord,
    /// The job's tenant; `None` where limits of tenants aren't in force.
    pub(super) tenant: Option<TenantIndex>,
    pub(super) spec: JobSpec,
    pub(super) status: JobStatus,
    pub(super) final_unix_ms: u64,
    pub(super) final_steady_ms: u64,
    /// Status in the store; `None` until the store has a row of the job.
    pub(super) stored_status: Option<JobStatus>,
    /// Whether the job is known to be accepted: its row, or one in the owner's
    /// inbox, is stored.
    pub(super) accepted: bool,
    /// Whether a predecessor may have started tasks of the job.
    pub(super) inherited: bool,
    /// Whether the job's tenant was owed capacity for it when it was submitted.
    pub(super) share_class: ShareClass,
    /// Value of the job if it is in time, in thousandths of that of a mean job.
    pub(super) value_milli: u64,
    /// Time by which the job has to be done to be of full value.
    pub(super) objective: Objective,
    /// Estimated memory that the job holds.
    pub(super) held_bytes: usize,
    /// Occurrences that have begun, without those that are done and have no runs left.
    pub(super) occurrences: BTreeMap<u32, Vec<StepEntry>>,
    pub(super) done_occurrences: IndexSet,
    pub(super) next_occurrence: u32,
    pub(super) blocks: StoredBlocks,
}

impl JobEntry {
    pub(super) fn step(&self, step: u16) -> &Step {
        let step = self.spec.steps.get(usize::from(step));
        step.unwrap_or(&RELEASED_STEP)
    }

    /// Releases what only a job that may run needs. Returns whether there was something.
    pub(super) fn release(&mut self) -> bool {
        let may_run = !self.status.is_final()
            || !self.stored_status.is_some_and(JobStatus::is_final)
            || !self
                .occurrences
                .values()
                .flatten()
                .all(StepEntry::has_no_runs);
        if may_run || self.spec.steps.is_empty() {
            return false;
        }
        self.occurrences.clear();
        self.spec.steps = Vec::new();
        self.blocks.forget_changes(|_| true);
        self.spec.spec = "".into();
        self.objective = Objective::default();
        self.record.job = RawJob::default();
        true
    }

    /// Returns when an occurrence has to be done, by the monotonic clock.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        self.objective.due_ms() + self.occurrence_offset_ms(occurrence)
    }

    /// Returns the latest start of a step with which its occurrence can be done
    /// in time.
    pub(super) fn latest_start_ms(&self, occurrence: u32, step: usize) -> u64 {
        self.objective.latest_start_ms(step) + self.occurrence_offset_ms(occurrence)
    }

    /// Returns the time from the job's submission to the scheduled start of an
    /// occurrence.
    fn occurrence_offset_ms(&self, occurrence: u32) -> u64 {
        let schedule = self.spec.schedule.as_ref();
        schedule.map_or(0, |schedule| {
            let start_ms = schedule.due_unix_ms(occurrence);
            start_ms.saturating_sub(self.record.accepted_unix_ms)
        })
    }

    /// Whether the job can no longer meet its objective: the objective has
    /// passed, or a task that waits for a worker would start too late. Never
    /// true of scheduled and long-running jobs.
    pub(super) fn misses_objective(&self, now_ms: u64) -> bool {
        if self.spec.schedule.is_some() || self.spec.is_long_running() {
            return false;
        }
        let mut steps = self.occurrences.iter().flat_map(|(&occurrence, steps)| {
            let indexed_steps = steps.iter().enumerate();
            indexed_steps.map(move |(step_index, step)| (occurrence, step_index, step))
        });
        let waits_too_long = steps.any(|(occurrence, step_index, step)| {
            step.open && self.latest_start_ms(occurrence, step_index) < now_ms && step.has_idle()
        });
        self.objective.due_ms() < now_ms || waits_too_long
    }

    /// Returns the expected work of the tasks that are not done, in core-milliseconds.
    pub(super) fn left_core_ms(&self) -> u64 {
        let steps = self.occurrences.values();
        let steps = steps.flat_map(|steps| steps.iter().zip(&self.spec.steps).enumerate());
        let short = steps.filter(|(_, (_, step))| !step.fills && !step.long_running);
        let work = short.map(|(index, (entry, step))| {
            let cpu = u64::from(entry.remaining()) * step.resources.cpu_millicores;
            cpu * self.objective.step_ms(index) / 1000
        });
        work.sum()
    }

    /// Returns the expected work of a task by the resource of which it takes the largest
    /// part of a pool, in core-milliseconds.
    pub(super) fn dominant_core_ms(&self, step: u16, pool: Resources) -> u64 {
        let need = self.step(step).reserved();
        let step_ms = self.objective.step_ms(usize::from(step));
        dominant_millicores(need, pool).saturating_mul(step_ms) / 1000
    }

    /// Returns a begun step; `None` if its occurrence is done or hasn't begun.
    pub(super) fn begun_step(&self, id: StepId) -> Option<&StepEntry> {
        let steps = self.occurrences.get(&id.occurrence)?;
        steps.get(usize::from(id.step))
    }

    fn begun_step_mut(&mut self, id: StepId) -> Option<&mut StepEntry> {
        let steps = self.occurrences.get_mut(&id.occurrence)?;
        steps.get_mut(usize::from(id.step))
    }

    /// Returns a task's record; `None` if it has never been started.
    pub(super) fn task(&self, task: TaskId) -> Option<&TaskEntry> {
        self.begun_step(task.step)?.task(task.index)
    }

    /// Returns a task's record, which is added if it has none.
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskEntry> {
        self.begun_step_mut(task.step)?.task_mut(task.index)
    }

    /// Whether a task is not done and has no run.
    pub(super) fn is_idle(&self, id: TaskId) -> bool {
        let step = self.begun_step(id.step);
        step.is_some_and(|step| {
            let task = step.task(id.index);
            !step.is_done(id.index) && task.is_none_or(|task| task.runs.is_empty())
        })
    }

    /// Adds an occurrence of which no task is done.
    pub(super) fn add_occurrence(&mut self, occurrence: u32) {
        let steps = self.spec.steps.iter();
        let steps = steps.map(|step| StepEntry::new(step.replicas));
        self.occurrences.insert(occurrence, steps.collect());
        self.next_occurrence = self.next_occurrence.max(occurrence + 1);
    }

    /// Adds the occurrences before one that are not there yet.
    pub(super) fn add_occurrences_before(&mut self, end: u32) {
        for occurrence in 0..end {
            let is_done = self.done_occurrences.contains(occurrence);
            if !is_done && !self.occurrences.contains_key(&occurrence) {
                self.add_occurrence(occurrence);
            }
        }
    }

    /// Records that a task is done, and its occurrence with the last of its tasks.
    pub(super) fn mark_task_done(&mut self, id: TaskId) {
        let step = self.begun_step_mut(id.step);
        if !step.is_some_and(|step| step.mark_done(id.index)) {
            return;
        }
        let steps = self.occurrences.get(&id.step.occurrence);
        if steps.is_some_and(|steps| steps.iter().all(|step| step.remaining() == 0)) {
            self.done_occurrences.insert(id.step.occurrence);
        }
    }

    /// Whether an occurrence has begun that is not done.
    pub(super) fn has_begun_occurrence(&self) -> bool {
        let mut begun = self.occurrences.keys();
        begun.any(|&occurrence| !self.done_occurrences.contains(occurrence))
    }

    /// Whether all occurrences are done.
    pub(super) fn is_done(&self) -> bool {
        self.done_occurrences.len() >= self.spec.occurrences() as usize
    }

    /// Forgets what is no longer needed after a run of a task has ended.
    pub(super) fn forget_ended(&mut self, id: TaskId) {
        if let Some(step) = self.begun_step_mut(id.step) {
            step.forget_ended(id.index);
        }
        self.forget_done_occurrence(id.step.occurrence);
    }

    /// Forgets the tasks of an occurrence of a scheduled job that is done, once none of
    /// them has a run.
    pub(super) fn forget_done_occurrence(&mut self, occurrence: u32) {
        if self.spec.schedule.is_none() || !self.done_occurrences.contains(occurrence) {
            return;
        }
        let mut steps = self.occurrences.get(&occurrence).into_iter().flatten();
        if steps.all(StepEntry::has_no_runs) {
            self.occurrences.remove(&occurrence);
        }
    }

    /// Whether all steps that a step depends on are done.
    pub(super) fn may_open(&self, occurrence: u32, step: u16) -> bool {
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return false;
        };
        let after = &self.spec.steps[usize::from(step)].after;
        after
            .iter()
            .all(|&earlier| steps[usize::from(earlier)].remaining() == 0)
    }

    /// Whether the stored progress of a block is no longer needed.
    pub(super) fn is_obsolete(&self, block: TaskBlock) -> bool {
        self.status.is_final() || self.done_occurrences.contains(block.occurrence)
    }

    /// Forgets the changes of blocks that are no longer needed.
    pub(super) fn forget_obsolete_changes(&mut self) {
        let is_final = self.status.is_final();
        let done = &self.done_occurrences;
        self.blocks
            .forget_changes(|block| is_final || done.contains(block.occurrence));
    }

    /// Returns the progress of a block's tasks in the form that is stored.
    pub(super) fn block_progress(&self, block: TaskBlock) -> BlockProgress {
        let steps = self.occurrences.get(&block.occurrence);
        let Some(step) = steps.and_then(|steps| steps.get(usize::from(block.step))) else {
            return BlockProgress::default();
        };
        let indexes = block.indexes();
        let started = step.started_in(indexes.clone());
        let tasks = started.filter_map(|(index, task)| {
            task_progress(block.occurrence, usize::from(block.step), index, task)
        });
        BlockProgress {
            done: indexes.filter(|index| step.is_done(*index)).collect(),
            tasks: tasks.collect(),
        }
    }

    /// Returns the blocks of which a task has been started.
    pub(super) fn started_blocks(&self) -> BTreeSet<TaskBlock> {
        let steps = self.occurrences.iter().flat_map(|(&occurrence, steps)| {
            let steps = steps.iter().enumerate();
            steps.map(move |(step_index, step)| (occurrence, step_index, step))
        });
        let blocks = steps.flat_map(|(occurrence, step_index, step)| {
            let id = StepId {
                job: self.id,
                occurrence,
                step: step_number(step_index),
            };
            let started = step.started().map(|(index, _)| index);
            let tasks = step.done().iter().chain(started);
            tasks.map(move |index| TaskBlock::of(id.task(index)))
        });
        blocks.collect()
    }

    /// Returns the job's current progress in the form that is stored.
    pub(super) fn progress(&self) -> JobProgress {
        let mut progress = JobProgress {
            status: self.status,
            final_unix_ms: self.final_unix_ms,
            ..JobProgress::default()
        };
        if self.status.is_final() {
            return progress;
        }
        progress.done_occurrences = self.done_occurrences.clone();
        if self.blocks.are_used() {
            return progress;
        }
        let open = self.occurrences.iter();
        let open = open.filter(|(occurrence, _)| !self.done_occurrences.contains(**occurrence));
        for (&occurrence, steps) in open {
            for (step_index, step) in steps.iter().enumerate() {
                if !step.done().is_empty() {
                    progress.steps.push(StepProgress {
                        occurrence,
                        step: step_number(step_index),
                        done: step.done().clone(),
                    });
                }
                for (index, task) in step.started() {
                    let task = task_progress(occurrence, step_index, index, task);
                    progress.tasks.extend(task);
                }
            }
        }
        progress
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "steps are bounded when a job is checked"
)]
fn step_number(step_index: usize) -> u16 {
    step_index as u16
}

/// Returns a checkpoint unless it is too large to be stored. After a takeover, its task may
/// begin anew.
fn stored_checkpoint(checkpoint: &str) -> String {
    if checkpoint.len() > MAX_CHECKPOINT_BYTES {
        return String::new();
    }
    checkpoint.to_owned()
}

/// Returns the progress of a task that is not done, if there is any.
fn task_progress(
    occurrence: u32,
    step_index: usize,
    index: u32,
    task: &TaskEntry,
) -> Option<TaskProgress> {
    let untouched =
        task.failed_runs.is_empty() && task.checkpoint.is_empty() && task.crashes.total == 0;
    (!task.done && !untouched).then(|| TaskProgress {
        occurrence,
        step: step_number(step_index),
        index,
        done: false,
        failed_runs: task.failed_runs.clone(),
        last_run: task.last_run,
        checkpoint: stored_checkpoint(&task.checkpoint),
        crashes: task.crashes.total,
        crashes_on_start: task.crashes.on_start,
    })
}
