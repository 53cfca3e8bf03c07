use crate::job::JobStatus;
use crate::job::TaskId;
use crate::worker::ActiveRun;
use crate::worker::WorkerReport;

use super::action::Action;
use super::action::IncarnationIndex;
use super::action::RenewalFailure;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::RunLoss;
use super::task_entry::Phase;
use super::task_entry::Run;
use super::worker_state::Contact;
use super::worker_state::Look;
use super::worker_state::WorkerState;

impl PoolScheduler {
    /// Sends the looks that are due.
    pub(super) fn send_due_looks(&mut self, now: Instant) {
        let lease_ms = self.settings.lease_ms;
        let renewal_wait_ms = self.settings.renewal_wait_ms;
        for (&incarnation, worker) in &mut self.incarnations {
            match worker.look {
                Look::Due { at_ms } if at_ms <= now.steady_ms => {}
                _ => continue,
            }
            if !Self::needs_looks(worker) {
                worker.look = Look::Idle;
                continue;
            }
            let waits = worker.contact == Contact::Good && !worker.runs.is_empty();
            // A worker that may never answer must not get its lease extended:
            // its tasks could start nowhere else.
            let deadline_clock_ms = if worker.runs.is_empty() || worker.is_silent() {
                None
            } else {
                worker.lease_from(now.steady_ms, lease_ms)
            };
            worker.look = Look::InFlight {
                sent_ms: now.steady_ms,
            };
            self.actions.push(Action::RenewLease {
                incarnation,
                acknowledged: worker.stored_end,
                deadline_clock_ms,
                wait_ms: if waits { renewal_wait_ms } else { 0 },
            });
        }
    }

    /// Takes the outcome of a look.
    pub fn renewal_replied(
        &mut self,
        incarnation: IncarnationIndex,
        outcome: Result<WorkerReport, RenewalFailure>,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let sent_ms = match worker.look {
            Look::InFlight { sent_ms } => sent_ms,
            _ => now.steady_ms,
        };
        match outcome {
            Ok(report) => self.apply_report(incarnation, sent_ms, &report, now),
            Err(RenewalFailure::Fenced) => self.fenced = true,
            Err(RenewalFailure::OtherIncarnation) => self.end_life(incarnation, now),
            Err(RenewalFailure::NoAnswer) => {
                worker.failed_look_sent_ms = sent_ms;
                if !worker.is_silent() {
                    worker.contact = Contact::Silent {
                        since_ms: now.steady_ms,
                    };
                }
                let retry_ms = now.steady_ms + self.settings.renewal_retry_ms;
                Self::plan_look(worker, retry_ms);
            }
        }
        self.placing_needed = true;
    }

    fn apply_report(
        &mut self,
        incarnation: IncarnationIndex,
        sent_ms: u64,
        report: &WorkerReport,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let known = worker.entry.born_unix_ms;
        if known != 0 && report.born_unix_ms != 0 && known != report.born_unix_ms {
            // The registry names the new life before long.
            self.end_life(incarnation, now);
            return;
        }
        if known == 0 {
            worker.entry.born_unix_ms = report.born_unix_ms;
        }
        worker.read_clock(report.clock_ms, now.steady_ms);
        let was_silent = worker.is_silent();
        worker.contact = Contact::Good;
        worker.reported_ms = now.steady_ms;
        worker.lapse_known_ms = None;
        self.predecessor_lives.remove(&worker.entry.id);
        for seen in &report.running {
            self.see_run(incarnation, seen, now);
        }
        for end in &report.completions {
            self.apply_end(incarnation, end, now);
        }
        self.settle_unlisted(incarnation, sent_ms, report, now);
        self.pace_fillers(incarnation, report, now);
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let unstored = worker.applied_end > worker.stored_end;
        let pause_ms = if was_silent {
            0
        } else if unstored {
            // Ends that are not acknowledged are answered again at once.
            self.settings.renewal_retry_ms
        } else if worker.contact == Contact::Good && report.completions.is_empty() {
            0
        } else {
            self.settings.renewal_spacing_ms
        };
        Self::plan_look(worker, now.steady_ms + pause_ms);
    }

    /// A worker lists a run: it is confirmed, adopted or stopped.
    fn see_run(&mut self, incarnation: IncarnationIndex, seen: &ActiveRun, now: Instant) {
        let Some(job) = self.jobs.get_mut(&seen.task.step.job) else {
            // What it needs is not known: nothing is added beside it.
            self.penalise(incarnation, now);
            self.stop_stray(incarnation, seen.task, seen.run, now);
            return;
        };
        let is_final = job.status.is_final();
        let Some(step) = job.spec.steps.get(usize::from(seen.task.step.step)) else {
            self.penalise(incarnation, now);
            self.stop_stray(incarnation, seen.task, seen.run, now);
            return;
        };
        let need = step.reserved();
        let may_copy = step.speculative;
        let Some(task) = job.task_mut(seen.task) else {
            // A job that was final before this term.
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.reserve(seen.task, seen.run, need);
            }
            self.stop_stray(incarnation, seen.task, seen.run, now);
            return;
        };
        task.last_run = task.last_run.max(seen.run);
        if !seen.checkpoint.is_empty() {
            task.checkpoint.clone_from(&seen.checkpoint);
        }
        let done = task.done;
        let others = task.runs.iter().any(|run| run.number != seen.run);
        if let Some(run) = task.run_mut(seen.run) {
            run.percent = seen.speed_percent;
            if matches!(run.phase, Phase::Starting | Phase::Unanswered) {
                run.phase = Phase::Running {
                    confirmed_ms: now.steady_ms,
                };
            }
            let repeat = match run.phase {
                Phase::Running { .. } => is_final || done,
                Phase::Stopping { sent_ms } => {
                    sent_ms + self.settings.stop_repeat_ms <= now.steady_ms
                }
                _ => false,
            };
            if repeat {
                self.stop_stray(incarnation, seen.task, seen.run, now);
            } else {
                self.note_started(seen.task);
            }
            return;
        }
        task.runs.push(Run {
            number: seen.run,
            incarnation,
            phase: Phase::Running {
                confirmed_ms: now.steady_ms,
            },
            started_ms: now.steady_ms,
            percent: seen.speed_percent,
            pace: 100,
        });
        self.unready(seen.task);
        let lease_ms = self.settings.lease_ms;
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.reserve(seen.task, seen.run, need);
            // A predecessor may just have renewed the lease.
            worker.lease_from(now.steady_ms, lease_ms);
        }
        if is_final || done || (others && !may_copy) {
            self.stop_stray(incarnation, seen.task, seen.run, now);
        } else {
            self.note_started(seen.task);
        }
    }

    fn stop_stray(&mut self, incarnation: IncarnationIndex, task: TaskId, run: u64, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(entry) = job.task_mut(task)
            && let Some(run) = entry.run_mut(run)
        {
            run.phase = Phase::Stopping {
                sent_ms: now.steady_ms,
            };
        }
        self.actions.push(Action::Stop {
            incarnation,
            task,
            run,
        });
    }

    /// Marks a job as running.
    pub(super) fn note_started(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.status == JobStatus::Pending
        {
            job.status = JobStatus::Running;
        }
    }

    /// Settles the runs that a report leaves out although it was asked for
    /// after they were confirmed, stopped or given up.
    fn settle_unlisted(
        &mut self,
        incarnation: IncarnationIndex,
        sent_ms: u64,
        report: &WorkerReport,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return;
        };
        let listed = |task: TaskId, run: u64| {
            report
                .running
                .iter()
                .any(|seen| seen.task == task && seen.run == run)
        };
        let missing = worker
            .runs
            .keys()
            .filter(|&&(task, run)| !listed(task, run));
        let missing: Vec<(TaskId, u64)> = missing.copied().collect();
        for (task, number) in missing {
            let job = self.jobs.get_mut(&task.step.job);
            let entry = job.and_then(|job| job.task_mut(task));
            let Some(run) = entry.and_then(|entry| entry.run_mut(number)) else {
                self.release_run(incarnation, task, number);
                continue;
            };
            match run.phase {
                Phase::Running { confirmed_ms } | Phase::Stopped { confirmed_ms }
                    if confirmed_ms < sent_ms =>
                {
                    let id = self
                        .incarnations
                        .get(&incarnation)
                        .map(|worker| worker.entry.id.clone());
                    self.note_lost(task, number, &id.unwrap_or_default(), RunLoss::NotListed);
                    self.release_run(incarnation, task, number);
                    self.run_lost(task, number, now);
                }
                Phase::Unanswered => self.stop_stray(incarnation, task, number, now),
                Phase::Stopping { sent_ms: last_ms }
                    if last_ms + self.settings.stop_repeat_ms <= now.steady_ms =>
                {
                    self.stop_stray(incarnation, task, number, now);
                }
                _ => {}
            }
        }
    }

    /// Gives a run's room at a worker back.
    pub(super) fn release_run(&mut self, incarnation: IncarnationIndex, task: TaskId, run: u64) {
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.release(task, run);
            self.placing_needed = true;
        }
    }

    /// Asks a worker soon, so that a change there shows.
    pub(super) fn look_soon(worker: &mut WorkerState, at_ms: u64) {
        worker.look_by(at_ms);
    }
}
