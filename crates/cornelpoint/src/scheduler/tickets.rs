use std::collections::BTreeMap;

use crate::job::StepId;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;

/// Tickets that the advice service issued for a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    pub(super) requested: bool,
    pub(super) valid_until_ms: u64,
    pub(super) by_incarnation: BTreeMap<IncarnationIndex, String>,
}

impl PoolScheduler {
    /// Whether a step has valid tickets; requests them otherwise.
    pub(super) fn has_tickets(&mut self, step: StepId, now: Instant) -> bool {
        let incarnations = self
            .incarnations
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now));
        let incarnations: Vec<IncarnationIndex> =
            incarnations.map(|(&incarnation, _)| incarnation).collect();
        let issued = self.tickets.entry(step).or_default();
        if issued.valid_until_ms > now.steady_ms {
            return true;
        }
        if !issued.requested && !incarnations.is_empty() {
            issued.requested = true;
            issued.by_incarnation.clear();
            self.actions
                .push(Action::RequestAdvice { step, incarnations });
        }
        false
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
        if let Some((tickets, valid_ms)) = tickets {
            issued.by_incarnation = tickets.into_iter().collect();
            issued.valid_until_ms = now.steady_ms + valid_ms;
        }
        self.placement_needed = true;
    }
}
