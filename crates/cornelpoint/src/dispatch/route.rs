use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::dispatcher::DispatcherSettings;
use super::dispatcher_dump::RouteDump;
use super::dispatcher_dump::ZoneDump;
use super::request_state::Running;
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

/// Time between two looks for endpoints to avoid, in milliseconds.
const AVOID_INTERVAL_MS: u64 = 20;

/// One pool at a gateway: its endpoints, their health, and the lent slots.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) pool: PoolName,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(super) health: EndpointHealth,
    pub(super) borrower: PoolBorrower,
    pub(super) holders: BTreeMap<AvailabilityZone, SocketAddr>,
    accepting: usize,
    next_avoid_ms: u64,
}

/// What a request asks of a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish<'a> {
    /// Endpoints that already failed the request; others are better.
    pub(super) tried: &'a [InstanceId],
    /// Whether the request may serve as an endpoint's trial.
    pub(super) may_try: bool,
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
            accepting: 0,
            next_avoid_ms: 0,
        }
    }

    // Queries.

    /// Whether any endpoint takes new work, as far as is known.
    pub(super) fn has_endpoint(&self) -> bool {
        self.accepting > 0
    }

    /// Free slots that are kept for a trial of their endpoint.
    pub(super) fn free_for_trial(&self, now_ms: u64) -> u32 {
        let trial = |instance: &InstanceId| self.health.verdict(instance, now_ms) != Verdict::Take;
        self.borrower.free_at(&trial)
    }

    /// Whether a healthy endpoint has not been tried.
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
        facts: &ReplicatedState,
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
        self.update_endpoint_states(facts, now_ms);
    }

    /// Takes in which endpoints accept work.
    pub(super) fn update_endpoint_states(&mut self, facts: &ReplicatedState, now_ms: u64) {
        self.accepting = 0;
        for instance in self.endpoints.keys() {
            let accepts = facts.accepts_work(instance);
            let state = if accepts {
                InstanceState::Live
            } else {
                InstanceState::Leaving
            };
            self.accepting += usize::from(accepts);
            self.health
                .observe(instance, facts.work_epoch(instance), state);
        }
        for zone in self.zones() {
            let endpoints: Vec<HolderEndpoint> = self
                .endpoints
                .values()
                .filter(|endpoint| endpoint.availability_zone == zone)
                .map(|endpoint| HolderEndpoint {
                    instance: endpoint.instance.clone(),
                    epoch: facts.work_epoch(&endpoint.instance),
                    slots: endpoint.slots,
                    accepts_work: facts.accepts_work(&endpoint.instance),
                })
                .collect();
            self.borrower.set_endpoints(&zone, &endpoints, now_ms);
        }
    }

    pub(super) fn find_holders(&mut self, members: &[Member]) {
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

    /// Slots of endpoints that are avoided go back to their holders. The walk
    /// over all endpoints is made at intervals.
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

    /// Takes a slot: a trial first where one is due, then an endpoint that
    /// has not failed the request, then any healthy one.
    pub(super) fn acquire(&mut self, wish: Wish<'_>, now_ms: u64) -> Option<Running> {
        if wish.may_try
            && let Some(running) = self.acquire_due_trial(now_ms)
        {
            return Some(running);
        }
        let untried = self.acquire_healthy(wish.tried, now_ms);
        untried.or_else(|| self.acquire_healthy(&[], now_ms))
    }

    pub(super) fn release(&mut self, running: &Running, now_ms: u64) {
        self.borrower.release(&running.slot, now_ms);
    }

    pub(super) fn acquire_due_trial(&mut self, now_ms: u64) -> Option<Running> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| health.verdict(instance, now_ms) != Verdict::Trial;
        let slot = self.borrower.acquire(&excluded, now_ms)?;
        self.health.start_trial(&slot.endpoint, now_ms);
        Some(self.running(slot, now_ms))
    }

    pub(super) fn acquire_healthy(&mut self, tried: &[InstanceId], now_ms: u64) -> Option<Running> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| {
            tried.contains(instance) || health.verdict(instance, now_ms) != Verdict::Take
        };
        let slot = self.borrower.acquire(&excluded, now_ms)?;
        self.health.record_start(&slot.endpoint, now_ms);
        Some(self.running(slot, now_ms))
    }

    fn running(&self, slot: SlotPermit, now_ms: u64) -> Running {
        Running {
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
