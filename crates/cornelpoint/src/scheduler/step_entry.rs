use std::collections::BTreeMap;
use std::ops::Range;

use crate::job::IndexSet;

use super::task_entry::TaskEntry;

/// In-memory state of a step of one occurrence.
///
/// Only tasks that have been started have a record, so that a step takes the same room
/// however many tasks it has.
#[derive(Clone, Debug)]
pub(super) struct StepEntry {
    replicas: u32,
    done: IndexSet,
    /// Tasks that have been started, but for those that are done and have no runs left.
    started: BTreeMap<u32, TaskEntry>,
    pub(super) open: bool,
}

impl StepEntry {
    /// Creates a step of which no task has been started.
    pub(super) fn new(replicas: u32) -> Self {
        Self {
            replicas,
            done: IndexSet::default(),
            started: BTreeMap::new(),
            open: false,
        }
    }

    /// Returns the number of tasks that are not done.
    pub(super) fn remaining(&self) -> u32 {
        let done = u32::try_from(self.done.len()).unwrap_or(u32::MAX);
        self.replicas.saturating_sub(done)
    }

    /// Returns the tasks that are done.
    pub(super) fn done(&self) -> &IndexSet {
        &self.done
    }

    pub(super) fn is_done(&self, index: u32) -> bool {
        self.done.contains(index)
    }

    /// Returns the tasks that have a record.
    pub(super) fn started(&self) -> impl Iterator<Item = (u32, &TaskEntry)> {
        self.started.iter().map(|(&index, task)| (index, task))
    }

    /// Returns the tasks with records in a range of indexes.
    pub(super) fn started_in(
        &self,
        indexes: Range<u32>,
    ) -> impl Iterator<Item = (u32, &TaskEntry)> {
        let tasks = self.started.range(indexes);
        tasks.map(|(&index, task)| (index, task))
    }

    /// Returns the number of records.
    pub(super) fn record_count(&self) -> usize {
        self.started.len()
    }

    /// Returns a task's record; `None` if it has none.
    pub(super) fn task(&self, index: u32) -> Option<&TaskEntry> {
        self.started.get(&index)
    }

    /// Returns a task's record, which is added if it has none; `None` if the step has no
    /// such task.
    pub(super) fn task_mut(&mut self, index: u32) -> Option<&mut TaskEntry> {
        let done = self.done.contains(index);
        (index < self.replicas).then(|| {
            self.started.entry(index).or_insert_with(|| TaskEntry {
                done,
                ..TaskEntry::default()
            })
        })
    }

    /// Records that a task is done. Returns `false` if it was, or there is no such task.
    pub(super) fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.replicas || !self.done.insert(index) {
            return false;
        }
        if let Some(task) = self.started.get_mut(&index) {
            task.done = true;
            task.checkpoint.clear();
        }
        self.forget_ended(index);
        true
    }

    /// Forgets the record of a task that is done and has no runs left.
    pub(super) fn forget_ended(&mut self, index: u32) {
        let task = self.started.get(&index);
        if task.is_some_and(|task| task.done && task.runs.is_empty()) {
            self.started.remove(&index);
        }
    }

    /// Returns the tasks that are not done and have no run.
    pub(super) fn idle(&self) -> IndexSet {
        let mut idle = self.done.complement(self.replicas);
        for (&index, task) in &self.started {
            if !task.runs.is_empty() {
                idle.remove(index);
            }
        }
        idle
    }

    /// Whether a task is not done and has no run.
    pub(super) fn has_idle(&self) -> bool {
        let tasks = self.started.values();
        let active = tasks.filter(|task| !task.done && !task.runs.is_empty());
        active.count() < self.remaining() as usize
    }

    /// Whether a task other than the one at `index`, if that is of this step, is not done
    /// and has no run.
    pub(super) fn has_other_idle(&self, index: u32, is_same_step: bool) -> bool {
        let tasks = self.started.values();
        let active = tasks.filter(|task| !task.done && !task.runs.is_empty());
        let task = self.task(index);
        let is_idle =
            is_same_step && !self.is_done(index) && task.is_none_or(|task| task.runs.is_empty());
        active.count() + usize::from(is_idle) < self.remaining() as usize
    }

    /// Whether no task has a run.
    pub(super) fn has_no_runs(&self) -> bool {
        self.started.values().all(|task| task.runs.is_empty())
    }
}
