use std::cell::Cell;
use std::rc::Rc;

use slog::Logger;
use slog::warn;

use crate::clock;
use crate::http::Port;
use crate::metrics::ProcessMetrics;

/// Shortest time between two log lines about refusals.
const LOG_INTERVAL_MS: u64 = 1000;

/// Counts and logs requests and connections that the limits of the process refuse.
pub(super) struct ListenerRefusals {
    metrics: Rc<ProcessMetrics>,
    log: Logger,
    logged_ms: Cell<u64>,
    /// Refusals since the last line.
    unlogged: Cell<u64>,
}

impl ListenerRefusals {
    pub(super) fn new(metrics: Rc<ProcessMetrics>, log: Logger) -> Self {
        Self {
            metrics,
            log,
            logged_ms: Cell::new(0),
            unlogged: Cell::new(0),
        }
    }

    /// Records a refusal; one line a second tells how many there were.
    pub(super) fn record(&self, port: Port, reason: &'static str) {
        self.metrics.record_refusal(port.label(), reason);
        let count = self.unlogged.get() + 1;
        self.unlogged.set(count);
        let now_ms = clock::now().steady_ms;
        if now_ms < self.logged_ms.get() + LOG_INTERVAL_MS {
            return;
        }
        warn!(self.log, "Requests refused or connections closed by the limits.";
            "port" => port.label(), "latest" => reason, "count" => count);
        self.logged_ms.set(now_ms);
        self.unlogged.set(0);
    }
}
