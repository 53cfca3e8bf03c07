//! The slot holders in a keeper's state: which pools this keeper holds the slots
//! of, and how it answers requests for them.

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Pool;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::rendezvous::slot_holder;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderEndpoint;
use cornelpoint::slots::HolderSettings;
use cornelpoint::slots::SlotRequest;
use cornelpoint::slots::holder_term;

use super::command::DrainAnswer;
use super::keeper_dump::HolderEntry;
use super::state::State;
use crate::message::DrainReport;
use crate::message::SlotAnswer;
use crate::message::SlotExchange;
use crate::message::SlotExchangeReply;

/// Longest request deadline assumed while no configuration is known or a pool
/// has no service.
const DEFAULT_MAX_DEADLINE_MS: u64 = 30_000;

/// Identifies a holder: the pool and availability zone whose slots it lends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HolderKey {
    pool: PoolName,
    availability_zone: AvailabilityZone,
}

impl State {
    pub(super) fn drain_answer(&self, instance: &InstanceId, now_ms: u64) -> DrainAnswer {
        let Some((pool, availability_zone)) = self.pool_and_zone_of(instance) else {
            return DrainAnswer::Unknown;
        };
        let Some(member) = self.holder_member(&pool, &availability_zone) else {
            return DrainAnswer::Unknown;
        };
        if member.instance != self.membership.own().instance {
            return DrainAnswer::HeldBy(member.keeper_address);
        }
        let key = HolderKey {
            pool,
            availability_zone,
        };
        let accepts_work = self.replicated.accepts_work(instance);
        let idle = self
            .holders
            .get(&key)
            .is_some_and(|holder| holder.is_drained(instance, now_ms));
        DrainAnswer::Report(DrainReport {
            instance: instance.clone(),
            accepts_work,
            drained: !accepts_work && idle,
        })
    }

    pub(super) fn exchange_slots(
        &mut self,
        exchange: &SlotExchange,
        now_ms: u64,
    ) -> SlotExchangeReply {
        let answers = exchange
            .requests
            .iter()
            .map(|request| self.slot_answer(request, now_ms))
            .collect();
        SlotExchangeReply { answers }
    }

    fn slot_answer(&mut self, request: &SlotRequest, now_ms: u64) -> SlotAnswer {
        let holder = self
            .holder_member(&request.pool, &request.availability_zone)
            .map(|member| member.instance.clone());
        if self.leaving || holder.as_ref() != Some(&self.membership.own().instance) {
            return SlotAnswer::NotHolder { holder };
        }
        let key = HolderKey {
            pool: request.pool.clone(),
            availability_zone: request.availability_zone.clone(),
        };
        self.ensure_holder(&key, now_ms);
        match self.holders.get_mut(&key) {
            Some(holder) => SlotAnswer::Lent(holder.exchange(request, now_ms)),
            None => SlotAnswer::NotHolder { holder: None },
        }
    }

    /// Creates the holders that rendezvous hashing assigns to this keeper, and
    /// drops those assigned to another, so that a holder that is assigned again
    /// later starts without old state.
    pub(super) fn update_holders(&mut self, now_ms: u64) {
        let own = self.membership.own();
        let keys: Vec<HolderKey> = self
            .replicated
            .configuration()
            .into_iter()
            .flat_map(|configuration| &configuration.pools)
            .map(|pool| HolderKey {
                pool: pool.name.clone(),
                availability_zone: own.availability_zone.clone(),
            })
            .collect();
        for key in keys {
            let holder = self.holder_member(&key.pool, &key.availability_zone);
            let is_own = holder.is_some_and(|member| &member.instance == self.own_instance());
            if is_own {
                self.ensure_holder(&key, now_ms);
            } else {
                self.holders.remove(&key);
            }
        }
    }

    fn ensure_holder(&mut self, key: &HolderKey, now_ms: u64) {
        if !self.holders.contains_key(key) {
            let holder = self.new_holder(key, now_ms);
            self.holders.insert(key.clone(), holder);
        }
    }

    fn new_holder(&self, key: &HolderKey, now_ms: u64) -> Holder {
        let settings = HolderSettings {
            lease_ms: self.slot_lease_ms,
            adopt_ms: self.slot_lease_ms,
            ..HolderSettings::for_max_deadline(self.max_deadline_ms(&key.pool))
        };
        let own = self.membership.own();
        let term = holder_term(&own.instance, own.incarnation, now_ms);
        let mut holder = Holder::new(settings, term, now_ms);
        holder.set_endpoints(&self.holder_endpoints(key), now_ms);
        holder
    }

    pub(super) fn refresh_holders(&mut self, now_ms: u64) {
        let keys: Vec<HolderKey> = self.holders.keys().cloned().collect();
        for key in keys {
            let endpoints = self.holder_endpoints(&key);
            if let Some(holder) = self.holders.get_mut(&key) {
                holder.set_endpoints(&endpoints, now_ms);
            }
        }
    }

    fn holder_endpoints(&self, key: &HolderKey) -> Vec<HolderEndpoint> {
        self.pool(&key.pool)
            .into_iter()
            .flat_map(|pool| &pool.endpoints)
            .filter(|endpoint| endpoint.availability_zone == key.availability_zone)
            .map(|endpoint| HolderEndpoint {
                instance: endpoint.instance.clone(),
                epoch: self.replicated.work_epoch(&endpoint.instance),
                slots: endpoint.slots,
                accepts_work: self.replicated.accepts_work(&endpoint.instance),
            })
            .collect()
    }

    fn max_deadline_ms(&self, pool: &PoolName) -> u64 {
        self.replicated
            .configuration()
            .into_iter()
            .flat_map(|configuration| &configuration.services)
            .filter(|service| &service.pool == pool)
            .map(|service| service.max_deadline_ms)
            .max()
            .unwrap_or(DEFAULT_MAX_DEADLINE_MS)
    }

    fn pool(&self, name: &PoolName) -> Option<&Pool> {
        let configuration: &Configuration = self.replicated.configuration()?;
        configuration.pools.iter().find(|pool| &pool.name == name)
    }

    fn pool_and_zone_of(&self, instance: &InstanceId) -> Option<(PoolName, AvailabilityZone)> {
        let configuration = self.replicated.configuration()?;
        configuration.pools.iter().find_map(|pool| {
            pool.endpoints
                .iter()
                .find(|endpoint| &endpoint.instance == instance)
                .map(|endpoint| (pool.name.clone(), endpoint.availability_zone.clone()))
        })
    }

    fn holder_member(
        &self,
        pool: &PoolName,
        availability_zone: &AvailabilityZone,
    ) -> Option<&Member> {
        let candidates: Vec<&Member> = self
            .membership
            .present()
            .filter(|member| &member.availability_zone == availability_zone)
            .collect();
        let instances = candidates.iter().map(|member| &member.instance);
        let chosen = slot_holder(pool, availability_zone, instances)?;
        candidates
            .iter()
            .copied()
            .find(|member| &member.instance == chosen)
    }

    pub(super) fn holder_entries(&self, now_ms: u64) -> Vec<HolderEntry> {
        self.holders
            .iter()
            .map(|(key, holder)| HolderEntry {
                pool: key.pool.clone(),
                availability_zone: key.availability_zone.clone(),
                holder: holder.dump(now_ms),
            })
            .collect()
    }
}
