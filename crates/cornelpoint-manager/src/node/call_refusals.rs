use std::cell::RefCell;
use std::collections::BTreeMap;

use slog::info;

use super::state::Node;
use crate::clock;

/// Reason for the refusal of a call for a job of another tenant.
pub(crate) const OTHER_TENANT: &str = "other_tenant";

/// Shortest time between two log lines about refusals for the same reason. Callers with a wrong
/// key may send thousands of calls a second.
const LOG_INTERVAL_MS: u64 = 1000;

/// Longest text that is logged as a job's identifier.
const MAX_JOB_CHARS: usize = 32;

/// Refusals for one reason.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    logged_ms: u64,
    /// Refusals since the last line.
    count: u64,
}

/// Counts refusals between the log lines about them.
#[derive(Debug, Default)]
pub(super) struct CallRefusals {
    by_reason: RefCell<BTreeMap<&'static str, Refusals>>,
}

impl CallRefusals {
    /// Counts a refusal. If a line is due, returns the number of refusals since the last one.
    fn count(&self, reason: &'static str, now_ms: u64) -> Option<u64> {
        let mut by_reason = self.by_reason.borrow_mut();
        let refusals = by_reason.entry(reason).or_default();
        refusals.count += 1;
        if refusals.logged_ms > 0 && refusals.logged_ms + LOG_INTERVAL_MS > now_ms {
            return None;
        }
        refusals.logged_ms = now_ms;
        Some(std::mem::take(&mut refusals.count))
    }
}

impl Node {
    /// Counts a call that is refused, and logs it unless another one was logged just before
    /// for the same reason. `job` is empty for a count of waiting jobs.
    pub(crate) fn call_refused(&self, reason: &'static str, job: &str, route: &str) {
        self.metrics.call_refused(reason);
        let now_ms = clock::now().steady_ms;
        let Some(count) = self.call_refusals.count(reason, now_ms) else {
            return;
        };
        let confirmation = self.configuration.confirmation();
        // A caller may send any text in place of an identifier.
        let job: String = job.chars().take(MAX_JOB_CHARS).collect();
        info!(self.edge_log, "Call refused."; "job" => job, "route" => route,
            "reason" => reason, "refusals" => count,
            "version" => self.catalog().map(|catalog| catalog.version),
            "age_ms" => confirmation.age_ms(now_ms),
            "unreadable" => confirmation.is_unreadable(),
            "source" => confirmation.source().label());
    }
}
