use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::TaskId;

use super::copy_record::CopyRecord;

/// How a copy turned out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It ended done before the run that it copies.
    Won,
    /// The run that it copies ended done first.
    Lost,
    /// It failed, its start was not carried out, or its worker was lost.
    Failed,
    /// Its job became final without the task being done.
    Cancelled,
}

/// Copies that may occupy workers, and runs that may become late.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    by_task: BTreeMap<TaskId, RunningCopy>,
    /// Runs by the time at which they are looked at.
    due: BTreeSet<(u64, TaskId, u64)>,
    record: CopyRecord,
}

#[derive(Clone, Copy, Debug)]
struct RunningCopy {
    run: u64,
    cpu_millicores: u64,
    settled: bool,
}

impl Copies {
    /// Records a copy, which counts until its end is known.
    ///
    /// ```
    /// use cornelpoint::job::StepId;
    /// use cornelpoint::speculation::Copies;
    /// use cornelpoint::speculation::CopyOutcome;
    ///
    /// let job = "00000000000000aa".parse().unwrap();
    /// let task = StepId { job, occurrence: 0, step: 0 }.task(0);
    /// let mut copies = Copies::default();
    /// copies.add(task, 2, 1000);
    /// assert_eq!((copies.count(), copies.millicores()), (1, 1000));
    /// assert_eq!(copies.settle_done(task, 2), Some((2, CopyOutcome::Won)));
    /// copies.run_ended(task, 2);
    /// assert_eq!(copies.count(), 0);
    /// ```
    pub fn add(&mut self, task: TaskId, run: u64, cpu_millicores: u64) {
        let copy = RunningCopy {
            run,
            cpu_millicores,
            settled: false,
        };
        self.by_task.insert(task, copy);
    }

    /// Whether a copy of a task may occupy a worker.
    #[must_use]
    pub fn has_copy(&self, task: TaskId) -> bool {
        self.by_task.contains_key(&task)
    }

    /// Returns the number of copies that may occupy workers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_task.len()
    }

    /// Returns the CPU that they reserve.
    #[must_use]
    pub fn millicores(&self) -> u64 {
        self.by_task.values().map(|copy| copy.cpu_millicores).sum()
    }

    /// Records that a copy is ordered.
    pub fn copy_started(&mut self, now_ms: u64) {
        self.record.copy_started(now_ms);
    }

    /// Returns how many copies may start now, by how earlier ones have turned out.
    #[must_use]
    pub fn most_copies(&self, now_ms: u64) -> usize {
        self.record.most_copies(now_ms)
    }

    /// Returns the outcome of a task's copy once a run of the task has ended done.
    pub fn settle_done(&mut self, task: TaskId, run: u64) -> Option<(u64, CopyOutcome)> {
        let copy = self.by_task.get_mut(&task).filter(|copy| !copy.settled)?;
        copy.settled = true;
        let outcome = if copy.run == run {
            CopyOutcome::Won
        } else {
            CopyOutcome::Lost
        };
        let copy_run = copy.run;
        self.record.record_outcome(outcome);
        Some((copy_run, outcome))
    }

    /// Returns the outcome of a task's copy once its job is final.
    pub fn settle_final(&mut self, task: TaskId) -> Option<(u64, CopyOutcome)> {
        let copy = self.by_task.get_mut(&task).filter(|copy| !copy.settled)?;
        copy.settled = true;
        Some((copy.run, CopyOutcome::Cancelled))
    }

    /// Records that a run is over. Returns the outcome if it was a copy without one.
    pub fn run_ended(&mut self, task: TaskId, run: u64) -> Option<(u64, CopyOutcome)> {
        let copy = self.by_task.get(&task).filter(|copy| copy.run == run)?;
        let outcome = (!copy.settled).then_some((run, CopyOutcome::Failed));
        self.by_task.remove(&task);
        outcome
    }

    /// Looks at a run again at a time.
    pub fn watch(&mut self, task: TaskId, run: u64, at_ms: u64) {
        self.due.insert((at_ms, task, run));
    }

    /// Returns when the next run is to be looked at.
    #[must_use]
    pub fn due_ms(&self) -> Option<u64> {
        self.due.first().map(|(at_ms, _, _)| *at_ms)
    }

    /// Removes and returns the next run to be looked at by now.
    pub fn take_due(&mut self, now_ms: u64) -> Option<(TaskId, u64)> {
        let (at_ms, task, run) = *self.due.first()?;
        if at_ms > now_ms {
            return None;
        }
        self.due.pop_first();
        Some((task, run))
    }
}
