use std::collections::BTreeMap;
use std::collections::HashMap;

use super::assigning::action_for;
use super::assignment::DispatchAction;
use super::assignment::RequestAction;
use super::dispatcher_dump::DispatcherDump;
use super::dispatcher_dump::LaneDump;
use super::exchange::Exchange;
use super::exchange::ExchangeResult;
use super::lane::Lane;
use super::lane::ParkedRetry;
use super::new_request::NewRequest;
use super::request_state::RequestState;
use super::route::Route;
use super::send_report::SendReport;
use crate::configuration::Configuration;
use crate::ejection::Outcome;
use crate::membership::Member;
use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::queue::RequestEntry;
use crate::replication::ReplicatedState;
use crate::request::Refusal;
use crate::retry::Attempts;
use crate::retry::Decision;

/// Identity and location of the gateway that a dispatcher serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatcherSettings {
    /// Instance of the gateway.
    pub gateway: InstanceId,
    /// Incarnation of the gateway process: its start time, in milliseconds
    /// since the Unix epoch. A higher value is newer.
    pub incarnation: u64,
    /// Availability zone of the gateway.
    pub availability_zone: AvailabilityZone,
}

/// Queues the requests of one gateway and assigns them to endpoints.
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
    pub(super) settings: DispatcherSettings,
    pub(super) lanes: BTreeMap<ServiceName, Lane>,
    pub(super) routes: BTreeMap<PoolName, Route>,
    pub(super) requests: HashMap<u64, RequestState>,
    pub(super) leaving_endpoints: Vec<InstanceId>,
}

impl Dispatcher {
    /// Creates a dispatcher without services or pools.
    #[must_use]
    pub fn new(settings: DispatcherSettings) -> Self {
        Self {
            settings,
            lanes: BTreeMap::new(),
            routes: BTreeMap::new(),
            requests: HashMap::new(),
            leaving_endpoints: Vec::new(),
        }
    }

    // Queries.

    /// Returns the number of requests that are waiting or running.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns a snapshot of the whole state.
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

    /// Applies a configuration. Waiting and running requests of services that
    /// it no longer contains are still served.
    pub fn configure(
        &mut self,
        configuration: &Configuration,
        replicated: &ReplicatedState,
        now_ms: u64,
    ) {
        for pool in &configuration.pools {
            self.routes
                .entry(pool.name.clone())
                .or_insert_with(|| Route::new(pool.name.clone(), &self.settings, now_ms))
                .configure(pool, replicated, &self.settings, now_ms);
        }
        for service in &configuration.services {
            self.lanes
                .entry(service.name.clone())
                .or_insert_with(|| Lane::new(service.clone()))
                .update(service);
        }
        let is_configured = |lane: &Lane| {
            configuration
                .services
                .iter()
                .any(|service| service.name == lane.service.name)
        };
        self.lanes
            .retain(|_, lane| is_configured(lane) || !lane.queue.is_empty() || lane.running > 0);
    }

    /// Updates which endpoints accept work.
    pub fn update_endpoint_states(&mut self, replicated: &ReplicatedState, now_ms: u64) {
        for route in self.routes.values_mut() {
            route.update_endpoint_states(replicated, now_ms);
        }
    }

    /// Recomputes the slot holder of each pool and availability zone from the
    /// present members.
    pub fn set_members(&mut self, members: &[Member]) {
        for route in self.routes.values_mut() {
            route.update_holders(members);
        }
    }

    /// Queues a request; `dispatch` returns its first action.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected; it has not run.
    pub fn enqueue(&mut self, request: NewRequest, now_ms: u64) -> Result<(), Refusal> {
        let entry = entry_of(&request);
        let lane = self.lane_with_endpoint(&request)?;
        lane.queue.push(entry, now_ms)?;
        lane.budget.record_first_attempt(now_ms);
        lane.update_waiting_since(now_ms);
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

    /// Checks whether `enqueue` would accept a request now.
    ///
    /// # Errors
    ///
    /// Same as for `enqueue`.
    pub fn check(&mut self, request: &NewRequest, now_ms: u64) -> Result<(), Refusal> {
        let entry = entry_of(request);
        self.lane_with_endpoint(request)?
            .queue
            .check_admission(entry, now_ms)
    }

    /// Assigns waiting requests to free slots, earliest deadline first, and
    /// rejects those that can no longer meet their deadline.
    pub fn dispatch(&mut self, now_ms: u64) -> Vec<RequestAction> {
        let mut actions = self.expire(now_ms);
        actions.extend(self.assign_parked(now_ms));
        let pools: Vec<PoolName> = self.routes.keys().cloned().collect();
        for pool in &pools {
            if let Some(route) = self.routes.get_mut(pool) {
                route.avoid_ejected(now_ms);
            }
            while let Some(next) = self.assign(pool, now_ms) {
                actions.push(next);
            }
            self.report_demand(pool, now_ms);
        }
        actions
    }

    /// Records how a send ended and returns the next action; `None` when the
    /// request waits for another endpoint.
    pub fn complete(&mut self, id: u64, report: SendReport, now_ms: u64) -> Option<DispatchAction> {
        let mut state = self.requests.remove(&id)?;
        self.end_run(&mut state, report.outcome(), now_ms);
        let Some(lane) = self.lanes.get_mut(&state.service) else {
            return Some(action_for(state.attempts.final_decision(now_ms)));
        };
        let decision = state
            .attempts
            .decide(report.result, now_ms, &mut lane.budget);
        if decision != Decision::RetryElsewhere {
            return Some(action_for(decision));
        }
        let route = self.routes.get(&lane.service.pool);
        if route.is_some_and(|route| route.has_untried(&state.tried, now_ms)) {
            lane.parked.push(ParkedRetry {
                id,
                since_ms: now_ms,
            });
        } else if lane.queue.push(state.entry, now_ms).is_err() {
            return Some(action_for(state.attempts.final_decision(now_ms)));
        }
        lane.update_waiting_since(now_ms);
        self.requests.insert(id, state);
        None
    }

    /// Removes a request that is waiting, or that was assigned but not sent,
    /// and that will not be sent.
    pub fn withdraw(&mut self, id: u64, now_ms: u64) {
        let Some(mut state) = self.requests.remove(&id) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&state.service) {
            lane.queue.remove(id);
            lane.parked.retain(|parked| parked.id != id);
            lane.update_waiting_since(now_ms);
        }
        self.end_run(&mut state, Outcome::Withdrawn, now_ms);
    }

    /// Returns the slot requests that are due, each with its holder.
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

    /// Applies the result of a slot request.
    pub fn apply_exchange_result(&mut self, result: &ExchangeResult, now_ms: u64) {
        let Some(route) = self.routes.get_mut(&result.pool) else {
            return;
        };
        let zone = &result.availability_zone;
        match &result.reply {
            Some(reply) => route.borrower.apply(zone, reply, now_ms),
            None => route.borrower.exchange_failed(zone, now_ms),
        }
    }

    /// Returns the endpoints that announced since the last call that they are
    /// leaving.
    pub fn take_leaving_endpoints(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.leaving_endpoints)
    }

    fn lane_with_endpoint(&mut self, request: &NewRequest) -> Result<&mut Lane, Refusal> {
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
}

fn entry_of(request: &NewRequest) -> RequestEntry {
    RequestEntry {
        id: request.id,
        deadline_ms: request.deadline_ms,
        body_bytes: request.body_bytes,
    }
}
