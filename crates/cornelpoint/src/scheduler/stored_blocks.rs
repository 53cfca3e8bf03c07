use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::TaskBlock;

/// Number of tasks from which a job's progress is stored in blocks.
const MAX_WHOLE_TASKS: u64 = 250;

/// Blocks of a job's tasks, and which of them have to be written or removed.
#[derive(Clone, Debug)]
pub(super) struct StoredBlocks {
    are_used: bool,
    /// Whether an earlier version has stored the progress as a whole.
    replaces_whole: bool,
    /// Blocks that have changed, with the number of the first change that isn't stored.
    changed: BTreeMap<TaskBlock, u64>,
    /// Blocks that the store has, or may have.
    written: BTreeSet<TaskBlock>,
}

impl StoredBlocks {
    /// Creates the blocks of a job with so many tasks, of which none is written.
    pub(super) fn new(tasks: u64) -> Self {
        Self {
            are_used: tasks > MAX_WHOLE_TASKS,
            replaces_whole: false,
            changed: BTreeMap::new(),
            written: BTreeSet::new(),
        }
    }

    /// Whether the job's progress is stored in blocks.
    pub(super) fn are_used(&self) -> bool {
        self.are_used
    }

    /// Whether the stored progress may hold what the blocks don't have yet.
    pub(super) fn replaces_whole(&self) -> bool {
        self.replaces_whole
    }

    /// Takes note that an earlier version has stored the progress as a whole.
    pub(super) fn replace_whole(&mut self) {
        self.replaces_whole = true;
    }

    /// Records a change of a block.
    pub(super) fn change(&mut self, block: TaskBlock, change: u64) {
        let first = self.changed.entry(block).or_insert(change);
        *first = change.min(*first);
    }

    /// Returns the blocks that have changed, those first that have waited longest.
    pub(super) fn changed(&self) -> Vec<(TaskBlock, u64)> {
        let changed = self.changed.iter();
        let mut changed: Vec<(TaskBlock, u64)> = changed.map(|(block, at)| (*block, *at)).collect();
        changed.sort_by_key(|(_, change)| *change);
        changed
    }

    /// Returns the number of the first change that isn't stored or being written.
    pub(super) fn first_change(&self) -> Option<u64> {
        self.changed.values().min().copied()
    }

    /// Takes note of a block that is about to be written.
    pub(super) fn writing(&mut self, block: TaskBlock) {
        self.changed.remove(&block);
        self.written.insert(block);
    }

    /// Takes note of blocks as read.
    pub(super) fn read(&mut self, blocks: impl Iterator<Item = TaskBlock>) {
        self.written.extend(blocks);
    }

    /// Takes note of a block that has been removed.
    pub(super) fn removed(&mut self, block: TaskBlock) {
        self.written.remove(&block);
    }

    /// Returns the blocks that the store may have.
    pub(super) fn written(&self) -> impl Iterator<Item = TaskBlock> {
        self.written.iter().copied()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.written.is_empty()
    }

    /// Forgets the changes of blocks that are no longer needed.
    pub(super) fn forget_changes(&mut self, is_obsolete: impl Fn(TaskBlock) -> bool) {
        self.changed.retain(|block, _| !is_obsolete(*block));
    }
}
