use cornelpoint::scheduler::SchedulerEvent;
use slog::info;

use super::host::PoolHost;

impl PoolHost {
    /// Logs the start or the outcome of a copy of a late run.
    pub(super) fn log_copy(&self, event: SchedulerEvent) {
        match event {
            SchedulerEvent::CopyStarted {
                copied,
                run,
                worker,
                late_worker,
            } => info!(self.log, "Copy of a late run started."; "task" => %copied.task,
                "run" => run, "worker" => worker, "late_run" => copied.run,
                "late_worker" => late_worker, "age_ms" => copied.age_ms,
                "usual_ms" => copied.usual_ms, "late_from_ms" => copied.late_ms,
                "gain_ms" => copied.gain_ms, "pool" => &self.pool,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::CopyEnded { task, run, outcome } => {
                self.node.metrics.count_copy(outcome);
                info!(self.log, "Copy of a late run ended."; "task" => %task, "run" => run,
                    "outcome" => ?outcome, "pool" => &self.pool,
                    "fencing_token" => self.fencing_token);
            }
            _ => {}
        }
    }
}
