use std::collections::VecDeque;

use crate::job::JobId;

/// Time for which rejected work counts as demand.
const REJECTED_DEMAND_WINDOW_MS: u64 = 1500;
/// Window over which the rate of offered work is measured. It is short because
/// a surge begins abruptly and each 100 ms counts.
const OFFERED_WINDOW_MS: u64 = 500;
/// Largest number of rejections that are kept.
const MAX_REJECTIONS: usize = 512;
/// Time for which a rejection is kept, so that a retry is recognized as such.
const REJECTION_RETENTION_MS: u64 = 10_000;

/// Recently submitted and rejected work.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentDemand {
    /// Work submitted within the last window: time in milliseconds, work in
    /// core-milliseconds.
    offered: VecDeque<(u64, u64)>,
    /// Rejected work: time in milliseconds, job, work in core-milliseconds.
    /// Holds only the first attempt of each job.
    rejected: VecDeque<(u64, JobId, u64)>,
}

impl RecentDemand {
    /// Returns when a job was first rejected, if that is still on record.
    pub(super) fn first_rejected_ms(&self, id: JobId) -> Option<u64> {
        let mut rejected = self.rejected.iter();
        let (at_ms, _, _) = rejected.find(|(_, known, _)| *known == id)?;
        Some(*at_ms)
    }

    /// Records the work of a job that is submitted for the first time.
    pub(super) fn record_offered(&mut self, work_core_ms: u64, now_ms: u64) {
        self.offered.push_back((now_ms, work_core_ms));
        while self
            .offered
            .front()
            .is_some_and(|(at_ms, _)| at_ms + OFFERED_WINDOW_MS <= now_ms)
        {
            self.offered.pop_front();
        }
    }

    /// Returns the CPU needed to keep up with the work that is being submitted,
    /// in thousandths of a core.
    pub(super) fn offered_millicores(&self, now_ms: u64) -> u64 {
        let offered = self.offered.iter();
        let recent = offered.filter(|(at_ms, _)| at_ms + OFFERED_WINDOW_MS > now_ms);
        recent.map(|(_, work)| work).sum::<u64>() * 1000 / OFFERED_WINDOW_MS
    }

    /// Records rejected work, which shows how much more capacity the pool could
    /// use.
    pub(super) fn record_rejected(&mut self, id: JobId, work_core_ms: u64, now_ms: u64) {
        if self.rejected.iter().any(|(_, known, _)| *known == id) {
            return;
        }
        self.rejected.push_back((now_ms, id, work_core_ms));
        while self.rejected.len() > MAX_REJECTIONS
            || self
                .rejected
                .front()
                .is_some_and(|(at_ms, _, _)| at_ms + REJECTION_RETENTION_MS <= now_ms)
        {
            self.rejected.pop_front();
        }
    }

    /// Returns the work rejected lately.
    pub(super) fn rejected_core_ms(&self, now_ms: u64) -> u64 {
        let rejected = self.rejected.iter();
        let recent = rejected.filter(|(at_ms, _, _)| at_ms + REJECTED_DEMAND_WINDOW_MS > now_ms);
        recent.map(|(_, _, work)| work).sum()
    }
}
