//! Assignment of slots to requests.

use super::assignment::Assignment;
use super::assignment::DispatchAction;
use super::assignment::RequestAction;
use super::dispatcher::Dispatcher;
use super::request_state::RequestState;
use super::request_state::Run;
use super::route::Route;
use super::route::SlotPreference;
use crate::ejection::Outcome;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::request::Refusal;
use crate::retry::Decision;

/// Longest time from an assignment to the first byte sent, in milliseconds. A
/// gateway that was paused for longer must not send.
const MAX_SEND_DELAY_MS: u64 = 200;

/// Longest time that a retry waits for an endpoint that has not failed the
/// request, in milliseconds.
const RETRY_PARK_MS: u64 = 50;

impl Dispatcher {
    pub(super) fn expire(&mut self, now_ms: u64) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        for lane in self.lanes.values_mut() {
            for entry in lane.queue.take_expired(now_ms) {
                let state = self.requests.remove(&entry.id);
                let decision = match state {
                    Some(state) if state.attempts.attempts_made() > 0 => {
                        state.attempts.final_decision(now_ms)
                    }
                    _ => Decision::RefuseNotRun(Refusal::DeadlineTooNear),
                };
                actions.push(RequestAction {
                    id: entry.id,
                    action: action_for(decision),
                });
            }
            lane.update_waiting_since(now_ms);
        }
        actions
    }

    /// Assigns parked retries to endpoints that have not failed them. A retry
    /// that finds none within `RETRY_PARK_MS` returns to the queue, where it
    /// may get any endpoint.
    pub(super) fn assign_parked(&mut self, now_ms: u64) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        for lane in self.lanes.values_mut() {
            let Some(route) = self.routes.get_mut(&lane.service.pool) else {
                continue;
            };
            for parked in std::mem::take(&mut lane.parked) {
                let Some(state) = self.requests.get_mut(&parked.id) else {
                    continue;
                };
                if let Some(running) = route.acquire_healthy(&state.tried, now_ms) {
                    lane.running += 1;
                    actions.extend(start(route, state, running, now_ms));
                    continue;
                }
                if now_ms < (parked.since_ms + RETRY_PARK_MS).min(state.entry.deadline_ms) {
                    lane.parked.push(parked);
                    continue;
                }
                if lane.queue.push(state.entry, now_ms).is_err() {
                    let decision = state.attempts.final_decision(now_ms);
                    self.requests.remove(&parked.id);
                    actions.push(RequestAction {
                        id: parked.id,
                        action: action_for(decision),
                    });
                }
            }
            lane.update_waiting_since(now_ms);
        }
        actions
    }

    pub(super) fn assign(&mut self, pool: &PoolName, now_ms: u64) -> Option<RequestAction> {
        let service = self.most_urgent_service(pool)?;
        let route = self.routes.get_mut(pool)?;
        // The slot is acquired before the request leaves its queue.
        let no_preference = SlotPreference {
            tried: &[],
            allow_trial: false,
        };
        let running = route.acquire(no_preference, now_ms);
        let lane = self.lanes.get_mut(&service)?;
        let entry = match running {
            Some(_) => lane.queue.pop(now_ms),
            None => None,
        };
        lane.update_waiting_since(now_ms);
        let (running, entry) = match (running, entry) {
            (Some(running), Some(entry)) => (running, entry),
            (Some(running), None) => {
                withdraw_run(route, &running, now_ms);
                return None;
            }
            (None, _) => return None,
        };
        lane.running += 1;
        let state = self.requests.get_mut(&entry.id)?;
        let running = swap_slot(route, state, running, now_ms);
        start(route, state, running, now_ms)
    }

    /// Returns the service of the pool whose first request has the earliest
    /// deadline.
    fn most_urgent_service(&self, pool: &PoolName) -> Option<ServiceName> {
        self.lanes
            .values()
            .filter(|lane| &lane.service.pool == pool)
            .filter_map(|lane| Some((lane.queue.earliest_deadline_ms()?, &lane.service.name)))
            .min()
            .map(|(_, service)| service.clone())
    }

    pub(super) fn report_demand(&mut self, pool: &PoolName, now_ms: u64) {
        let mut queued = 0;
        let mut parked = 0;
        let mut earliest_deadline_ms = None;
        for lane in self.lanes.values() {
            if &lane.service.pool != pool {
                continue;
            }
            queued += u32::try_from(lane.queue.len()).unwrap_or(u32::MAX);
            parked += u32::try_from(lane.parked.len()).unwrap_or(u32::MAX);
            let earliest = lane.queue.earliest_deadline_ms();
            earliest_deadline_ms = [earliest_deadline_ms, earliest].into_iter().flatten().min();
        }
        let Some(route) = self.routes.get_mut(pool) else {
            return;
        };
        if parked > 0 {
            // Free slots cannot serve the parked retries: they are at endpoints
            // that already failed them.
            queued += parked + route.borrower.free_at(&|_| true);
        } else if queued > 0 {
            queued += route.free_for_trial(now_ms);
        }
        route.borrower.set_demand(queued, earliest_deadline_ms);
        let slots_scarce = route.borrower.lacks_slots();
        for lane in self.lanes.values_mut() {
            if &lane.service.pool == pool {
                lane.queue.set_slots_scarce(slots_scarce);
            }
        }
    }

    pub(super) fn end_run(&mut self, state: &mut RequestState, outcome: Outcome, now_ms: u64) {
        let Some(running) = state.running.take() else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&state.service) {
            lane.running -= 1;
            if outcome == Outcome::Succeeded {
                lane.queue
                    .record_service_time(now_ms.saturating_sub(running.started_ms));
            }
        }
        let Some(route) = self.routes.get_mut(&running.pool) else {
            return;
        };
        route.release(&running, now_ms);
        let endpoint = &running.slot.endpoint;
        route
            .health
            .record(endpoint, outcome, running.started_ms, now_ms);
        if outcome == Outcome::Leaving {
            route.borrower.endpoint_leaves(endpoint, now_ms);
            self.leaving_endpoints.push(endpoint.clone());
        }
    }
}

/// Records the slot that a request runs in and returns the send action.
fn start(
    route: &Route,
    state: &mut RequestState,
    running: Run,
    now_ms: u64,
) -> Option<RequestAction> {
    let endpoint = route.endpoint(&running.slot.endpoint)?;
    let assignment = Assignment {
        endpoint: endpoint.instance.clone(),
        address: endpoint.address,
        start_by_ms: (now_ms + MAX_SEND_DELAY_MS).min(state.entry.deadline_ms),
    };
    state.tried.push(endpoint.instance.clone());
    state.running = Some(running);
    Some(RequestAction {
        id: state.entry.id,
        action: DispatchAction::Send(assignment),
    })
}

/// Replaces a slot by one that suits the request better, if one is free.
fn swap_slot(route: &mut Route, state: &RequestState, running: Run, now_ms: u64) -> Run {
    let is_untried = !state.tried.contains(&running.slot.endpoint);
    let preference = SlotPreference {
        tried: &state.tried,
        allow_trial: state.idempotent,
    };
    let replacement = if !is_untried {
        route.acquire(preference, now_ms)
    } else if preference.allow_trial {
        route.acquire_due_trial(now_ms)
    } else {
        None
    };
    match replacement {
        Some(replacement) => {
            withdraw_run(route, &running, now_ms);
            replacement
        }
        None => running,
    }
}

fn withdraw_run(route: &mut Route, running: &Run, now_ms: u64) {
    route.release(running, now_ms);
    route.health.record(
        &running.slot.endpoint,
        Outcome::Withdrawn,
        running.started_ms,
        now_ms,
    );
}

pub(super) fn action_for(decision: Decision) -> DispatchAction {
    match decision {
        Decision::Answer => DispatchAction::Answer,
        Decision::RefuseNotRun(refusal) | Decision::RefuseUnknown(refusal) => {
            DispatchAction::Refuse(refusal)
        }
        // Callers queue a retry and do not request an action for it.
        Decision::RetryElsewhere => DispatchAction::Refuse(Refusal::NoEndpoint),
    }
}
