use std::collections::BTreeMap;

use crate::job::StepId;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;

/// Largest number of requests for advice that wait for an answer at the same time. The
/// service queues 32 calls of a process, which may own several pools.
const MAX_REQUESTS_IN_FLIGHT: usize = 24;

/// Tickets that the advice service issued for a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    pub(super) requested: bool,
    pub(super) valid_until_ms: u64,
    pub(super) by_incarnation: BTreeMap<IncarnationIndex, String>,
}

impl PoolScheduler {
    /// Whether a step has valid tickets.
    pub(super) fn has_tickets(&self, step: StepId, now: Instant) -> bool {
        let issued = self.tickets.get(&step);
        issued.is_some_and(|issued| issued.valid_until_ms > now.steady_ms)
    }

    /// Requests tickets for steps that have none; those first that have waited longest
    /// since their last ones, so that steps which fit no worker hold back no others.
    pub(super) fn request_tickets(&mut self, mut steps: Vec<StepId>, now: Instant) {
        let requested = self.tickets.values().filter(|issued| issued.requested);
        let free = MAX_REQUESTS_IN_FLIGHT.saturating_sub(requested.count());
        if steps.is_empty() || free == 0 {
            return;
        }
        let incarnations = self
            .incarnations
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now));
        let incarnations: Vec<IncarnationIndex> =
            incarnations.map(|(&incarnation, _)| incarnation).collect();
        if incarnations.is_empty() {
            return;
        }
        let issued = |step: &StepId| self.tickets.get(step);
        steps.retain(|step| issued(step).is_none_or(|issued| !issued.requested));
        steps.sort_by_key(|step| issued(step).map_or(0, |issued| issued.valid_until_ms));
        for step in steps.into_iter().take(free) {
            let issued = self.tickets.entry(step).or_default();
            issued.requested = true;
            issued.by_incarnation.clear();
            self.actions.push(Action::RequestAdvice {
                step,
                incarnations: incarnations.clone(),
            });
        }
    }

    /// Applies the answer of the advice service: a ticket for each worker that
    /// may run the step and the time in milliseconds for which they are valid,
    /// or `None` if it did not answer.
    pub fn advice_replied(
        &mut self,
        step: StepId,
        tickets: Option<(Vec<(IncarnationIndex, String)>, u64)>,
        now: Instant,
    ) {
        let Some(issued) = self.tickets.get_mut(&step) else {
            return;
        };
        issued.requested = false;
        issued.valid_until_ms = now.steady_ms;
        if let Some((tickets, valid_ms)) = tickets {
            issued.by_incarnation = tickets.into_iter().collect();
            issued.valid_until_ms += valid_ms;
        }
        self.reconsider(step);
        self.placement_needed = true;
    }
}
