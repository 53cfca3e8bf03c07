use crate::worker::WorkerReport;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::task_entry::Phase;

/// Shortest time between changes of pace on a worker: a reported tail latency
/// covers half a second, so a change takes as long to show.
const PACE_INTERVAL_MS: u64 = 600;
/// Tail latency above which fillers are slowed down, in percent of the target.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 90;
/// Tail latency below which fillers are sped up, in percent of the target.
const SPEED_UP_BELOW_PERCENT: u64 = 65;
/// Step by which fillers are sped up, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u64 = 15;

impl PoolScheduler {
    /// Throttles the fillers on a worker while the tail latency of a serving
    /// task there exceeds or nearly reaches its target. Their speed is halved
    /// at a time, down to zero, and raised in small steps once all targets are
    /// met with a margin.
    pub(super) fn pace_fillers(
        &mut self,
        incarnation: IncarnationIndex,
        report: &WorkerReport,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return;
        };
        if worker.paced_ms + PACE_INTERVAL_MS > now.steady_ms {
            return;
        }
        let mut worst_percent = None;
        for reported in &report.running {
            let Some(job) = self.jobs.get(&reported.task.step.job) else {
                continue;
            };
            let step = job.spec.steps.get(usize::from(reported.task.step.step));
            if let Some(target_ms) = step.and_then(|step| step.target_ms) {
                let percent = reported.gauge * 100 / target_ms.max(1);
                worst_percent = Some(percent.max(worst_percent.unwrap_or(0)));
            }
        }
        let worst_percent = worst_percent.unwrap_or(0);
        let slow_down = worst_percent > SLOW_DOWN_ABOVE_PERCENT;
        let speed_up = worst_percent < SPEED_UP_BELOW_PERCENT;
        if !slow_down && !speed_up {
            return;
        }
        let mut changed = false;
        for reported in &report.running {
            let Some(job) = self.jobs.get_mut(&reported.task.step.job) else {
                continue;
            };
            let is_filler = job
                .spec
                .steps
                .get(usize::from(reported.task.step.step))
                .is_some_and(|step| step.fills);
            let Some(run) = job
                .task_mut(reported.task)
                .and_then(|task| task.run_mut(reported.run))
            else {
                continue;
            };
            if !is_filler || !matches!(run.phase, Phase::Running { .. }) {
                continue;
            }
            let percent = if slow_down {
                run.pace / 2 / 5 * 5
            } else {
                (run.pace + SPEED_UP_STEP_PERCENT).min(100)
            };
            if percent != run.pace {
                run.pace = percent;
                changed = true;
                self.actions.push(Action::Pace {
                    incarnation,
                    task: reported.task,
                    run: reported.run,
                    percent,
                });
            }
        }
        if changed && let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.paced_ms = now.steady_ms;
        }
    }
}
