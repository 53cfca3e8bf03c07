use crate::worker::WorkerReport;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::task_entry::Phase;

/// Reported tails cover half a second, so a change shows after as long.
const PACE_INTERVAL_MS: u64 = 600;
/// Share of the target above which fillers are slowed, in percent.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 90;
/// Share of the target below which they may speed up, in percent.
const SPEED_UP_BELOW_PERCENT: u64 = 65;
/// Steps by which they speed up, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u64 = 15;

impl PoolScheduler {
    /// Slows the tasks that fill a worker while a serving task there misses
    /// its target: by half at a time down to nothing, and up again in small
    /// steps once all targets are kept with room to spare.
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
