use std::collections::BTreeSet;

use crate::job::TaskId;
use crate::worker::RegistryEntry;

use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::RunLoss;
use super::scheduler_event::SchedulerEvent;
use super::worker_state::Contact;
use super::worker_state::Look;
use super::worker_state::WorkerState;

impl WorkerState {
    pub(super) fn is_silent(&self) -> bool {
        !matches!(self.contact, Contact::Good)
    }
}

impl PoolScheduler {
    /// Takes a reading of the registry. Entries of other pools only matter
    /// where they show that a life known here is over. A reading that is not
    /// `settled`, soon after an outage, says nothing of workers that it leaves
    /// out.
    pub fn apply_registry(&mut self, entries: &[RegistryEntry], settled: bool, now: Instant) {
        let mut listed = BTreeSet::new();
        self.end_followed_lives(entries, now);
        for entry in entries {
            let known = self.life_of_id.get(&entry.id).copied();
            let same =
                known.filter(|incarnation| self.is_same_life(*incarnation, entry.born_unix_ms));
            if let (Some(old), None) = (known, same) {
                self.end_life(old, now);
            }
            if entry.pool != self.pool {
                continue;
            }
            let incarnation = same.unwrap_or_else(|| self.add_life(entry));
            listed.insert(incarnation);
            self.refresh_life(incarnation, entry);
        }
        let mut gone = Vec::new();
        for (&incarnation, worker) in &mut self.incarnations {
            worker.listed = listed.contains(&incarnation) || (worker.listed && !settled);
            let over = !worker.listed && worker.runs.is_empty();
            if over && worker.lapses_at_ms() <= now.steady_ms {
                gone.push(incarnation);
            }
        }
        for incarnation in gone {
            self.forget_life(incarnation, now);
        }
        self.placing_needed = true;
    }

    /// Ends the lives whose machines have begun others.
    fn end_followed_lives(&mut self, entries: &[RegistryEntry], now: Instant) {
        self.predecessor_lives.retain(|_, incarnation| {
            !entries
                .iter()
                .any(|entry| incarnation.is_followed_by(entry))
        });
        let followed = self.incarnations.iter().filter(|(_, worker)| {
            let incarnation = worker.record();
            entries
                .iter()
                .any(|entry| incarnation.is_followed_by(entry))
        });
        let followed: Vec<u32> = followed.map(|(&incarnation, _)| incarnation).collect();
        for incarnation in followed {
            self.end_life(incarnation, now);
        }
    }

    /// Whether an entry speaks of a known life. A life that was listed without
    /// its start takes the first start that it names.
    fn is_same_life(&self, incarnation: u32, born_unix_ms: u64) -> bool {
        let Some(worker) = self.incarnations.get(&incarnation) else {
            return false;
        };
        let known = worker.entry.born_unix_ms;
        known == 0 || born_unix_ms == 0 || known == born_unix_ms
    }

    fn add_life(&mut self, entry: &RegistryEntry) -> u32 {
        let incarnation = self.next_life;
        self.next_life += 1;
        self.incarnations
            .insert(incarnation, WorkerState::new(entry.clone()));
        self.life_of_id.insert(entry.id.clone(), incarnation);
        self.workers_row_wanted = true;
        self.urgent = true;
        incarnation
    }

    fn refresh_life(&mut self, incarnation: u32, entry: &RegistryEntry) {
        let vacating = self.vacating.contains(&entry.id);
        if let Some(worker) = self.incarnations.get_mut(&incarnation) {
            let born_unix_ms = worker.entry.born_unix_ms.max(entry.born_unix_ms);
            worker.entry = entry.clone();
            worker.entry.born_unix_ms = born_unix_ms;
            worker.vacating = vacating;
        }
    }

    /// Frees what ran in a life that is over for sure.
    pub(super) fn end_life(&mut self, incarnation: u32, now: Instant) {
        if let Some(worker) = self.incarnations.get(&incarnation) {
            self.predecessor_lives.remove(&worker.entry.id);
        }
        self.forget_life(incarnation, now);
    }

    /// Forgets a life whose leases have ended. What a predecessor started
    /// there may still run: its leases are not known here.
    fn forget_life(&mut self, incarnation: u32, now: Instant) {
        let Some(worker) = self.incarnations.remove(&incarnation) else {
            return;
        };
        if self.life_of_id.get(&worker.entry.id) == Some(&incarnation) {
            self.life_of_id.remove(&worker.entry.id);
        }
        for &(task, run) in worker.runs.keys() {
            self.note_lost(task, run, &worker.entry.id, RunLoss::LifeEnded);
            self.drop_run(task, run, now);
            self.orphans.push((now.steady_ms, task));
        }
        self.workers_row_wanted = true;
        self.placing_needed = true;
    }

    pub(super) fn note_lost(&mut self, task: TaskId, run: u64, worker: &str, loss: RunLoss) {
        self.notes.push(SchedulerEvent::RunLost {
            task,
            run,
            worker: worker.to_owned(),
            loss,
        });
    }

    /// Frees the tasks of silent workers whose leases have ended. Ownership
    /// must have been confirmed since: a successor may renew the leases.
    pub(super) fn release_lapsed(&mut self, now: Instant) {
        let known_ms = now.steady_ms.min(self.confirmed_ms);
        let mut lapsed: Vec<u32> = Vec::new();
        for (&incarnation, worker) in &mut self.incarnations {
            let over =
                worker.is_silent() && !worker.runs.is_empty() && worker.lapses_at_ms() <= known_ms;
            if !over {
                continue;
            }
            // Where a cut of this process has just healed, the worker may have
            // ends to list: it is asked once more.
            let since_ms = *worker.lapse_known_ms.get_or_insert(now.steady_ms);
            if worker.failed_look_sent_ms >= since_ms {
                lapsed.push(incarnation);
            }
        }
        for incarnation in lapsed {
            let Some(worker) = self.incarnations.get_mut(&incarnation) else {
                continue;
            };
            let id = worker.entry.id.clone();
            let runs: Vec<_> = worker.runs.keys().copied().collect();
            for &(task, run) in &runs {
                worker.release(task, run);
            }
            for (task, run) in runs {
                self.note_lost(task, run, &id, RunLoss::LeaseEnded);
                self.run_lost(task, run, now);
            }
        }
        let waited = !self.predecessor_lives.is_empty();
        if waited && self.predecessor_over_ms <= now.steady_ms.min(self.confirmed_ms) {
            self.predecessor_lives.clear();
            self.placing_needed = true;
        }
    }

    /// Lets the tasks of lives that are over start again. Ownership must have
    /// been confirmed since: a successor may have noted their ends before.
    pub(super) fn release_orphans(&mut self, now: Instant) {
        let confirmed_ms = self.confirmed_ms;
        let (free, held) = std::mem::take(&mut self.orphans)
            .into_iter()
            .partition::<Vec<_>, _>(|(known_ms, _)| *known_ms <= confirmed_ms);
        self.orphans = held;
        for (_, task) in free {
            self.make_ready(task, now);
        }
    }

    /// Notes that this process owned the pool at a time, by the store.
    pub fn confirm_ownership(&mut self, at_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(at_ms);
    }

    /// Whether most workers with work have fallen silent.
    #[must_use]
    pub fn has_lost_most_workers(&self) -> bool {
        let used = self
            .incarnations
            .values()
            .filter(|worker| !worker.runs.is_empty());
        let (mut count, mut silent) = (0, 0);
        for worker in used {
            count += 1;
            silent += usize::from(worker.is_silent());
        }
        silent * 2 > count
    }

    /// Whether a worker may be given work.
    pub(super) fn is_usable(worker: &WorkerState, now: Instant) -> bool {
        worker.contact == Contact::Good
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

    pub(super) fn needs_looks(worker: &WorkerState) -> bool {
        !worker.runs.is_empty()
            || worker.contact == Contact::Unknown
            || worker.applied_end > worker.stored_end
            || (worker.listed && worker.is_silent())
    }

    /// Sets the next look after an answer or a failure.
    pub(super) fn plan_look(worker: &mut WorkerState, at_ms: u64) {
        worker.look = if Self::needs_looks(worker) {
            Look::Due { at_ms }
        } else {
            Look::Idle
        };
    }
}
