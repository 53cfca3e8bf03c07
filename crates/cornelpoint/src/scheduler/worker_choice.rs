use std::collections::BTreeSet;

use crate::job::Step;
use crate::job::StepId;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::worker_state::WorkerState;

impl PoolScheduler {
    /// Chooses a worker for one more task of a step. A suspect takes the worker with
    /// the fewest runs, and none on which another suspect is being tried.
    pub(super) fn choose_worker(
        &self,
        id: StepId,
        step: &Step,
        needs_ticket: bool,
        suspect: bool,
        now: Instant,
    ) -> Option<IncarnationIndex> {
        let need = step.reserved();
        let tickets = self.tickets.get(&id);
        let candidates = self.incarnations.iter().filter(|&(incarnation, worker)| {
            Self::is_usable(worker, now)
                && !(suspect && worker.is_on_trial())
                && worker.entry.capacity.fits(worker.used, need)
                && step
                    .max_per_worker
                    .is_none_or(|limit| worker.tasks_of(id) < limit)
                && has_label(worker, step.required_label.as_deref())
                && (!needs_ticket
                    || tickets
                        .is_some_and(|issued| issued.by_incarnation.contains_key(incarnation)))
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
                u32::MAX - **incarnation,
            )
        });
        best.map(|(&incarnation, _)| incarnation)
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

fn has_label(worker: &WorkerState, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.entry.labels.iter().any(|own| own == label))
}
