use crate::job::JobStatus;
use crate::job::TaskId;
use crate::worker::ActiveRun;
use crate::worker::Completeness;
use crate::worker::WorkerReport;

use super::action::Action;
use super::action::IncarnationIndex;
use super::action::RenewalFailure;
use super::crashes::ON_START_MS;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::EndEvidence;
use super::scheduler_event::SchedulerEvent;
use super::task_entry::Phase;
use super::task_entry::Run;
use super::worker_state::Contact;
use super::worker_state::Renewal;
use super::worker_state::Reservation;
use super::worker_state::WorkerState;

impl PoolScheduler {
    /// Sends the lease renewals that are due.
    pub(super) fn send_due_renewals(&mut self, now: Instant) {
        let lease_ms = self.settings.lease_ms;
        let may_grant = self.may_grant_leases(0, now);
        self.next_collection_ms = None;
        let collects = self.collects_quorum(now);
        if collects {
            self.collect_quorum(now);
        }
        let renewal_wait_ms = if collects {
            self.settings.renewal_wait_ms.min(Self::COLLECTING_WAIT_MS)
        } else {
            self.settings.renewal_wait_ms
        };
        for (&incarnation, worker) in &mut self.incarnations {
            match worker.renewal {
                Renewal::Due { at_ms } if at_ms <= now.steady_ms => {}
                _ => continue,
            }
            let at_ms = Self::renewal_due_ms(worker, now.steady_ms);
            if at_ms > now.steady_ms && !collects {
                worker.renewal = Renewal::Due { at_ms };
                continue;
            }
            let waits = worker.contact == Contact::Responsive && !worker.runs.is_empty();
            // The lease of an unresponsive worker must not be extended, or its
            // tasks could never start elsewhere.
            let extends = may_grant && !worker.runs.is_empty() && !worker.is_unresponsive();
            let deadline_clock_ms = if extends {
                worker.extend_lease(now.steady_ms, lease_ms)
            } else {
                None
            };
            worker.renewal = Renewal::InFlight {
                sent_ms: now.steady_ms,
            };
            self.actions.push(Action::RenewLease {
                incarnation,
                acknowledged: worker.acknowledge(),
                deadline_clock_ms,
                wait_ms: match (waits, worker.is_on_trial() || worker.warms_up) {
                    (false, _) => 0,
                    // Both a trial and a task that lasts are over or at full speed
                    // within a fraction of a second.
                    (true, true) => renewal_wait_ms.min(ON_START_MS),
                    (true, false) => renewal_wait_ms,
                },
            });
        }
    }

    /// Applies the outcome of a lease renewal.
    pub fn renewal_replied(
        &mut self,
        incarnation: IncarnationIndex,
        outcome: Result<WorkerReport, RenewalFailure>,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let sent_ms = match worker.renewal {
            Renewal::InFlight { sent_ms } => sent_ms,
            Renewal::Due { .. } => now.steady_ms,
        };
        match outcome {
            Ok(report) => self.apply_report(incarnation, sent_ms, &report, now),
            Err(RenewalFailure::Fenced) => self.fenced = true,
            Err(RenewalFailure::OtherIncarnation) => {
                self.end_incarnation(incarnation, EndEvidence::Address, now);
            }
            Err(RenewalFailure::NoAnswer) => {
                worker.failed_renewal_sent_ms = sent_ms;
                if !worker.is_unresponsive() {
                    worker.contact = Contact::Unresponsive {
                        since_ms: now.steady_ms,
                    };
                }
                worker.failed_renewals += 1;
                let retry_ms = now.steady_ms + worker.retry_delay_ms(&self.settings);
                Self::schedule_renewal(worker, retry_ms);
            }
        }
    }

    pub(super) fn apply_report(
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
            self.apply_report_after_restart(incarnation, sent_ms, report, now);
            return;
        }
        if known == 0 {
            worker.entry.born_unix_ms = report.born_unix_ms;
        }
        worker.record_clock(report.clock_ms, now.steady_ms);
        let was_on_trial = worker.is_on_trial();
        worker.end_trials();
        let was_unresponsive = worker.is_unresponsive();
        if was_unresponsive {
            self.recent_load = None;
        }
        worker.record_completeness(report.completeness, now.steady_ms);
        let (id, born_unix_ms) = (worker.entry.id.clone(), worker.entry.born_unix_ms);
        self.worker_fenced(&id, born_unix_ms, now);
        let is_awaited = report.completeness == Completeness::Complete
            && self.predecessor_incarnation_reported(incarnation, now);
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        // Most reports change nothing that matters to waiting tasks.
        let usable_again = was_unresponsive || (was_on_trial && !worker.is_on_trial());
        if usable_again {
            self.changed_workers.insert(incarnation);
        }
        self.placement_needed |= usable_again || is_awaited;
        worker.contact = Contact::Responsive;
        worker.acknowledged_completion = worker.acknowledging_completion;
        worker.reported_ms = now.steady_ms;
        worker.report_requested_ms = sent_ms;
        worker.lease_end_known_ms = None;
        worker.failed_renewals = 0;
        let silences = self.silences.take(&worker.entry.id);
        self.silence_explained(silences, false, now);
        for reported in &report.running {
            self.plan_reported_occurrence(reported.task.step, now);
            self.apply_active_run(incarnation, reported, now);
        }
        let warms_up = report.running.iter().any(|run| self.is_warming_up(run));
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.warms_up = warms_up;
        }
        for completion in &report.completions {
            self.plan_reported_occurrence(completion.task.step, now);
            self.apply_completion(incarnation, completion, now);
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                let job = completion.task.step.job;
                worker.record_completion(completion.sequence, job, self.unstored.changes());
            }
        }
        self.resolve_unlisted_runs(incarnation, sent_ms, report, now);
        self.pace_fillers(incarnation, report, now);
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let unstored = worker.applied_completion > worker.stored_completion;
        let delay_ms = if was_unresponsive {
            0
        } else if unstored || worker.unreadable_since_ms.is_some() {
            // The worker would report its unacknowledged completions again at
            // once.
            self.settings.renewal_retry_ms
        } else if worker.contact == Contact::Responsive && report.completions.is_empty() {
            0
        } else {
            self.settings.renewal_spacing_ms
        };
        Self::schedule_renewal(worker, now.steady_ms + delay_ms);
    }

    /// Confirms, adopts or stops a run that a worker lists.
    fn apply_active_run(
        &mut self,
        incarnation: IncarnationIndex,
        reported: &ActiveRun,
        now: Instant,
    ) {
        let first_run = self.next_run(0);
        let id = reported.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            // The resources of the run are unknown, so no task is added beside
            // it.
            self.penalize(incarnation, now);
            self.stop_unwanted_run(incarnation, reported.task, reported.run, now);
            return;
        };
        let is_final = job.status.is_final();
        let Some(step) = job.spec.steps.get(usize::from(reported.task.step.step)) else {
            self.penalize(incarnation, now);
            self.stop_unwanted_run(incarnation, reported.task, reported.run, now);
            return;
        };
        let reservation = Reservation {
            need: step.reserved(),
            tenant: job.tenant,
            lasts: step.long_running,
        };
        let may_copy = step.allows_copies();
        let Some(task) = job.task_mut(reported.task) else {
            // The job was final before this term of ownership, or its occurrence is done.
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.reserve(id, reported.run, reservation, &mut self.tenant_use);
            }
            self.stop_unwanted_run(incarnation, reported.task, reported.run, now);
            return;
        };
        task.last_run = task.last_run.max(reported.run);
        task.keep_checkpoint(reported.run, &reported.checkpoint);
        let done = task.done;
        if let Some(run) = task.run_mut(reported.run) {
            run.percent = reported.speed_percent;
            run.reported = true;
            if let Some(worker) = self.incarnations.get_mut(&incarnation) {
                worker.uncertain.remove(&(reported.task, reported.run));
            }
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
                self.stop_unwanted_run(incarnation, reported.task, reported.run, now);
            } else {
                self.mark_job_running(reported.task);
            }
            return;
        }
        let others = task.runs.len();
        let latest_run = task.runs.iter().map(|run| run.number).max();
        task.runs.push(Run {
            number: reported.run,
            incarnation,
            phase: Phase::Running {
                confirmed_ms: now.steady_ms,
            },
            started_ms: now.steady_ms,
            reported: true,
            adopted_ms: Some(now.steady_ms),
            overdue: false,
            percent: reported.speed_percent,
            pace: 100,
        });
        self.remove_ready(reported.task);
        let is_surplus = others > usize::from(may_copy);
        if let Some(latest_run) = latest_run.filter(|_| !is_surplus) {
            // A predecessor started a copy, which is the later one.
            let copy = latest_run.max(reported.run);
            self.copies
                .add(reported.task, copy, reservation.need.cpu_millicores);
        }
        self.watch_run(reported.task, reported.run, now);
        let lease_ms = self.settings.lease_ms;
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.reserve(id, reported.run, reservation, &mut self.tenant_use);
            // A predecessor may have renewed the lease just before.
            worker.extend_lease(now.steady_ms, lease_ms);
            let started_in_this_term = reported.run >= first_run;
            if is_surplus || started_in_this_term {
                self.events.push(SchedulerEvent::UnexpectedRun {
                    task: reported.task,
                    run: reported.run,
                    worker: worker.entry.id.clone(),
                    others,
                });
            }
        }
        if is_final || done || is_surplus {
            self.stop_unwanted_run(incarnation, reported.task, reported.run, now);
        } else {
            self.mark_job_running(reported.task);
        }
    }

    /// Whether a run of a task that lasts is not at full speed yet. Until it is
    /// reported at full speed, no other task of its step may be moved.
    fn is_warming_up(&self, reported: &ActiveRun) -> bool {
        let job = self.jobs.get(&reported.task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(reported.task.step.step)));
        reported.speed_percent < 100 && step.is_some_and(|step| step.long_running)
    }

    pub(super) fn stop_unwanted_run(
        &mut self,
        incarnation: IncarnationIndex,
        task: TaskId,
        run: u64,
        now: Instant,
    ) {
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

    /// Marks a pending job as running.
    pub(super) fn mark_job_running(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.status == JobStatus::Pending
        {
            job.status = JobStatus::Running;
        }
    }

    /// Releases the capacity reserved for a run on a worker.
    pub(super) fn release_run(&mut self, incarnation: IncarnationIndex, task: TaskId, run: u64) {
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            worker.release(task, run, &mut self.tenant_use);
            self.changed_workers.insert(incarnation);
            self.placement_needed = true;
        }
    }

    /// Moves the next lease renewal forward to observe a change on the worker.
    pub(super) fn renew_soon(worker: &mut WorkerState, at_ms: u64) {
        worker.renew_by(at_ms);
    }
}
