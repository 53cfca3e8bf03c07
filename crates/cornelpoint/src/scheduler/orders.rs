use crate::job::TaskId;
use crate::worker::OrderOutcome;
use crate::worker::Rejection;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::EndEvidence;
use super::task_entry::Phase;

/// Failures in a row after which a worker is assumed to fail all its runs.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// Longest time for which such a worker gets no tasks before one is tried.
const MAX_PENALTY_MS: u64 = 8000;

impl PoolScheduler {
    /// Applies the answer to an order to start.
    pub fn start_replied(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        let max_lease_ms = self.settings.max_lease_ms;
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.starts_in_flight = worker.starts_in_flight.saturating_sub(1);
            if let OrderOutcome::Done { clock_ms } = outcome {
                worker.record_order_clock(clock_ms, now.steady_ms, max_lease_ms);
            }
        }
        // The worker may have restarted since the order.
        let ordered_from = incarnation;
        let incarnation = self.incarnation_of_run(task, run).unwrap_or(incarnation);
        self.placement_needed |= self.starts_limited;
        match outcome {
            OrderOutcome::Done { .. } => self.start_confirmed(incarnation, task, run, now),
            OrderOutcome::NoAnswer => self.start_unanswered(incarnation, task, run, now),
            OrderOutcome::NotSent => {
                if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                    worker.suspect(now.steady_ms);
                }
                self.abandon_start(incarnation, task, run, now);
            }
            OrderOutcome::Busy => self.abandon_start(incarnation, task, run, now),
            OrderOutcome::Rejected(rejection) => {
                if rejection == Rejection::OtherLife {
                    // The task never ran there, so it can't be what has ended the worker.
                    self.abandon_start(incarnation, task, run, now);
                    self.end_incarnation(ordered_from, EndEvidence::Address, now);
                } else {
                    self.start_rejected(incarnation, task, run, rejection, now);
                }
            }
        }
    }

    /// Returns the incarnation that has a run, or may have it.
    fn incarnation_of_run(&self, task: TaskId, run: u64) -> Option<IncarnationIndex> {
        let job = self.jobs.get(&task.step.job)?;
        Some(job.task(task)?.run(run)?.incarnation)
    }

    fn start_confirmed(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        now: Instant,
    ) {
        self.mark_job_running(task);
        let entry = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|job| job.task_mut(task));
        if let Some(run) = entry.and_then(|entry| entry.run_mut(run))
            && matches!(run.phase, Phase::Starting | Phase::Unanswered)
        {
            run.phase = Phase::Running {
                confirmed_ms: now.steady_ms,
            };
        }
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            Self::renew_soon(worker, now.steady_ms);
        }
    }

    fn start_unanswered(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        now: Instant,
    ) {
        let entry = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|job| job.task_mut(task));
        if let Some(run) = entry.and_then(|entry| entry.run_mut(run))
            && run.phase == Phase::Starting
        {
            run.phase = Phase::Unanswered;
        }
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            Self::renew_soon(worker, now.steady_ms);
        }
    }

    fn start_rejected(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        rejection: Rejection,
        now: Instant,
    ) {
        match rejection {
            Rejection::Fence => {
                self.fenced = true;
                return;
            }
            Rejection::Late | Rejection::NoCapacity => {
                if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                    // The next report brings a newer clock reading and the
                    // capacity in use.
                    worker.penalty_until_ms = now.steady_ms + self.settings.renewal_retry_ms;
                    Self::renew_soon(worker, now.steady_ms);
                }
            }
            Rejection::Ticket => {
                self.tickets.remove(&task.step);
            }
            // The end of the worker is handled with the answer.
            Rejection::OldRun | Rejection::OtherLife => {}
            Rejection::Unhealthy | Rejection::Malformed => self.penalize(incarnation, now),
        }
        self.abandon_start(incarnation, task, run, now);
    }

    fn abandon_start(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        now: Instant,
    ) {
        self.release_run(incarnation, task, run);
        self.run_lost(task, run, now);
    }

    /// Withholds new tasks from a worker for the penalty time.
    pub(super) fn penalize(&mut self, incarnation: IncarnationIndex, now: Instant) {
        let penalty_ms = self.settings.start_penalty_ms;
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.penalty_until_ms = now.steady_ms + penalty_ms;
        }
    }

    /// Withholds new tasks from a worker that keeps failing, for longer after
    /// each further failure, and then tries it with a task.
    pub(super) fn penalize_failures(&mut self, incarnation: IncarnationIndex, now: Instant) {
        let penalty_ms = self.settings.start_penalty_ms;
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        if worker.consecutive_failures < FAILURES_BEFORE_BACKOFF {
            return;
        }
        let doublings = (worker.consecutive_failures - FAILURES_BEFORE_BACKOFF).min(3);
        let penalty_ms = (penalty_ms << doublings).min(MAX_PENALTY_MS);
        worker.penalty_until_ms = now.steady_ms + penalty_ms;
    }

    /// Applies the answer to an order to stop.
    pub fn stop_replied(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        match outcome {
            OrderOutcome::Done { clock_ms } => {
                let max_lease_ms = self.settings.max_lease_ms;
                if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                    worker.record_order_clock(clock_ms, now.steady_ms, max_lease_ms);
                    worker.renew_by(now.steady_ms + self.settings.renewal_spacing_ms);
                }
                let entry = self
                    .jobs
                    .get_mut(&task.step.job)
                    .and_then(|job| job.task_mut(task));
                // A stop confirmed by a former incarnation doesn't bind the next one.
                if let Some(run) = entry.and_then(|entry| entry.run_mut(run))
                    && run.incarnation == incarnation
                {
                    run.phase = Phase::Stopped {
                        confirmed_ms: now.steady_ms,
                    };
                }
            }
            OrderOutcome::Rejected(Rejection::Fence) => self.fenced = true,
            OrderOutcome::Rejected(Rejection::OtherLife) => {
                self.end_incarnation(incarnation, EndEvidence::Address, now);
            }
            OrderOutcome::Rejected(_)
            | OrderOutcome::NotSent
            | OrderOutcome::Busy
            | OrderOutcome::NoAnswer => {
                if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                    worker.renew_by(now.steady_ms + self.settings.renewal_retry_ms);
                }
            }
        }
    }

    /// Orders a run to stop, unless it was ordered to before.
    pub(super) fn stop_run(&mut self, task: TaskId, number: u64, now: Instant) {
        let entry = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|job| job.task_mut(task));
        let Some(run) = entry.and_then(|entry| entry.run_mut(number)) else {
            return;
        };
        if matches!(run.phase, Phase::Stopping { .. } | Phase::Stopped { .. }) {
            return;
        }
        run.phase = Phase::Stopping {
            sent_ms: now.steady_ms,
        };
        let incarnation = run.incarnation;
        self.actions.push(Action::Stop {
            incarnation,
            task,
            run: number,
        });
    }
}
