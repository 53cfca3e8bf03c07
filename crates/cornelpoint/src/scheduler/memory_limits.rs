/// Parts of a process's memory, in thousandths, for all pools that it may own at the same
/// time. Connections have 375 more; the rest is for what a request or a report takes while
/// it is read, and for what the allocator keeps.
const JOBS_PERMILLE: u64 = 125;
const TASKS_PERMILLE: u64 = 200;
const STEPS_PERMILLE: u64 = 50;
/// What the record of a task takes, with its run, its reservation and its row in the
/// worker's report.
const TASK_BYTES: u64 = 1024;
/// What a step that has begun takes, with its place among the steps that wait.
const STEP_BYTES: u64 = 320;
/// Least shares of a pool: the memory of some thousand ordinary jobs, and the records of
/// the largest gang.
const MIN_JOB_BYTES: usize = 8 << 20;
const MIN_TASKS: usize = 10_000;
const MIN_STEPS: usize = 4000;
/// Size up to which a job counts as small. Larger ones may take half of a pool's share, so
/// that they don't keep out the others.
const SMALL_JOB_BYTES: usize = 16 << 10;

/// What the jobs of a pool may hold in the memory of its owner.
///
/// The limits follow from the smallest instance that may own the pool, with all other pools
/// beside it: accepted work has to fit each successor.
///
/// ```
/// use cornelpoint::scheduler::MemoryLimits;
///
/// let limits = MemoryLimits::new(512 << 20, 2);
/// assert_eq!(limits.job_bytes, 32 << 20);
/// assert_eq!(MemoryLimits::new(0, 2), MemoryLimits::least());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Most that jobs may hold, in bytes, as [`JobSpec::held_bytes`] estimates it; final ones
    /// hold 800 until they expire.
    ///
    /// [`JobSpec::held_bytes`]: crate::job::JobSpec::held_bytes
    pub job_bytes: usize,
    /// Largest number of tasks that have been started and are not done. Others wait.
    pub tasks: usize,
    /// Largest number of steps of occurrences that have begun, besides one occurrence of
    /// each job. Further occurrences wait.
    pub steps: usize,
}

impl MemoryLimits {
    /// Returns a pool's limits where the smallest instance has `memory_bytes` and there are
    /// `pools`.
    #[must_use]
    pub fn new(memory_bytes: u64, pools: usize) -> Self {
        let pools = pools.max(1) as u64;
        let share = |permille: u64, unit_bytes: u64| {
            let units = memory_bytes.saturating_mul(permille) / 1000 / pools / unit_bytes;
            usize::try_from(units).unwrap_or(usize::MAX)
        };
        Self {
            job_bytes: share(JOBS_PERMILLE, 1).max(MIN_JOB_BYTES),
            tasks: share(TASKS_PERMILLE, TASK_BYTES).max(MIN_TASKS),
            steps: share(STEPS_PERMILLE, STEP_BYTES).max(MIN_STEPS),
        }
    }

    /// Returns the limits that hold for instances of any size.
    #[must_use]
    pub fn least() -> Self {
        Self::new(0, 1)
    }

    /// Whether a job of `bytes` fits beside jobs that hold `held_bytes`.
    pub(super) fn fits_job(&self, held_bytes: usize, bytes: usize) -> bool {
        let limit = if bytes <= SMALL_JOB_BYTES {
            self.job_bytes
        } else {
            self.job_bytes / 2
        };
        held_bytes + bytes <= limit
    }
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::least()
    }
}
