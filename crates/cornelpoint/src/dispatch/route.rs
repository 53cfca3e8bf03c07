use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::dispatcher::DispatcherSettings;
use super::dispatcher_dump::RouteDump;
use super::dispatcher_dump::ZoneDump;
use super::request_state::Run;
use crate::configuration::Endpoint;
use crate::configuration::Pool;
use crate::ejection::EndpointHealth;
use crate::ejection::Verdict;
use crate::membership::Member;
use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::platform::InstanceState;
use crate::rendezvous::slot_holder;
use crate::replication::ReplicatedState;
use crate::slots::BorrowerSettings;
use crate::slots::HolderEndpoint;
use crate::slots::PoolBorrower;
use crate::slots::SlotPermit;

/// Interval at which the list of avoided endpoints is rebuilt, in milliseconds.
const AVOID_INTERVAL_MS: u64 = 20;

/// Endpoints, endpoint health and lent slots of one pool at a gateway.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) pool: PoolName,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(super) health: EndpointHealth,
    pub(super) borrower: PoolBorrower,
    pub(super) holders: BTreeMap<AvailabilityZone, SocketAddr>,
    accepting_endpoints: usize,
    next_avoid_ms: u64,
}

/// Slots that a request may use, and those that it prefers.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotPreference<'a> {
    /// Endpoints that already failed the request; others are preferred.
    pub(super) tried: &'a [InstanceId],
    /// Whether the request may be the trial request of an endpoint.
    pub(super) allow_trial: bool,
}

impl Route {
    pub(super) fn new(pool: PoolName, settings: &DispatcherSettings, now_ms: u64) -> Self {
        let own = BorrowerSettings::for_own_zone(
            settings.gateway.clone(),
            settings.incarnation,
            pool.clone(),
            settings.availability_zone.clone(),
        );
        Self {
            pool,
            endpoints: BTreeMap::new(),
            health: EndpointHealth::new(),
            borrower: PoolBorrower::new(own, Vec::new(), now_ms),
            holders: BTreeMap::new(),
            accepting_endpoints: 0,
            next_avoid_ms: 0,
        }
    }

    // Queries.

    /// Returns whether any endpoint accepts new work, as far as the gateway
    /// knows.
    pub(super) fn has_endpoint(&self) -> bool {
        self.accepting_endpoints > 0
    }

    /// Returns the number of free slots at endpoints that are not admitted; at
    /// most a trial request may use them.
    pub(super) fn free_for_trial(&self, now_ms: u64) -> u32 {
        let not_admitted =
            |instance: &InstanceId| self.health.verdict(instance, now_ms) != Verdict::Take;
        self.borrower.free_at(&not_admitted)
    }

    /// Returns whether there is a healthy endpoint that is not in `tried`.
    pub(super) fn has_untried(&self, tried: &[InstanceId], now_ms: u64) -> bool {
        self.endpoints.keys().any(|instance| {
            !tried.contains(instance) && self.health.verdict(instance, now_ms) == Verdict::Take
        })
    }

    pub(super) fn endpoint(&self, instance: &InstanceId) -> Option<&Endpoint> {
        self.endpoints.get(instance)
    }

    pub(super) fn dump(&self, now_ms: u64) -> RouteDump {
        RouteDump {
            pool: self.pool.clone(),
            endpoints: self.health.statuses(now_ms),
            service_fault: self.health.service_fault(),
            zones: self
                .borrower
                .dump(now_ms)
                .into_iter()
                .map(|borrower| ZoneDump {
                    holder: self.holders.get(&borrower.availability_zone).copied(),
                    borrower,
                })
                .collect(),
        }
    }

    // Commands.

    pub(super) fn configure(
        &mut self,
        pool: &Pool,
        replicated: &ReplicatedState,
        settings: &DispatcherSettings,
        now_ms: u64,
    ) {
        self.endpoints = pool
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.instance.clone(), endpoint.clone()))
            .collect();
        self.health.set_endpoints(&pool.endpoints);
        self.add_zones(settings, now_ms);
        self.update_endpoint_states(replicated, now_ms);
    }

    /// Updates which endpoints accept work.
    pub(super) fn update_endpoint_states(&mut self, replicated: &ReplicatedState, now_ms: u64) {
        self.accepting_endpoints = 0;
        for instance in self.endpoints.keys() {
            let accepts = replicated.accepts_work(instance);
            let state = if accepts {
                InstanceState::Live
            } else {
                InstanceState::Leaving
            };
            self.accepting_endpoints += usize::from(accepts);
            self.health
                .observe(instance, replicated.work_epoch(instance), state);
        }
        for zone in self.zones() {
            let endpoints: Vec<HolderEndpoint> = self
                .endpoints
                .values()
                .filter(|endpoint| endpoint.availability_zone == zone)
                .map(|endpoint| HolderEndpoint {
                    instance: endpoint.instance.clone(),
                    epoch: replicated.work_epoch(&endpoint.instance),
                    slots: endpoint.slots,
                    accepts_work: replicated.accepts_work(&endpoint.instance),
                })
                .collect();
            self.borrower.set_endpoints(&zone, &endpoints, now_ms);
        }
    }

    pub(super) fn update_holders(&mut self, members: &[Member]) {
        self.holders.clear();
        for zone in self.zones() {
            let candidates: Vec<&Member> = members
                .iter()
                .filter(|member| member.availability_zone == zone)
                .collect();
            let instances = candidates.iter().map(|member| &member.instance);
            let chosen = slot_holder(&self.pool, &zone, instances);
            let holder = candidates
                .iter()
                .find(|member| Some(&member.instance) == chosen);
            if let Some(holder) = holder {
                self.holders.insert(zone, holder.keeper_address);
            }
        }
    }

    /// Returns the slots of avoided endpoints to their holders. Does so only at
    /// intervals, since it visits all endpoints.
    pub(super) fn avoid_ejected(&mut self, now_ms: u64) {
        if now_ms < self.next_avoid_ms {
            return;
        }
        self.next_avoid_ms = now_ms + AVOID_INTERVAL_MS;
        let avoided: Vec<InstanceId> = self
            .endpoints
            .keys()
            .filter(|instance| self.health.verdict(instance, now_ms) == Verdict::Avoid)
            .cloned()
            .collect();
        self.borrower.set_avoided(&avoided);
    }

    /// Acquires a slot: for a trial that is due if the request may be one, else
    /// at a healthy endpoint that has not failed the request, else at any
    /// healthy endpoint.
    pub(super) fn acquire(&mut self, preference: SlotPreference<'_>, now_ms: u64) -> Option<Run> {
        if preference.allow_trial
            && let Some(running) = self.acquire_due_trial(now_ms)
        {
            return Some(running);
        }
        let untried = self.acquire_healthy(preference.tried, now_ms);
        untried.or_else(|| self.acquire_healthy(&[], now_ms))
    }

    pub(super) fn release(&mut self, running: &Run, now_ms: u64) {
        self.borrower.release(&running.slot, now_ms);
    }

    pub(super) fn acquire_due_trial(&mut self, now_ms: u64) -> Option<Run> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| health.verdict(instance, now_ms) != Verdict::Trial;
        let slot = self.borrower.acquire(&excluded, now_ms)?;
        self.health.start_trial(&slot.endpoint, now_ms);
        Some(self.running(slot, now_ms))
    }

    pub(super) fn acquire_healthy(&mut self, tried: &[InstanceId], now_ms: u64) -> Option<Run> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| {
            tried.contains(instance) || health.verdict(instance, now_ms) != Verdict::Take
        };
        let slot = self.borrower.acquire(&excluded, now_ms)?;
        self.health.record_start(&slot.endpoint, now_ms);
        Some(self.running(slot, now_ms))
    }

    fn running(&self, slot: SlotPermit, now_ms: u64) -> Run {
        Run {
            slot,
            pool: self.pool.clone(),
            started_ms: now_ms,
        }
    }

    fn zones(&self) -> BTreeSet<AvailabilityZone> {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.availability_zone.clone())
            .collect()
    }

    fn add_zones(&mut self, settings: &DispatcherSettings, now_ms: u64) {
        for zone in self.zones() {
            let zone = BorrowerSettings::for_other_zone(
                settings.gateway.clone(),
                settings.incarnation,
                self.pool.clone(),
                zone,
            );
            self.borrower.add_zone(zone, now_ms);
        }
    }
}
