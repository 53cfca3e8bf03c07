use std::collections::BTreeMap;
use std::collections::HashMap;

use super::assignment::Assignment;
use super::assignment::Directed;
use super::assignment::Verdict;
use super::dispatcher_dump::DispatcherDump;
use super::dispatcher_dump::LaneDump;
use super::exchange::Exchange;
use super::exchange::ExchangeResult;
use super::lane::Lane;
use super::lane::ParkedRetry;
use super::new_request::NewRequest;
use super::request_state::RequestState;
use super::request_state::Running;
use super::route::Route;
use super::route::Wish;
use super::send_report::SendReport;
use crate::configuration::Configuration;
use crate::ejection::Outcome;
use crate::membership::Member;
use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::queue::RequestEntry;
use crate::request::Refusal;
use crate::retry::Attempts;
use crate::retry::Decision;
use crate::spread::Facts;

/// Longest time from an assignment to the first byte, in milliseconds: a
/// gateway that was paused longer must not send.
const SEND_WITHIN_MS: u64 = 200;

/// Time for which a retry waits for an endpoint that has not failed it, in
/// milliseconds.
const PARK_MS: u64 = 50;

/// Who a dispatcher works for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatcherSettings {
    /// The gateway's instance.
    pub gateway: InstanceId,
    /// Count of the gateway's starts; a higher one is newer.
    pub incarnation: u64,
    /// The gateway's availability zone.
    pub availability_zone: AvailabilityZone,
}

/// The decisions of one gateway.
///
/// ```
/// use cornelpoint::dispatch::Dispatcher;
/// use cornelpoint::dispatch::DispatcherSettings;
/// use cornelpoint::dispatch::NewRequest;
/// use cornelpoint::name::AvailabilityZone;
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::name::ServiceName;
/// use cornelpoint::request::Refusal;
///
/// let mut dispatcher = Dispatcher::new(DispatcherSettings {
///     gateway: InstanceId::try_from("entry-1").unwrap(),
///     incarnation: 1,
///     availability_zone: AvailabilityZone::try_from("hu-central-1").unwrap(),
/// });
/// let request = NewRequest {
///     id: 1,
///     service: ServiceName::try_from("quoting").unwrap(),
///     deadline_ms: 1_000,
///     body_bytes: 0,
///     idempotent: true,
/// };
/// assert_eq!(dispatcher.enqueue(request, 0), Err(Refusal::UnknownService));
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    lanes: BTreeMap<ServiceName, Lane>,
    routes: BTreeMap<PoolName, Route>,
    requests: HashMap<u64, RequestState>,
    signs: Vec<InstanceId>,
}

impl Dispatcher {
    /// A dispatcher without services.
    #[must_use]
    pub fn new(settings: DispatcherSettings) -> Self {
        Self {
            settings,
            lanes: BTreeMap::new(),
            routes: BTreeMap::new(),
            requests: HashMap::new(),
            signs: Vec::new(),
        }
    }

    // Queries.

    /// Requests in all, waiting and running.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> DispatcherDump {
        DispatcherDump {
            requests: self.requests.len(),
            lanes: self
                .lanes
                .values()
                .map(|lane| LaneDump {
                    service: lane.service.name.clone(),
                    waiting: lane.queue.len(),
                    waiting_bytes: lane.queue.body_bytes(),
                    earliest_deadline_ms: lane.queue.earliest_deadline_ms(),
                    running: lane.running,
                    retries_left: lane.budget.retries_left(now_ms),
                })
                .collect(),
            routes: self
                .routes
                .values()
                .map(|route| route.dump(now_ms))
                .collect(),
        }
    }

    // Commands.

    /// Takes in a configuration; requests of services that it no longer names
    /// are still served.
    pub fn configure(&mut self, configuration: &Configuration, facts: &Facts, now_ms: u64) {
        for pool in &configuration.pools {
            self.routes
                .entry(pool.name.clone())
                .or_insert_with(|| Route::new(pool.name.clone(), &self.settings, now_ms))
                .configure(pool, facts, &self.settings, now_ms);
        }
        for service in &configuration.services {
            self.lanes
                .entry(service.name.clone())
                .or_insert_with(|| Lane::new(service.clone()))
                .update(service);
        }
        let named = |lane: &Lane| {
            configuration
                .services
                .iter()
                .any(|service| service.name == lane.service.name)
        };
        self.lanes
            .retain(|_, lane| named(lane) || !lane.queue.is_empty() || lane.running > 0);
    }

    /// Takes in which endpoints accept work.
    pub fn mark(&mut self, facts: &Facts, now_ms: u64) {
        for route in self.routes.values_mut() {
            route.mark(facts, now_ms);
        }
    }

    /// Takes in the present members, to find the holders of slots.
    pub fn set_members(&mut self, members: &[Member]) {
        for route in self.routes.values_mut() {
            route.find_holders(members);
        }
    }

    /// Queues a request; its verdicts come from `dispatch`.
    ///
    /// # Errors
    ///
    /// The reason why the request is refused; it did not run.
    pub fn enqueue(&mut self, request: NewRequest, now_ms: u64) -> Result<(), Refusal> {
        let entry = entry_of(&request);
        let lane = self.open_lane(&request)?;
        lane.queue.push(entry, now_ms)?;
        lane.budget.record_first_try(now_ms);
        lane.note_waiting(now_ms);
        self.requests.insert(
            request.id,
            RequestState {
                service: request.service,
                entry,
                idempotent: request.idempotent,
                attempts: Attempts::new(request.idempotent, request.deadline_ms),
                tried: Vec::new(),
                running: None,
            },
        );
        Ok(())
    }

    /// Judges whether `enqueue` would take a request now.
    ///
    /// # Errors
    ///
    /// As for `enqueue`.
    pub fn check(&mut self, request: &NewRequest, now_ms: u64) -> Result<(), Refusal> {
        let entry = entry_of(request);
        self.open_lane(request)?.queue.check(entry, now_ms)
    }

    /// Assigns waiting requests to free slots, earliest deadline first, and
    /// refuses those whose time is over.
    pub fn dispatch(&mut self, now_ms: u64) -> Vec<Directed> {
        let mut directed = self.expire(now_ms);
        directed.extend(self.assign_parked(now_ms));
        let pools: Vec<PoolName> = self.routes.keys().cloned().collect();
        for pool in &pools {
            if let Some(route) = self.routes.get_mut(pool) {
                route.avoid_ejected(now_ms);
            }
            while let Some(next) = self.assign(pool, now_ms) {
                directed.push(next);
            }
            self.report_demand(pool);
        }
        directed
    }

    /// Takes in how a send ended and says what comes next; `None` when the
    /// request waits for another endpoint.
    pub fn complete(&mut self, id: u64, report: SendReport, now_ms: u64) -> Option<Verdict> {
        let mut state = self.requests.remove(&id)?;
        self.end_run(&mut state, report.outcome(), now_ms);
        let Some(lane) = self.lanes.get_mut(&state.service) else {
            return Some(verdict(state.attempts.end(now_ms)));
        };
        let decision = state
            .attempts
            .decide(report.result, now_ms, &mut lane.budget);
        if decision != Decision::RetryElsewhere {
            return Some(verdict(decision));
        }
        let route = self.routes.get(&lane.service.pool);
        if route.is_some_and(|route| route.has_untried(&state.tried, now_ms)) {
            lane.parked.push(ParkedRetry {
                id,
                since_ms: now_ms,
            });
        } else if lane.queue.push(state.entry, now_ms).is_err() {
            return Some(verdict(state.attempts.end(now_ms)));
        }
        lane.note_waiting(now_ms);
        self.requests.insert(id, state);
        None
    }

    /// Takes back a request that was assigned but not sent, and that will not
    /// be sent.
    pub fn withdraw(&mut self, id: u64, now_ms: u64) {
        let Some(mut state) = self.requests.remove(&id) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&state.service) {
            lane.queue.remove(id);
            lane.parked.retain(|parked| parked.id != id);
            lane.note_waiting(now_ms);
        }
        self.end_run(&mut state, Outcome::Withdrawn, now_ms);
    }

    /// Reports that are due to holders.
    pub fn exchanges_due(&mut self, now_ms: u64) -> Vec<Exchange> {
        let mut due = Vec::new();
        for route in self.routes.values_mut() {
            for request in route.borrower.requests_due(now_ms) {
                let zone = &request.availability_zone;
                match route.holders.get(zone) {
                    Some(&holder) => due.push(Exchange { holder, request }),
                    None => route.borrower.exchange_failed(zone, now_ms),
                }
            }
        }
        due
    }

    /// Takes in what became of a report.
    pub fn exchanged(&mut self, result: &ExchangeResult, now_ms: u64) {
        let Some(route) = self.routes.get_mut(&result.pool) else {
            return;
        };
        let zone = &result.availability_zone;
        match &result.reply {
            Some(reply) => route.borrower.apply(zone, reply, now_ms),
            None => route.borrower.exchange_failed(zone, now_ms),
        }
    }

    /// Endpoints that said that they leave, since the last call.
    pub fn take_signs(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.signs)
    }

    fn open_lane(&mut self, request: &NewRequest) -> Result<&mut Lane, Refusal> {
        let lane = self
            .lanes
            .get_mut(&request.service)
            .ok_or(Refusal::UnknownService)?;
        let route = self.routes.get(&lane.service.pool);
        if route.is_some_and(Route::has_endpoint) {
            Ok(lane)
        } else {
            Err(Refusal::NoEndpoint)
        }
    }

    fn expire(&mut self, now_ms: u64) -> Vec<Directed> {
        let mut directed = Vec::new();
        for lane in self.lanes.values_mut() {
            for entry in lane.queue.expired(now_ms) {
                let state = self.requests.remove(&entry.id);
                let decision = match state {
                    Some(state) if state.attempts.tries() > 0 => state.attempts.end(now_ms),
                    _ => Decision::RefuseNotRun(Refusal::DeadlineTooNear),
                };
                directed.push(Directed {
                    id: entry.id,
                    verdict: verdict(decision),
                });
            }
            lane.note_waiting(now_ms);
        }
        directed
    }

    /// Assigns retries to endpoints that have not failed them. One that finds
    /// none soon waits with the others for any endpoint.
    fn assign_parked(&mut self, now_ms: u64) -> Vec<Directed> {
        let mut directed = Vec::new();
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
                    directed.extend(start(route, state, running, now_ms));
                    continue;
                }
                if now_ms < (parked.since_ms + PARK_MS).min(state.entry.deadline_ms) {
                    lane.parked.push(parked);
                    continue;
                }
                if lane.queue.push(state.entry, now_ms).is_err() {
                    let decision = state.attempts.end(now_ms);
                    self.requests.remove(&parked.id);
                    directed.push(Directed {
                        id: parked.id,
                        verdict: verdict(decision),
                    });
                }
            }
            lane.note_waiting(now_ms);
        }
        directed
    }

    fn assign(&mut self, pool: &PoolName, now_ms: u64) -> Option<Directed> {
        let service = self.most_urgent(pool)?;
        let route = self.routes.get_mut(pool)?;
        // A slot is made sure of before the request leaves its queue.
        let plain = Wish {
            tried: &[],
            may_try: false,
        };
        let running = route.acquire(plain, now_ms);
        let lane = self.lanes.get_mut(&service)?;
        let entry = match running {
            Some(_) => lane.queue.pop(now_ms),
            None => None,
        };
        lane.note_waiting(now_ms);
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
        let running = improve(route, state, running, now_ms);
        start(route, state, running, now_ms)
    }

    /// The pool's service whose first request has the earliest deadline.
    fn most_urgent(&self, pool: &PoolName) -> Option<ServiceName> {
        self.lanes
            .values()
            .filter(|lane| &lane.service.pool == pool)
            .filter_map(|lane| Some((lane.queue.earliest_deadline_ms()?, &lane.service.name)))
            .min()
            .map(|(_, service)| service.clone())
    }

    fn report_demand(&mut self, pool: &PoolName) {
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
            // The free slots are at endpoints that failed the retries.
            queued += parked + route.borrower.free();
        }
        route.borrower.set_demand(queued, earliest_deadline_ms);
        let limited = route.borrower.is_short();
        for lane in self.lanes.values_mut() {
            if &lane.service.pool == pool {
                lane.queue.set_limited(limited);
            }
        }
    }

    fn end_run(&mut self, state: &mut RequestState, outcome: Outcome, now_ms: u64) {
        let Some(running) = state.running.take() else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&state.service) {
            lane.running -= 1;
            if outcome == Outcome::Succeeded {
                lane.queue
                    .record_service(now_ms.saturating_sub(running.started_ms));
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
            self.signs.push(endpoint.clone());
        }
    }
}

/// Gives a request its slot.
fn start(
    route: &Route,
    state: &mut RequestState,
    running: Running,
    now_ms: u64,
) -> Option<Directed> {
    let endpoint = route.endpoint(&running.slot.endpoint)?;
    let assignment = Assignment {
        endpoint: endpoint.instance.clone(),
        address: endpoint.address,
        start_by_ms: (now_ms + SEND_WITHIN_MS).min(state.entry.deadline_ms),
    };
    state.tried.push(endpoint.instance.clone());
    state.running = Some(running);
    Some(Directed {
        id: state.entry.id,
        verdict: Verdict::Send(assignment),
    })
}

fn entry_of(request: &NewRequest) -> RequestEntry {
    RequestEntry {
        id: request.id,
        deadline_ms: request.deadline_ms,
        body_bytes: request.body_bytes,
    }
}

/// Exchanges a slot for one that suits the request better, if there is one.
fn improve(route: &mut Route, state: &RequestState, running: Running, now_ms: u64) -> Running {
    let suits = !state.tried.contains(&running.slot.endpoint);
    let wish = Wish {
        tried: &state.tried,
        may_try: state.idempotent,
    };
    let better = if !suits {
        route.acquire(wish, now_ms)
    } else if wish.may_try {
        route.acquire_due_trial(now_ms)
    } else {
        None
    };
    match better {
        Some(better) => {
            withdraw_run(route, &running, now_ms);
            better
        }
        None => running,
    }
}

fn withdraw_run(route: &mut Route, running: &Running, now_ms: u64) {
    route.release(running, now_ms);
    route.health.record(
        &running.slot.endpoint,
        Outcome::Withdrawn,
        running.started_ms,
        now_ms,
    );
}

fn verdict(decision: Decision) -> Verdict {
    match decision {
        Decision::Answer => Verdict::Answer,
        Decision::RefuseNotRun(refusal) | Decision::RefuseUnknown(refusal) => {
            Verdict::Refuse(refusal)
        }
        // A retry is queued before a verdict is asked for.
        Decision::RetryElsewhere => Verdict::Refuse(Refusal::NoEndpoint),
    }
}
