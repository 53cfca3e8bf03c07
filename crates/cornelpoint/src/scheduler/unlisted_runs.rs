use std::collections::HashSet;

use crate::job::TaskId;
use crate::worker::WorkerReport;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::RunLoss;
use super::task_entry::Phase;

impl PoolScheduler {
    /// Resolves the runs that a report doesn't list. Runs confirmed or stopped
    /// before the report was requested are lost; runs whose start or stop is
    /// unconfirmed are ordered to stop. A report that leaves out completions says nothing
    /// about them; one with rows that can't be read may list them there.
    pub(super) fn resolve_unlisted_runs(
        &mut self,
        incarnation: IncarnationIndex,
        sent_ms: u64,
        report: &WorkerReport,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return;
        };
        if worker.more_completions {
            return;
        }
        let unreadable_since_ms = worker.unreadable_since_ms;
        let listed = report.running.iter();
        let listed: HashSet<(TaskId, u64)> = listed
            .map(|reported| (reported.task, reported.run))
            .collect();
        let missing = worker.runs.keys().filter(|run| !listed.contains(run));
        let missing: Vec<(TaskId, u64)> = missing.copied().collect();
        let mut lost_before_restart = Vec::new();
        for (task, number) in missing {
            let job = self.jobs.get_mut(&task.step.job);
            let entry = job.and_then(|job| job.task_mut(task));
            let Some(run) = entry.and_then(|entry| entry.run_mut(number)) else {
                self.release_run(incarnation, task, number);
                continue;
            };
            if let Some(since_ms) = unreadable_since_ms {
                match run.phase {
                    Phase::Running { confirmed_ms } => {
                        // Kept for as long as on a worker that is unresponsive.
                        let since_ms = since_ms.max(confirmed_ms);
                        if since_ms + self.settings.lease_ms <= now.steady_ms {
                            self.stop_unwanted_run(incarnation, task, number, now);
                        }
                        continue;
                    }
                    Phase::Stopped { confirmed_ms }
                        if confirmed_ms + self.settings.stop_ms >= sent_ms =>
                    {
                        continue;
                    }
                    _ => {}
                }
            }
            match run.phase {
                Phase::Running { confirmed_ms } | Phase::Stopped { confirmed_ms }
                    if confirmed_ms < sent_ms =>
                {
                    let Some(worker) = self.incarnations.get(&incarnation).cloned() else {
                        return;
                    };
                    self.lose_run(task, number, &worker, RunLoss::NotListed);
                    self.release_run(incarnation, task, number);
                    if let Some(lost) = worker.uncertain.get(&(task, number)) {
                        // A successor may have recorded its completion; the worker has
                        // forgotten the successor's fencing token.
                        if !worker.former_was_leaving {
                            lost_before_restart.push(*lost);
                        }
                        self.drop_run(task, number, now);
                        self.orphaned_tasks.push((now.steady_ms, task));
                    } else {
                        self.run_lost(task, number, now);
                    }
                }
                Phase::Unanswered => self.stop_unwanted_run(incarnation, task, number, now),
                Phase::Stopping { sent_ms: last_ms }
                    if last_ms + self.settings.stop_repeat_ms <= now.steady_ms =>
                {
                    self.stop_unwanted_run(incarnation, task, number, now);
                }
                _ => {}
            }
        }
        self.worker_crashed(&lost_before_restart, now);
    }
}
