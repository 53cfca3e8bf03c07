use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::StepId;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;

/// Number of requests for advice that may be made before one is set.
pub(super) const DEFAULT_ADVICE_CALLS: usize = 24;
/// Time for which a step waits for tickets until only those go before it that have waited
/// longer.
const LONG_WAIT_MS: u64 = 3000;
/// Largest number of workers that one request may name.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Tickets that the advice service issued for a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    pub(super) requested: bool,
    pub(super) valid_until_ms: u64,
    pub(super) by_incarnation: BTreeMap<IncarnationIndex, String>,
    /// Workers that may run the step, which doesn't change.
    allowed: BTreeSet<IncarnationIndex>,
    /// Workers that may not.
    refused: BTreeSet<IncarnationIndex>,
    /// Workers that the request in flight names.
    asked: Vec<IncarnationIndex>,
}

impl Tickets {
    /// Returns the workers to ask about: those that need new tickets, then those that
    /// have not been asked about yet.
    fn to_ask(&self, usable: &[IncarnationIndex]) -> Vec<IncarnationIndex> {
        let allowed = usable.iter().filter(|worker| self.allowed.contains(worker));
        let unknown = usable
            .iter()
            .filter(|worker| !self.allowed.contains(worker) && !self.refused.contains(worker));
        let workers = allowed.chain(unknown).take(MAX_WORKERS_PER_REQUEST);
        workers.copied().collect()
    }
}

impl PoolScheduler {
    /// Whether a step has valid tickets.
    pub(super) fn has_tickets(&self, step: StepId, now: Instant) -> bool {
        let issued = self.tickets.get(&step);
        issued.is_some_and(|issued| issued.valid_until_ms > now.steady_ms)
    }

    /// Requests tickets for steps that have none, as far as requests may be made. Those go
    /// first that have waited long; then those without former tickets, in the order of
    /// placement, so that steps which fit no worker hold back no others.
    pub(super) fn request_tickets(&mut self, mut steps: Vec<StepId>, now: Instant) {
        steps.retain(|step| {
            let issued = self.tickets.get(step);
            issued.is_none_or(|issued| !issued.requested)
        });
        self.waits_for_advice_call = !steps.is_empty();
        if steps.is_empty() || self.free_advice_calls == 0 {
            return;
        }
        let incarnations = self
            .incarnations
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now));
        let incarnations: Vec<IncarnationIndex> =
            incarnations.map(|(&incarnation, _)| incarnation).collect();
        if incarnations.is_empty() {
            self.waits_for_advice_call = false;
            return;
        }
        steps.sort_by_key(|&step| {
            let last_ms = self.tickets.get(&step);
            let last_ms = last_ms.map_or(0, |issued| issued.valid_until_ms);
            let since_ms = match last_ms {
                0 => self.waiting_since_ms(step).unwrap_or(now.steady_ms),
                last_ms => last_ms,
            };
            let waits_long = since_ms + LONG_WAIT_MS <= now.steady_ms;
            (!waits_long, if waits_long { since_ms } else { last_ms })
        });
        let mut left = steps.len();
        for step in steps {
            left -= 1;
            let issued = self.tickets.entry(step).or_default();
            let asked = issued.to_ask(&incarnations);
            if asked.is_empty() {
                continue;
            }
            issued.requested = true;
            issued.by_incarnation.clear();
            issued.asked.clone_from(&asked);
            self.actions.push(Action::RequestAdvice {
                step,
                incarnations: asked,
            });
            self.free_advice_calls -= 1;
            if self.free_advice_calls == 0 {
                break;
            }
        }
        self.waits_for_advice_call = left > 0;
    }

    fn waiting_since_ms(&self, step: StepId) -> Option<u64> {
        let key = self.ready_key(step)?;
        Some(self.ready.get(&key)?.since_ms)
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
        let asked = std::mem::take(&mut issued.asked);
        if let Some((tickets, valid_ms)) = tickets {
            issued.by_incarnation = tickets.into_iter().collect();
            issued.allowed.extend(issued.by_incarnation.keys());
            let refused = asked.iter();
            let refused = refused.filter(|worker| !issued.by_incarnation.contains_key(worker));
            issued.refused.extend(refused);
            if !issued.by_incarnation.is_empty() {
                issued.valid_until_ms += valid_ms;
            }
        }
        self.reconsider(step);
        self.placement_needed = true;
    }
}
