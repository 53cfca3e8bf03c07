use std::collections::BTreeMap;
use std::time::Duration;

use cornelpoint::job::JobId;

/// Time after which a write that got no response is not done any more. Those that the store
/// does late are done within some seconds.
const UNCERTAIN: Duration = Duration::from_secs(10);
/// Most jobs that are kept.
const MAX_JOBS: usize = 10_000;

/// Jobs whose submission by this process to an inbox may still be written: none of them may be
/// refused, or shown as unknown.
#[derive(Debug, Default)]
pub(crate) struct UncertainJobs {
    /// When the write got no response, by the monotonic clock.
    since_ms: BTreeMap<JobId, u64>,
}

impl UncertainJobs {
    /// Records a submission whose write got no response.
    pub(crate) fn insert(&mut self, job: JobId, now_ms: u64) {
        if self.since_ms.len() >= MAX_JOBS {
            self.since_ms
                .retain(|_, since_ms| is_uncertain(*since_ms, now_ms));
        }
        if self.since_ms.len() < MAX_JOBS {
            self.since_ms.insert(job, now_ms);
        }
    }

    /// Whether a submission of the job may still be written.
    pub(crate) fn contains(&self, job: JobId, now_ms: u64) -> bool {
        let since_ms = self.since_ms.get(&job);
        since_ms.is_some_and(|since_ms| is_uncertain(*since_ms, now_ms))
    }
}

fn is_uncertain(since_ms: u64, now_ms: u64) -> bool {
    u128::from(now_ms.saturating_sub(since_ms)) < UNCERTAIN.as_millis()
}
