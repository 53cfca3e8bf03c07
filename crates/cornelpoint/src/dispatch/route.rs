use std::collections::BTreeMap;
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
use crate::slots::Borrower;
use crate::slots::BorrowerSettings;
use crate::slots::HolderEndpoint;
use crate::slots::SlotUse;
use crate::spread::Facts;

/// Slots of one pool in one availability zone.
#[derive(Debug)]
pub(super) struct ZoneRoute {
    pub(super) availability_zone: AvailabilityZone,
    pub(super) borrower: Borrower,
    pub(super) holder: Option<SocketAddr>,
    is_own: bool,
}

/// One pool at a gateway: its endpoints, their health, and the lent slots.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) pool: PoolName,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(super) health: EndpointHealth,
    /// The own zone first.
    pub(super) zones: Vec<ZoneRoute>,
    accepting: usize,
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
    pub(super) fn new(pool: PoolName) -> Self {
        Self {
            pool,
            endpoints: BTreeMap::new(),
            health: EndpointHealth::new(),
            zones: Vec::new(),
            accepting: 0,
        }
    }

    // Queries.

    /// Whether any endpoint takes new work, as far as is known.
    pub(super) fn has_endpoint(&self) -> bool {
        self.accepting > 0
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
                .zones
                .iter()
                .map(|zone| ZoneDump {
                    availability_zone: zone.availability_zone.clone(),
                    holder: zone.holder,
                    borrower: zone.borrower.dump(now_ms),
                })
                .collect(),
        }
    }

    // Commands.

    pub(super) fn configure(
        &mut self,
        pool: &Pool,
        facts: &Facts,
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
        self.mark(facts, now_ms);
    }

    /// Takes in which endpoints accept work.
    pub(super) fn mark(&mut self, facts: &Facts, now_ms: u64) {
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
        for zone in &mut self.zones {
            let endpoints: Vec<HolderEndpoint> = self
                .endpoints
                .values()
                .filter(|endpoint| endpoint.availability_zone == zone.availability_zone)
                .map(|endpoint| HolderEndpoint {
                    instance: endpoint.instance.clone(),
                    epoch: facts.work_epoch(&endpoint.instance),
                    slots: endpoint.slots,
                    accepts_work: facts.accepts_work(&endpoint.instance),
                })
                .collect();
            zone.borrower.set_endpoints(&endpoints, now_ms);
        }
    }

    pub(super) fn find_holders(&mut self, members: &[Member]) {
        for zone in &mut self.zones {
            let candidates: Vec<&Member> = members
                .iter()
                .filter(|member| member.availability_zone == zone.availability_zone)
                .collect();
            let instances = candidates.iter().map(|member| &member.instance);
            let chosen = slot_holder(&self.pool, &zone.availability_zone, instances);
            zone.holder = candidates
                .iter()
                .find(|member| Some(&member.instance) == chosen)
                .map(|member| member.keeper_address);
        }
    }

    /// Asks the own zone first and the others when it gives less than is
    /// wanted.
    pub(super) fn set_demand(&mut self, queued: u32, earliest_deadline_ms: Option<u64>) {
        let mut short = true;
        for zone in &mut self.zones {
            let wanted = if short { queued } else { 0 };
            zone.borrower
                .set_demand(wanted, earliest_deadline_ms.filter(|_| wanted > 0));
            if zone.is_own {
                short = zone.holder.is_none() || zone.borrower.is_short();
            }
        }
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
        let zone = self
            .zones
            .iter_mut()
            .find(|zone| zone.availability_zone == running.availability_zone);
        if let Some(zone) = zone {
            zone.borrower.release(&running.slot, now_ms);
        }
    }

    pub(super) fn endpoint_leaves(&mut self, instance: &InstanceId, now_ms: u64) {
        for zone in &mut self.zones {
            zone.borrower.endpoint_leaves(instance, now_ms);
        }
    }

    pub(super) fn acquire_due_trial(&mut self, now_ms: u64) -> Option<Running> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| health.verdict(instance, now_ms) != Verdict::Trial;
        let running = acquire_in(&self.pool, &mut self.zones, &excluded, now_ms)?;
        self.health.start_trial(&running.slot.endpoint, now_ms);
        Some(running)
    }

    fn acquire_healthy(&mut self, tried: &[InstanceId], now_ms: u64) -> Option<Running> {
        let health = &self.health;
        let excluded = |instance: &InstanceId| {
            tried.contains(instance) || health.verdict(instance, now_ms) != Verdict::Take
        };
        let running = acquire_in(&self.pool, &mut self.zones, &excluded, now_ms)?;
        self.health.record_start(&running.slot.endpoint, now_ms);
        Some(running)
    }

    fn add_zones(&mut self, settings: &DispatcherSettings, now_ms: u64) {
        for endpoint in self.endpoints.values() {
            let zone = &endpoint.availability_zone;
            if self
                .zones
                .iter()
                .any(|known| &known.availability_zone == zone)
            {
                continue;
            }
            let is_own = zone == &settings.availability_zone;
            let new = ZoneRoute {
                availability_zone: zone.clone(),
                borrower: Borrower::new(borrower_settings(settings, &self.pool, zone), now_ms),
                holder: None,
                is_own,
            };
            self.zones.push(new);
        }
        self.zones.sort_by_key(|zone| !zone.is_own);
    }
}

fn borrower_settings(
    settings: &DispatcherSettings,
    pool: &PoolName,
    zone: &AvailabilityZone,
) -> BorrowerSettings {
    let make = if zone == &settings.availability_zone {
        BorrowerSettings::for_own_zone
    } else {
        BorrowerSettings::for_other_zone
    };
    make(
        settings.gateway.clone(),
        settings.incarnation,
        pool.clone(),
        zone.clone(),
    )
}

fn acquire_in(
    pool: &PoolName,
    zones: &mut [ZoneRoute],
    excluded: &dyn Fn(&InstanceId) -> bool,
    now_ms: u64,
) -> Option<Running> {
    zones.iter_mut().find_map(|zone| {
        let slot: SlotUse = zone.borrower.acquire(excluded, now_ms)?;
        Some(Running {
            slot,
            pool: pool.clone(),
            availability_zone: zone.availability_zone.clone(),
            started_ms: now_ms,
        })
    })
}
