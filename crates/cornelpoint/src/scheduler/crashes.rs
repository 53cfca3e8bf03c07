use crate::job::JobStatus;
use crate::job::TaskId;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::RunLoss;
use super::scheduler_event::SchedulerEvent;
use super::task_entry::Run;
use super::worker_state::WorkerState;

/// Time from the order to start a run within which its worker was last heard of if
/// the start has crashed it: some round trips.
pub(super) const ON_START_MS: u64 = 200;
/// Crashes on start after which a task is given up. The platform allows it from two
/// workers on.
const MAX_ON_START: u32 = 2;
/// The same, with workers that fell silent on start and may not have crashed, after
/// which a task is withheld.
const MAX_ON_START_OR_SILENT: u32 = 3;
/// Crashes at any time after which a task is given up; with silences, after which it is
/// withheld. The platform allows two more starts after the third crash.
const MAX_TOTAL: u32 = 4;
/// Time after a silence for which a task is withheld. A crashed worker is back within
/// some seconds; one that is gone for longer says nothing about the task.
const WITHHELD_MS: u64 = 30_000;
/// A run that lasts this long clears its task of earlier crashes.
const CLEARED_MS: u64 = 30_000;

/// How often workers have crashed under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashCount {
    /// Crashes of workers on which the task was running, or was to start, and that no
    /// later start explains.
    pub(super) total: u32,
    /// Those of them right after the task had started.
    pub(super) on_start: u32,
    /// Workers that fell silent right after the task had started, and are neither
    /// known to have crashed nor heard of again.
    pub(super) silent: u32,
    /// The same, before they had confirmed the start.
    pub(super) unconfirmed: u32,
    /// When the latest of both was noted.
    pub(super) silent_ms: u64,
}

impl CrashCount {
    fn record(&mut self, lost: &LostRun) {
        self.total += 1;
        self.on_start += u32::from(lost.is_on_start());
    }

    /// Returns the count to which a run belongs whose worker fell silent.
    fn silences(&mut self, lost: &LostRun) -> &mut u32 {
        if lost.confirmed {
            &mut self.silent
        } else {
            &mut self.unconfirmed
        }
    }

    /// Whether the task may be what has crashed its workers. Such a task is tried on
    /// a worker apart from others of its kind, so that a further crash has one
    /// suspect.
    pub(super) fn is_suspect(self) -> bool {
        self.on_start + self.silent > 0 || self.total + self.unconfirmed > 1
    }

    /// Whether the task most likely crashes each worker that starts it. A silence is no
    /// crash: the worker may only be cut off.
    fn is_given_up(self) -> bool {
        self.on_start >= MAX_ON_START || self.total >= MAX_TOTAL
    }

    /// Returns the time up to which the task is not to be started, if there is one: it
    /// would have crashed too many workers if those that fell silent have crashed.
    fn withheld_until_ms(self) -> Option<u64> {
        let silences = self.silent + self.unconfirmed;
        let too_many = self.on_start + self.silent >= MAX_ON_START_OR_SILENT
            || self.total + silences >= MAX_TOTAL;
        (silences > 0 && too_many).then_some(self.silent_ms + WITHHELD_MS)
    }
}

/// A run that is over without a completion listed by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LostRun {
    task: TaskId,
    /// Whether the worker had confirmed the start.
    confirmed: bool,
    /// Time from the start order to the last answer of the worker.
    heard_for_ms: u64,
}

impl LostRun {
    pub(super) fn task(&self) -> TaskId {
        self.task
    }

    /// Whether the run lasted so long that earlier crashes no longer matter.
    fn clears(&self) -> bool {
        self.heard_for_ms >= CLEARED_MS
    }

    /// Whether the worker was last heard of right after it had started the run.
    fn is_on_start(&self) -> bool {
        self.confirmed && self.heard_for_ms <= ON_START_MS
    }

    /// Whether the start of the run may have crashed the worker.
    fn is_suspect(&self) -> bool {
        !self.confirmed || self.is_on_start()
    }
}

impl PoolScheduler {
    /// Records a run as lost and returns what is known of it. Call before the run is
    /// removed.
    pub(super) fn lose_run(
        &mut self,
        task: TaskId,
        number: u64,
        worker: &WorkerState,
        loss: RunLoss,
    ) -> LostRun {
        let lost_run = self.lost_run(task, number, worker);
        self.events.push(SchedulerEvent::RunLost {
            task,
            run: number,
            worker: worker.entry.id.clone(),
            loss,
            confirmed: lost_run.confirmed,
            heard_for_ms: lost_run.heard_for_ms,
            leaving: worker.is_leaving(),
        });
        lost_run
    }

    /// Returns what is known of a run that may be lost.
    pub(super) fn lost_run(&self, task: TaskId, number: u64, worker: &WorkerState) -> LostRun {
        let job = self.jobs.get(&task.step.job);
        let run = job.and_then(|job| job.task(task)?.run(number));
        LostRun {
            task,
            confirmed: run.is_some_and(Run::is_confirmed),
            heard_for_ms: run.map_or(0, |run| worker.heard_ms().saturating_sub(run.started_ms)),
        }
    }

    /// Counts the crash of a worker against the tasks that it had just started, or
    /// was to start; if there are none, against all that it was running.
    pub(super) fn worker_crashed(&mut self, lost: &[LostRun], now: Instant) {
        self.clear_crashes(lost);
        let has_suspect = lost.iter().any(LostRun::is_suspect);
        for run in lost.iter().filter(|run| !has_suspect || run.is_suspect()) {
            self.update_crashes(run.task, now, |crashes| crashes.record(run));
        }
    }

    /// Notes the tasks on whose start a worker fell silent, before or after it had
    /// confirmed the start, once their leases have expired.
    pub(super) fn worker_fell_silent(
        &mut self,
        incarnation: IncarnationIndex,
        lost: &[LostRun],
        now: Instant,
    ) {
        self.clear_crashes(lost);
        for run in lost.iter().filter(|run| run.is_suspect()) {
            if let Some(worker) = self.incarnations.get(&incarnation) {
                self.silences.add(worker, *run);
            }
            self.update_crashes(run.task, now, |crashes| {
                *crashes.silences(run) += 1;
                crashes.silent_ms = now.steady_ms;
            });
        }
    }

    /// Clears the tasks of earlier crashes whose lost runs lasted long.
    fn clear_crashes(&mut self, lost: &[LostRun]) {
        for run in lost.iter().filter(|run| run.clears()) {
            self.silences.retain(|task| task != run.task);
            let job = self.jobs.get_mut(&run.task.step.job);
            if let Some(entry) = job.and_then(|job| job.task_mut(run.task)) {
                entry.crashes = CrashCount::default();
            }
        }
    }

    /// Settles what was noted of a silent worker: it has crashed, or was heard of
    /// again.
    pub(super) fn silence_explained(
        &mut self,
        silences: Vec<LostRun>,
        crashed: bool,
        now: Instant,
    ) {
        for run in silences {
            self.update_crashes(run.task, now, |crashes| {
                let silences = crashes.silences(&run);
                *silences = silences.saturating_sub(1);
                if crashed {
                    crashes.record(&run);
                }
            });
        }
    }

    /// Updates a task's crashes; gives its job up if they are too many, and withholds it
    /// if they may be.
    fn update_crashes(&mut self, id: TaskId, now: Instant, update: impl FnOnce(&mut CrashCount)) {
        let job = self.jobs.get_mut(&id.step.job);
        let Some(job) = job.filter(|job| !job.status.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(id).filter(|task| !task.done) else {
            return;
        };
        update(&mut task.crashes);
        let crashes = task.crashes;
        // Where a task may be placed depends on whether it is a suspect.
        self.reconsider(id.step);
        self.task_changed(id);
        if crashes.is_given_up() {
            self.events.push(SchedulerEvent::TaskGivenUp {
                task: id,
                crashes: crashes.total,
                on_start: crashes.on_start,
                silent: crashes.silent + crashes.unconfirmed,
            });
            self.finish(id.step.job, JobStatus::Failed, now);
            return;
        }
        let until_ms = crashes.withheld_until_ms();
        if let Some(until_ms) = until_ms.filter(|until_ms| *until_ms > now.steady_ms)
            && self.silences.withhold(id, until_ms)
        {
            self.events.push(SchedulerEvent::TaskWithheld {
                task: id,
                crashes: crashes.total,
                on_start: crashes.on_start,
                silent: crashes.silent + crashes.unconfirmed,
                for_ms: until_ms - now.steady_ms,
            });
        }
    }

    /// Whether a task may be what has crashed its workers.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.and_then(|job| job.task(task))
            .is_some_and(|entry| entry.crashes.is_suspect())
    }

    /// Whether a task must not be started until more is known of the workers that fell
    /// silent on it.
    pub(super) fn is_withheld(&self, task: TaskId, now: Instant) -> bool {
        if !self.silences.withhold_any() {
            return false;
        }
        let job = self.jobs.get(&task.step.job);
        job.and_then(|job| job.task(task)?.crashes.withheld_until_ms())
            .is_some_and(|until_ms| now.steady_ms < until_ms)
    }
}
