use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::TaskId;

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
    copies: BTreeMap<TaskId, RunningCopy>,
    /// Runs by the time at which they are looked at.
    due: BTreeSet<(u64, TaskId, u64)>,
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
        self.copies.insert(task, copy);
    }

    /// Whether a copy of a task may occupy a worker.
    #[must_use]
    pub fn has_copy(&self, task: TaskId) -> bool {
        self.copies.contains_key(&task)
    }

    /// Returns the number of copies that may occupy workers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.copies.len()
    }

    /// Returns the CPU that they reserve.
    #[must_use]
    pub fn millicores(&self) -> u64 {
        self.copies.values().map(|copy| copy.cpu_millicores).sum()
    }

    /// Returns the outcome of a task's copy once a run of the task has ended done.
    pub fn settle_done(&mut self, task: TaskId, run: u64) -> Option<(u64, CopyOutcome)> {
        let copy = self.copies.get_mut(&task).filter(|copy| !copy.settled)?;
        copy.settled = true;
        let outcome = if copy.run == run {
            CopyOutcome::Won
        } else {
            CopyOutcome::Lost
        };
        Some((copy.run, outcome))
    }

    /// Returns the outcome of a task's copy once its job is final.
    pub fn settle_final(&mut self, task: TaskId) -> Option<(u64, CopyOutcome)> {
        let copy = self.copies.get_mut(&task).filter(|copy| !copy.settled)?;
        copy.settled = true;
        Some((copy.run, CopyOutcome::Cancelled))
    }

    /// Records that a run is over. Returns the outcome if it was a copy without one.
    pub fn run_ended(&mut self, task: TaskId, run: u64) -> Option<(u64, CopyOutcome)> {
        let copy = self.copies.get(&task).filter(|copy| copy.run == run)?;
        let outcome = (!copy.settled).then_some((run, CopyOutcome::Failed));
        self.copies.remove(&task);
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
