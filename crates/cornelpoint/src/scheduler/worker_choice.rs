use std::collections::BTreeSet;

use crate::job::Step;
use crate::job::StepId;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::worker_set::WorkerSet;
use super::worker_state::WorkerState;

impl PoolScheduler {
    /// Chooses one of some workers for one more task of a step. A suspect takes the
    /// worker with the fewest runs, and none on which another suspect is being tried.
    pub(super) fn choose_worker(
        &self,
        id: StepId,
        step: &Step,
        among: &WorkerSet,
        needs_ticket: bool,
        suspect: bool,
        now: Instant,
    ) -> Option<IncarnationIndex> {
        let candidates = self.workers_among(among).filter(|&(incarnation, worker)| {
            !(suspect && worker.is_on_trial())
                && worker.entry.capacity.fits(worker.used, step.reserved())
                && self.may_run(incarnation, worker, id, step, needs_ticket, now)
        });
        let racks = self.used_racks(id, step);
        let best = candidates.max_by_key(|(incarnation, worker)| {
            let free = worker.entry.capacity.minus(worker.used).cpu_millicores;
            let on_preferred_rack = step
                .preferred_rack
                .as_deref()
                .is_none_or(|rack| has_label(worker, Some(rack)));
            let on_used_rack =
                racks.is_empty() || racks.iter().any(|rack| has_label(worker, Some(rack)));
            let warm = worker.entry.cold_remaining_ms == 0;
            let stays = !(step.long_running && worker.due);
            // Prefers the worker with the least free capacity that fits, since
            // empty workers can serve another pool at once.
            let fullness = u64::MAX - free;
            let fewest_at_risk = if suspect {
                usize::MAX - worker.runs.len()
            } else {
                0
            };
            (
                !worker.is_on_trial(),
                fewest_at_risk,
                stays,
                on_preferred_rack,
                on_used_rack,
                warm,
                fullness,
                u32::MAX - *incarnation,
            )
        });
        best.map(|(incarnation, _)| incarnation)
    }

    /// Returns the workers of a set that still exist.
    pub(super) fn workers_among<'a>(
        &'a self,
        among: &'a WorkerSet,
    ) -> impl Iterator<Item = (IncarnationIndex, &'a WorkerState)> {
        let (all, some) = match among {
            WorkerSet::All => (Some(&self.incarnations), None),
            WorkerSet::Some(incarnations) => (None, Some(incarnations)),
        };
        let all = all.into_iter().flatten();
        let all = all.map(|(&incarnation, worker)| (incarnation, worker));
        let some = some
            .into_iter()
            .flatten()
            .filter_map(|&incarnation| Some((incarnation, self.incarnations.get(&incarnation)?)));
        all.chain(some)
    }

    /// Whether a worker may run one more task of a step, regardless of its room.
    fn may_run(
        &self,
        incarnation: IncarnationIndex,
        worker: &WorkerState,
        id: StepId,
        step: &Step,
        needs_ticket: bool,
        now: Instant,
    ) -> bool {
        Self::is_usable(worker, now)
            && step
                .max_per_worker
                .is_none_or(|limit| worker.tasks_of(id) < limit)
            && has_label(worker, step.required_label.as_deref())
            && (!needs_ticket
                || self
                    .tickets
                    .get(&id)
                    .is_some_and(|issued| issued.by_incarnation.contains_key(&incarnation)))
    }

    /// Whether there is room for a number of tasks of a step at once.
    pub(super) fn has_room_for(
        &self,
        id: StepId,
        step: &Step,
        tasks: usize,
        needs_ticket: bool,
        now: Instant,
    ) -> bool {
        let need = step.reserved();
        let mut left = u64::try_from(tasks).unwrap_or(u64::MAX);
        for (&incarnation, worker) in &self.incarnations {
            if left == 0 {
                break;
            }
            if !self.may_run(incarnation, worker, id, step, needs_ticket, now) {
                continue;
            }
            let free_places = step
                .max_per_worker
                .map_or(u64::MAX, |limit| u64::from(limit - worker.tasks_of(id)));
            let fitting = worker.entry.capacity.count_fitting(worker.used, need);
            left = left.saturating_sub(fitting.min(free_places));
        }
        left == 0
    }

    /// Returns the racks in use by a step that has to stay on a single rack.
    fn used_racks(&self, id: StepId, step: &Step) -> BTreeSet<String> {
        if !step.same_rack {
            return BTreeSet::new();
        }
        let used = self
            .incarnations
            .values()
            .filter(|worker| worker.tasks_of(id) > 0);
        used.flat_map(|worker| worker.entry.labels.iter().skip(1).cloned())
            .collect()
    }
}

pub(super) fn has_label(worker: &WorkerState, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.entry.labels.iter().any(|own| own == label))
}
