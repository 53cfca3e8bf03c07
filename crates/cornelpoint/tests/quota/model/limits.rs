use cornelpoint::job::Resources;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;

use super::world::CONFIGURATION_MS;
use super::world::TENANTS;

/// The operator's configurations, oldest first.
#[derive(Debug)]
pub(super) struct Configurations {
    all: Vec<Configuration>,
}

#[derive(Clone, Debug)]
pub(super) struct Configuration {
    pub(super) version: u64,
    committed_ms: u64,
    limits: Vec<Resources>,
}

impl Configuration {
    pub(super) fn tenants(&self) -> Tenants {
        let raw = TENANTS.iter().zip(&self.limits).map(|(name, limit)| {
            Some(RawTenant {
                name: (*name).to_owned(),
                keys: Vec::new(),
                weight_milli: 1000,
                limit: *limit,
            })
        });
        Tenants::check(raw.collect())
    }
}

impl Configurations {
    pub(super) fn new(limits: Vec<Resources>) -> Self {
        let mut configurations = Self { all: Vec::new() };
        configurations.commit(limits, 0);
        configurations
    }

    pub(super) fn commit(&mut self, limits: Vec<Resources>, now_ms: u64) {
        self.all.push(Configuration {
            version: self.all.len() as u64 + 1,
            committed_ms: now_ms,
            limits,
        });
    }

    pub(super) fn newest_at(&self, at_ms: u64) -> Configuration {
        let known = self.all.iter().rev();
        let mut known = known.filter(|configuration| configuration.committed_ms <= at_ms);
        known.next().unwrap_or(&self.all[0]).clone()
    }

    pub(super) fn changed_ms(&self) -> u64 {
        self.all.last().unwrap().committed_ms
    }

    pub(super) fn newest_limits(&self) -> Vec<Resources> {
        self.all.last().unwrap().limits.clone()
    }

    /// Returns the highest limit of a tenant among the configurations that may have been in
    /// force at some time from `since_ms` to `now_ms`.
    pub(super) fn highest_limit(&self, tenant: usize, since_ms: u64, now_ms: u64) -> Resources {
        let ends = self.all.iter().skip(1).map(|next| next.committed_ms);
        let ends = ends.chain([u64::MAX]);
        let in_force = self.all.iter().zip(ends).filter(|(one, end_ms)| {
            one.committed_ms <= now_ms && end_ms.saturating_add(CONFIGURATION_MS) >= since_ms
        });
        let limits = in_force.map(|(one, _)| one.limits[tenant]);
        limits.fold(Resources::default(), |highest, limit| Resources {
            cpu_millicores: highest_of(highest.cpu_millicores, limit.cpu_millicores),
            memory_mb: highest_of(highest.memory_mb, limit.memory_mb),
            accelerators: 0,
        })
    }
}

/// Returns the higher limit; `u64::MAX` stands for none.
fn highest_of(highest: u64, limit: u64) -> u64 {
    highest.max(if limit == 0 { u64::MAX } else { limit })
}
