use crate::job::JobId;
use crate::job::Resources;
use crate::job::StepId;
use crate::job::TaskId;
use crate::quota::WaitReason;
use crate::speculation::ChosenCopy;
use crate::speculation::CopyOutcome;

/// A change in the known state of a run or task, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A quorum of the workers that a predecessor recorded has reported or ended, so that it
    /// grants no more leases.
    PredecessorFenced {
        /// Number of workers that it recorded.
        recorded: usize,
        /// Number of those that have reported or ended.
        fenced: usize,
        /// Time until its last leases have expired.
        wait_ms: u64,
    },
    /// A run is over without a completion listed by its worker.
    RunLost {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Identifier of the worker.
        worker: String,
        /// How the scheduler learned of it.
        loss: RunLoss,
        /// Whether the worker had confirmed the start.
        confirmed: bool,
        /// Time from the start order to the last answer of the worker.
        heard_for_ms: u64,
        /// Whether the worker was leaving as planned.
        leaving: bool,
    },
    /// An incarnation of a worker with runs has ended.
    WorkerEnded {
        /// Identifier of the worker.
        worker: String,
        /// Start of the incarnation, in milliseconds since 1970; 0 if it is not known.
        born_unix_ms: u64,
        /// What shows it.
        evidence: EndEvidence,
        /// Number of its runs.
        runs: usize,
    },
    /// Runs of lower priority are stopped for tasks of priority 0 that would be late.
    RunsPreempted {
        /// Step that waits.
        step: StepId,
        /// Number of its tasks that wait.
        tasks: usize,
        /// Time for which they have waited.
        waited_ms: u64,
        /// Tasks whose runs are stopped.
        stopped: Vec<TaskId>,
    },
    /// A worker reports a run that the scheduler had dropped, or one of a task that
    /// has other runs.
    UnexpectedRun {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Identifier of the worker.
        worker: String,
        /// Number of other runs of the task.
        others: usize,
    },
    /// A task is given up, and its job with it: it crashes the workers that start it.
    TaskGivenUp {
        /// The task.
        task: TaskId,
        /// Workers that have crashed under it.
        crashes: u32,
        /// Those of them that crashed right after the start.
        on_start: u32,
        /// Workers that fell silent on the start.
        silent: u32,
    },
    /// A task is not started for some time: workers that may have crashed by it can't be
    /// reached.
    TaskWithheld {
        /// The task.
        task: TaskId,
        /// Workers that have crashed under it.
        crashes: u32,
        /// Those of them that crashed right after the start.
        on_start: u32,
        /// Workers that fell silent on the start.
        silent: u32,
        /// Longest time for which it is withheld.
        for_ms: u64,
    },
    /// A copy of a late run was ordered.
    CopyStarted {
        /// The late run, and what decided on its copy.
        copied: ChosenCopy,
        /// Number of the copy.
        run: u64,
        /// Identifier of the worker that runs the copy.
        worker: String,
        /// Identifier of the worker of the late run.
        late_worker: String,
    },
    /// It is known how a copy turned out.
    CopyEnded {
        /// The task.
        task: TaskId,
        /// Number of the copy.
        run: u64,
        /// How it turned out.
        outcome: CopyOutcome,
    },
    /// A step that lasts waits for workers.
    StepWaits {
        /// The step.
        step: StepId,
        /// Number of its tasks that wait.
        tasks: usize,
        /// What each of them needs.
        need: Resources,
        /// Since when tasks of the step have been waiting, in milliseconds.
        waited_ms: u64,
        /// Whether it is compared only with workers that change.
        unplaceable: bool,
        /// Whether it waits until a predecessor's leases have expired.
        waits_for_predecessor: bool,
        /// What keeps workers from running its tasks.
        obstacles: WorkerObstacles,
    },
    /// A step waits for its tenant's limit. At most one is told of in a second.
    TenantWaits {
        /// Name of the tenant.
        tenant: String,
        /// The step.
        step: StepId,
        /// Number of tasks that wait.
        tasks: usize,
        /// Resources that are needed at once.
        need: Resources,
        /// For how long it has waited for workers or for the limit.
        waited_ms: u64,
        /// Why nothing may start.
        reason: WaitReason,
        /// What the tenant uses of the pool.
        used: Resources,
        /// The pool's allotment.
        allotted: Resources,
        /// The tenant's limit over all pools.
        limit: Resources,
    },
    /// The store refuses the rows of a job. An accepted job is stored again only with
    /// its next change; another is rejected.
    JobUnstorable {
        /// The job.
        job: JobId,
        /// Estimated size of its rows.
        bytes: usize,
        /// Whether it was accepted.
        accepted: bool,
    },
}

/// Numbers of workers by what first keeps them from running one more task of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerObstacles {
    /// They lack its label.
    pub label: usize,
    /// They run as many of its tasks as they may.
    pub limit: usize,
    /// There is no room beside the tasks that last.
    pub lasting_tasks: usize,
    /// They are being vacated.
    pub vacating: usize,
    /// They may get no tasks for another reason.
    pub unusable: usize,
    /// There is no room beside all tasks.
    pub short_tasks: usize,
    /// Nothing does.
    pub none: usize,
}

/// What shows that an incarnation of a worker has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The registry lists another start of the worker, or a later one on its machine.
    Registry,
    /// A report of the worker names another start.
    Report,
    /// Another worker answers at its address.
    Address,
}

/// How the scheduler learned that a run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunLoss {
    /// The worker's incarnation has ended.
    LifeEnded,
    /// The lease of an unresponsive worker has certainly expired.
    LeaseEnded,
    /// The worker's report no longer lists it.
    NotListed,
}
