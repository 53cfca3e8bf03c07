use crate::worker::RegistryEntry;
use crate::worker::WorkerReport;

use super::action::IncarnationIndex;
use super::crashes::LostRun;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::EndEvidence;
use super::task_entry::Phase;
use super::worker_state::Reservation;
use super::worker_state::WorkerState;

impl PoolScheduler {
    /// Replaces an incarnation by the next one of its worker. Orders name the worker only:
    /// the new incarnation may have carried out all that the former one did not report.
    pub(super) fn restart_incarnation(
        &mut self,
        former: IncarnationIndex,
        entry: &RegistryEntry,
        evidence: EndEvidence,
        now: Instant,
    ) -> IncarnationIndex {
        let unreported = self.take_unreported_runs(former);
        let worker = self.incarnations.get(&former);
        let was_leaving = worker.is_some_and(WorkerState::is_leaving);
        self.end_incarnation_beside(former, evidence, !unreported.is_empty(), now);
        // Its runs are settled once the new incarnation has reported.
        self.ended_predecessors.remove(&entry.id);
        let restarted = self.add_incarnation(entry);
        for (lost, number, reservation) in unreported {
            let task = lost.task();
            let job = self.jobs.get_mut(&task.step.job);
            let Some(run) = job.and_then(|job| job.task_mut(task)?.run_mut(number)) else {
                continue;
            };
            run.incarnation = restarted;
            if matches!(run.phase, Phase::Stopping { .. } | Phase::Stopped { .. }) {
                run.phase = Phase::Stopping { sent_ms: 0 };
            }
            let max_lease_ms = self.settings.max_lease_ms;
            if let Some(worker) = self.incarnations.get_mut(&restarted) {
                worker.reserve(task, number, reservation, &mut self.tenant_use);
                worker.uncertain.insert((task, number), lost);
                worker.former_was_leaving = was_leaving;
                worker.expect_former_orders(now.steady_ms, max_lease_ms);
            }
        }
        restarted
    }

    /// Takes the runs from an incarnation that none of its reports has listed.
    fn take_unreported_runs(
        &mut self,
        incarnation: IncarnationIndex,
    ) -> Vec<(LostRun, u64, Reservation)> {
        let Some(worker) = self.incarnations.get(&incarnation).cloned() else {
            return Vec::new();
        };
        let mut unreported = Vec::new();
        for (&(task, number), &reservation) in &worker.runs {
            let job = self.jobs.get(&task.step.job);
            let run = job.and_then(|job| job.task(task)?.run(number));
            if run.is_some_and(|run| !run.reported) {
                unreported.push((self.lost_run(task, number, &worker), number, reservation));
                self.release_run(incarnation, task, number);
            }
        }
        unreported
    }

    /// Applies the first report of the next incarnation of a worker. The registry will
    /// list it before long.
    pub(super) fn apply_report_after_restart(
        &mut self,
        former: IncarnationIndex,
        sent_ms: u64,
        report: &WorkerReport,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get(&former) else {
            return;
        };
        let entry = RegistryEntry {
            born_unix_ms: report.born_unix_ms,
            ..worker.entry.clone()
        };
        let restarted = self.restart_incarnation(former, &entry, EndEvidence::Report, now);
        if let Some(worker) = self.incarnations.get_mut(&restarted) {
            // It may be of another kind than the entry says.
            worker.listed = false;
        }
        self.apply_report(restarted, sent_ms, report, now);
    }

    /// Notes the report of a worker that may run tasks of a predecessor. Returns whether
    /// the pool waits for it.
    pub(super) fn predecessor_incarnation_reported(
        &mut self,
        incarnation: IncarnationIndex,
        now: Instant,
    ) -> bool {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return false;
        };
        let (id, born_unix_ms) = (worker.entry.id.clone(), worker.entry.born_unix_ms);
        let Some(record) = self.predecessor_incarnations.get(&id) else {
            return false;
        };
        if record.born_unix_ms == 0 || record.born_unix_ms == born_unix_ms {
            self.predecessor_incarnations.remove(&id);
        } else {
            if record.born_unix_ms < born_unix_ms {
                self.worker_ended(&id, born_unix_ms - 1, now);
            }
            self.predecessor_incarnation_ended(id, now);
        }
        true
    }

    /// Notes that a worker which may run tasks of a predecessor has ended. Ownership
    /// must be confirmed after that, because a successor may have recorded completions
    /// of these tasks before.
    pub(super) fn predecessor_incarnation_ended(&mut self, id: String, now: Instant) {
        if self.predecessor_incarnations.contains_key(&id) {
            let since_ms = self.ended_predecessors.entry(id);
            since_ms.or_insert(now.steady_ms);
        }
    }
}
