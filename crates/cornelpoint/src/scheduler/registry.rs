use std::collections::BTreeSet;
use std::collections::HashSet;

use crate::worker::RegistryEntry;

use super::action::IncarnationIndex;
use super::crashes::LostRun;
use super::instant::Instant;
use super::newest_incarnations::NewestIncarnations;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::EndEvidence;
use super::scheduler_event::RunLoss;
use super::scheduler_event::SchedulerEvent;
use super::worker_set::WorkerSet;
use super::worker_state::Contact;
use super::worker_state::Renewal;
use super::worker_state::WorkerState;

/// Largest difference between the wall clocks of workers and owners; an entry that
/// claims a later start is not a worker's.
const MAX_CLOCK_ERROR_MS: u64 = 3_600_000;

impl WorkerState {
    /// Whether the worker did not answer its latest lease renewal, or has not
    /// been contacted under this fencing token yet.
    pub(super) fn is_unresponsive(&self) -> bool {
        !matches!(self.contact, Contact::Responsive)
    }
}

impl PoolScheduler {
    /// Applies a reading of the registry. Entries of other pools only matter
    /// where they show that an incarnation known here has ended. A reading that
    /// is not `settled`, soon after an outage, says nothing about workers that
    /// it doesn't list. Entries that claim a start in the far future or a pool that the
    /// configuration doesn't name are ignored, as are those of ended incarnations, which
    /// stay listed for some seconds.
    pub fn apply_registry(&mut self, entries: &[RegistryEntry], settled: bool, now: Instant) {
        self.recent_load = None;
        let latest_unix_ms = now.unix_ms.saturating_add(MAX_CLOCK_ERROR_MS);
        let entries = entries.iter();
        let entries: Vec<&RegistryEntry> = entries
            .filter(|entry| entry.born_unix_ms <= latest_unix_ms)
            .filter(|entry| self.is_known_pool(&entry.pool))
            .collect();
        let newest = NewestIncarnations::new(&entries);
        let mut listed = BTreeSet::new();
        self.end_superseded_incarnations(&entries, &newest, now);
        self.end_superseded_silences(&newest, now);
        let listed_ids: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        self.ended_incarnations
            .retain(|id, _| listed_ids.contains(id.as_str()));
        for entry in entries {
            let superseded =
                newest.supersede(&entry.id, entry.machine.as_deref(), entry.born_unix_ms);
            let ended = self.ended_incarnations.get(&entry.id) == Some(&entry.born_unix_ms);
            if superseded || ended {
                continue;
            }
            let known = self.incarnation_of_id.get(&entry.id).copied();
            let same = known
                .filter(|incarnation| self.is_same_incarnation(*incarnation, entry.born_unix_ms));
            if entry.pool != self.pool {
                if let (Some(old), None) = (known, same) {
                    self.end_incarnation(old, EndEvidence::Registry, now);
                }
                continue;
            }
            let incarnation = match (known, same) {
                (_, Some(same)) => same,
                (Some(old), None) => {
                    self.restart_incarnation(old, entry, EndEvidence::Registry, now)
                }
                (None, None) => self.add_incarnation(entry),
            };
            listed.insert(incarnation);
            self.refresh_incarnation(incarnation, entry);
        }
        let mut removable = Vec::new();
        for (&incarnation, worker) in &mut self.incarnations {
            let was_listed = worker.listed;
            worker.listed = listed.contains(&incarnation) || (worker.listed && !settled);
            if worker.listed && !was_listed && Self::needs_renewal(worker) {
                // One that was not listed may have been left unresponsive.
                worker.renew_by(now.steady_ms);
            }
            let unused = !worker.listed && worker.runs.is_empty();
            if unused && worker.leases_end_ms() <= now.steady_ms {
                removable.push(incarnation);
            }
        }
        for incarnation in removable {
            self.remove_incarnation(incarnation, now);
        }
        self.placement_needed = true;
        self.changed_workers = WorkerSet::All;
    }

    fn is_known_pool(&self, pool: &str) -> bool {
        self.known_pools.is_empty() || pool == self.pool || self.known_pools.contains(pool)
    }

    /// Ends the incarnations whose machines have started newer ones, but for workers that
    /// have restarted under their identifiers.
    fn end_superseded_incarnations(
        &mut self,
        entries: &[&RegistryEntry],
        newest: &NewestIncarnations<'_>,
        now: Instant,
    ) {
        let current = entries.iter().filter(|entry| {
            entry.pool == self.pool
                && !newest.supersede(&entry.id, entry.machine.as_deref(), entry.born_unix_ms)
        });
        let current: HashSet<&str> = current.map(|entry| entry.id.as_str()).collect();
        // A restarted worker has forgotten the fencing token, so that it may still carry
        // out an order of the predecessor.
        let predecessors = self.predecessor_incarnations.iter();
        let ended = predecessors.filter(|(id, record)| {
            newest.supersede(id, record.machine.as_deref(), record.born_unix_ms)
                && !current.contains(id.as_str())
        });
        let ended = ended.map(|(id, record)| (id.clone(), record.born_unix_ms));
        let ended: Vec<(String, u64)> = ended.collect();
        for (id, born_unix_ms) in ended {
            self.worker_ended(&id, born_unix_ms, now);
            self.predecessor_incarnation_ended(id, now);
        }
        let superseded = self.incarnations.iter().filter(|(_, worker)| {
            let WorkerState { entry, .. } = worker;
            newest.supersede(&entry.id, entry.machine.as_deref(), entry.born_unix_ms)
                && !current.contains(entry.id.as_str())
        });
        let superseded: Vec<u32> = superseded.map(|(&incarnation, _)| incarnation).collect();
        for incarnation in superseded {
            self.end_incarnation(incarnation, EndEvidence::Registry, now);
        }
    }

    /// Whether an entry belongs to a known incarnation. An incarnation without
    /// a known start time takes the first start time that is listed for it.
    fn is_same_incarnation(&self, incarnation: u32, born_unix_ms: u64) -> bool {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return false;
        };
        let known = worker.entry.born_unix_ms;
        known == 0 || born_unix_ms == 0 || known == born_unix_ms
    }

    pub(super) fn add_incarnation(&mut self, entry: &RegistryEntry) -> u32 {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        self.incarnations
            .insert(incarnation, WorkerState::new(entry.clone()));
        self.incarnation_of_id.insert(entry.id.clone(), incarnation);
        self.workers_row_dirty = true;
        self.urgent = true;
        incarnation
    }

    fn refresh_incarnation(&mut self, incarnation: u32, entry: &RegistryEntry) {
        let vacating = self.vacating.contains(&entry.id);
        let due = self.due.contains(&entry.id);
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            let born_unix_ms = worker.entry.born_unix_ms.max(entry.born_unix_ms);
            worker.entry = entry.clone();
            worker.entry.born_unix_ms = born_unix_ms;
            worker.vacating = vacating;
            worker.due = due;
        }
    }

    /// Removes an incarnation that has certainly ended, so that its tasks can
    /// start elsewhere.
    pub(super) fn end_incarnation(
        &mut self,
        incarnation: IncarnationIndex,
        evidence: EndEvidence,
        now: Instant,
    ) {
        self.end_incarnation_beside(incarnation, evidence, false, now);
    }

    /// Ends an incarnation. If its worker has restarted, the cause may be among the runs
    /// that it had not reported, which are not known to be lost yet.
    pub(super) fn end_incarnation_beside(
        &mut self,
        incarnation: IncarnationIndex,
        evidence: EndEvidence,
        has_unreported: bool,
        now: Instant,
    ) {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return;
        };
        if !worker.runs.is_empty() {
            self.events.push(SchedulerEvent::WorkerEnded {
                worker: worker.entry.id.clone(),
                born_unix_ms: worker.entry.born_unix_ms,
                evidence,
                runs: worker.runs.len(),
            });
        }
        if worker.entry.born_unix_ms != 0 {
            self.ended_incarnations
                .insert(worker.entry.id.clone(), worker.entry.born_unix_ms);
        }
        let crashed = !worker.is_leaving();
        let id = worker.entry.id.clone();
        let born_unix_ms = worker.entry.born_unix_ms;
        self.worker_ended(&id, born_unix_ms, now);
        let silences = self.silences.take(&id);
        self.predecessor_incarnation_ended(id, now);
        let lost = self.remove_incarnation(incarnation, now);
        self.silence_explained(silences, crashed, now);
        if crashed && !has_unreported {
            self.worker_crashed(&lost, now);
        }
    }

    /// Removes an incarnation that has ended or whose leases have expired, and
    /// returns its runs. In the second case, runs that a predecessor started there
    /// may still be active, since its leases are not known here.
    fn remove_incarnation(&mut self, incarnation: u32, now: Instant) -> Vec<LostRun> {
        let Some(worker) = self.incarnations.remove(&incarnation) else {
            return Vec::new();
        };
        self.silences.dropped(&worker);
        if self.incarnation_of_id.get(&worker.entry.id) == Some(&incarnation) {
            self.incarnation_of_id.remove(&worker.entry.id);
        }
        let mut lost = Vec::new();
        for (&(task, run), reservation) in &worker.runs {
            self.tenant_use
                .release(reservation.tenant, reservation.need, reservation.lasts);
            lost.push(self.lose_run(task, run, &worker, RunLoss::LifeEnded));
            self.drop_run(task, run, now);
            self.orphaned_tasks.push((now.steady_ms, task));
        }
        self.workers_row_dirty = true;
        self.placement_needed = true;
        lost
    }

    /// Frees the tasks of unresponsive workers whose leases have expired.
    /// Ownership must have been confirmed after the expiry, because a successor
    /// may have renewed the leases.
    pub(super) fn release_expired_leases(&mut self, now: Instant) {
        let known_ms = now.steady_ms.min(self.ownership_confirmed_ms);
        let mut expired: Vec<u32> = Vec::new();
        for (&incarnation, worker) in &mut self.incarnations {
            let lease_expired = worker.is_unresponsive()
                && !worker.runs.is_empty()
                && worker.leases_end_ms() <= known_ms;
            if !lease_expired {
                continue;
            }
            // If a network partition of this process has just healed, the
            // worker may have completions to report, so one more lease renewal
            // must fail first.
            let since_ms = *worker.lease_end_known_ms.get_or_insert(now.steady_ms);
            if worker.failed_renewal_sent_ms >= since_ms {
                expired.push(incarnation);
            }
        }
        for incarnation in expired {
            let Some(worker) = self.incarnations.get_mut(&incarnation) else {
                continue;
            };
            let before = worker.clone();
            for &(task, run) in before.runs.keys() {
                worker.release(task, run, &mut self.tenant_use);
            }
            let mut lost = Vec::new();
            for &(task, run) in before.runs.keys() {
                lost.push(self.lose_run(task, run, &before, RunLoss::LeaseEnded));
                self.run_lost(task, run, now);
            }
            self.worker_fell_silent(incarnation, &lost, now);
        }
        if self.predecessor_leases_end_ms <= known_ms {
            self.forget_predecessor_incarnations(known_ms);
        }
    }

    /// Stops waiting for the workers of predecessors, whose leases have expired, but for
    /// those in contact that have completions to report.
    fn forget_predecessor_incarnations(&mut self, known_ms: u64) {
        let count = self.predecessor_incarnations.len();
        self.predecessor_incarnations.retain(|id, _| {
            let worker = self.incarnation_of_id.get(id);
            let worker = worker.and_then(|incarnation| self.incarnations.get(incarnation));
            worker.is_some_and(|worker| {
                let in_contact = !worker.is_unresponsive() || worker.leases_end_ms() > known_ms;
                worker.more_completions && in_contact
            })
        });
        let waited_for = &self.predecessor_incarnations;
        self.ended_predecessors
            .retain(|id, _| waited_for.contains_key(id));
        if self.predecessor_incarnations.len() < count {
            self.workers_row_dirty = true;
            self.placement_needed = true;
        }
    }

    /// Queues the tasks of ended incarnations again. Ownership must have been
    /// confirmed after the end became known, because a successor may have
    /// recorded completions of these tasks before.
    pub(super) fn requeue_orphaned_tasks(&mut self, now: Instant) {
        let confirmed_ms = self.ownership_confirmed_ms;
        self.ended_predecessors.retain(|id, known_ms| {
            let confirmed = *known_ms <= confirmed_ms;
            if confirmed && self.predecessor_incarnations.remove(id).is_some() {
                self.workers_row_dirty = true;
                self.placement_needed = true;
            }
            !confirmed
        });
        let (confirmed, unconfirmed) = std::mem::take(&mut self.orphaned_tasks)
            .into_iter()
            .partition::<Vec<_>, _>(|(known_ms, _)| *known_ms <= confirmed_ms);
        self.orphaned_tasks = unconfirmed;
        for (_, task) in confirmed {
            self.make_ready(task, now);
        }
    }

    /// Records that this process owned the pool at `at_ms`, as confirmed by the
    /// store.
    pub fn confirm_ownership(&mut self, at_ms: u64) {
        self.ownership_confirmed_ms = self.ownership_confirmed_ms.max(at_ms);
    }

    /// Whether most workers that have runs are unresponsive.
    #[must_use]
    pub fn has_lost_most_workers(&self) -> bool {
        let used = self
            .incarnations
            .values()
            .filter(|worker| !worker.runs.is_empty());
        let (mut count, mut unresponsive) = (0, 0);
        for worker in used {
            count += 1;
            unresponsive += usize::from(worker.is_unresponsive());
        }
        unresponsive * 2 > count
    }

    /// Whether a worker may get new tasks.
    pub(super) fn is_usable(worker: &WorkerState, now: Instant) -> bool {
        worker.contact == Contact::Responsive
            && worker.recorded
            && worker.listed
            && !worker.entry.draining
            && !worker.vacating
            && worker.penalty_until_ms <= now.steady_ms
    }

    pub(super) fn penalty_due_ms(&self, now: Instant) -> Option<u64> {
        if self.ready.is_empty() {
            return None;
        }
        let penalties = self
            .incarnations
            .values()
            .map(|worker| worker.penalty_until_ms);
        penalties.filter(|&until_ms| until_ms > now.steady_ms).min()
    }

    /// Considers workers for tasks again whose penalty ended after `since_ms`.
    pub(super) fn end_penalties(&mut self, since_ms: u64, now: Instant) {
        for (&incarnation, worker) in &self.incarnations {
            let until_ms = worker.penalty_until_ms;
            if since_ms < until_ms && until_ms <= now.steady_ms {
                self.changed_workers.insert(incarnation);
                self.placement_needed = true;
            }
        }
    }

    pub(super) fn needs_renewal(worker: &WorkerState) -> bool {
        !worker.runs.is_empty()
            || worker.contact == Contact::Unknown
            || worker.applied_completion > worker.acknowledged_completion
            || worker.more_completions
            || (worker.listed && worker.is_unresponsive())
    }

    /// Returns when the next lease renewal is due, `at_ms` if one is needed. A worker that
    /// needs none is asked for its clock from time to time.
    pub(super) fn renewal_due_ms(worker: &WorkerState, at_ms: u64) -> u64 {
        if Self::needs_renewal(worker) {
            at_ms
        } else {
            at_ms.max(worker.clock_due_ms())
        }
    }

    /// Schedules the next lease renewal after an answer or a failure.
    pub(super) fn schedule_renewal(worker: &mut WorkerState, at_ms: u64) {
        worker.renewal = Renewal::Due {
            at_ms: Self::renewal_due_ms(worker, at_ms),
        };
    }
}
