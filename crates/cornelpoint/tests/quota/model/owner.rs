use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::job::Resources;
use cornelpoint::quota::PoolDemand;
use cornelpoint::quota::PoolQuota;
use cornelpoint::quota::TenantDemand;

use super::world::CAPACITY;
use super::world::CONFIGURATION_MS;
use super::world::Mutant;
use super::world::TENANTS;
use super::world::cores;

/// A run that an owner counts.
#[derive(Clone, Copy)]
pub(super) struct Reservation {
    pub(super) worker: usize,
    pub(super) tenant: usize,
    pub(super) need: Resources,
}

/// An owner of a pool, for one term.
pub(super) struct Owner {
    pub(super) fencing_token: u64,
    pub(super) quota: PoolQuota,
    /// The quota as it was some time ago, which the mutant `OldAllotment` asks.
    pub(super) old_quota: PoolQuota,
    pub(super) reservations: BTreeMap<u64, Reservation>,
    /// Workers of predecessors that have not reported yet.
    pub(super) unreported: BTreeSet<usize>,
    /// Until when it goes on although it may have a successor.
    pub(super) ends_ms: u64,
    /// Until when it reaches neither the store nor what is read from it.
    pub(super) cut_off_until_ms: u64,
}

impl Owner {
    pub(super) fn new(pool: &str, fencing_token: u64, unreported: BTreeSet<usize>) -> Self {
        let quota = PoolQuota::new(pool, fencing_token, CONFIGURATION_MS);
        Self {
            fencing_token,
            old_quota: quota.clone(),
            quota,
            reservations: BTreeMap::new(),
            unreported,
            ends_ms: u64::MAX,
            cut_off_until_ms: 0,
        }
    }

    pub(super) fn used(&self, tenant: usize) -> Resources {
        let runs = self.reservations.values();
        let runs = runs.filter(|run| run.tenant == tenant);
        runs.fold(Resources::default(), |used, run| used.plus(run.need))
    }

    /// Returns what workers may hold that have not reported.
    pub(super) fn unreported_use(&self, mutant: Option<Mutant>) -> Resources {
        if mutant == Some(Mutant::ForgottenPredecessor) {
            return Resources::default();
        }
        CAPACITY.times(self.unreported.len() as u64)
    }

    pub(super) fn has_room(
        &self,
        tenant: usize,
        need: Resources,
        mutant: Option<Mutant>,
        now_ms: u64,
    ) -> bool {
        let quota = match mutant {
            Some(Mutant::OldAllotment) => &self.old_quota,
            _ => &self.quota,
        };
        let unreported = self.unreported_use(mutant);
        let room = quota.room(TENANTS[tenant], self.used(tenant), unreported, now_ms);
        room.is_ok_and(|room| room.fits(Resources::default(), need))
    }

    pub(super) fn demand(
        &self,
        waiting: &[Resources],
        workers: usize,
        mutant: Option<Mutant>,
    ) -> PoolDemand {
        let tenants = waiting.iter().enumerate().map(|(tenant, &waiting)| {
            let demand = TenantDemand {
                used: self.used(tenant),
                waiting,
                // Need of the largest task.
                blocked: cores(3),
            };
            (TENANTS[tenant].to_owned(), demand)
        });
        PoolDemand {
            tenants: tenants.collect(),
            unreported: self.unreported_use(mutant),
            capacity: CAPACITY.times(workers as u64),
        }
    }
}
