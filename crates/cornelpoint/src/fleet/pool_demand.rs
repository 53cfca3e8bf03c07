use super::pool_report::PoolReport;

/// Target time for completing the work of jobs that can no longer meet their
/// objective.
const LATE_BACKLOG_TARGET_MS: u64 = 4000;

/// Work for which a pool needs machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// Work of jobs that can meet their objective.
    InTime,
    /// The same, and that of late jobs.
    All,
}

impl Work {
    pub(super) fn wanted_millicores(self, report: &PoolReport, within_ms: u64) -> u64 {
        match self {
            Self::InTime => report.wanted_in_time_millicores(within_ms),
            Self::All => report.wanted_millicores(within_ms),
        }
    }
}

impl PoolReport {
    /// Returns the time to complete the backlog with all the capacity that
    /// long-running tasks leave.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        let free = self
            .capacity_millicores
            .saturating_sub(self.lasting_millicores);
        self.backlog_core_ms * 1000 / free.max(1)
    }

    /// Returns the CPU that the pool needs beside its late work: enough to complete
    /// the backlog and the recently rejected work within `within_ms` or to keep up
    /// with incoming work, whichever is more, beside its long-running tasks.
    pub(super) fn wanted_in_time_millicores(&self, within_ms: u64) -> u64 {
        let work = self.backlog_core_ms + self.refused_core_ms;
        let waiting = work * 1000 / within_ms.max(1);
        self.lasting_millicores + waiting.max(self.offered_millicores)
    }

    /// Returns the CPU that the pool can use: what it needs, and enough for its late
    /// work.
    pub(super) fn wanted_millicores(&self, within_ms: u64) -> u64 {
        let late = self.late_core_ms * 1000 / LATE_BACKLOG_TARGET_MS;
        self.wanted_in_time_millicores(within_ms) + late
    }
}
