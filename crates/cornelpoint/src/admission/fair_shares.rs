use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use crate::tenant::Tenants;

use super::pool_view::PoolView;

/// Time over which the service that a tenant has received is forgotten, where more is
/// admitted than can be in time. Without it the order of the queue forgets at each pass who
/// was served last, and the worst tenth of the tenants gets less than half as much.
const MEMORY_MS: u64 = 300;
/// Service, at the whole pool, by which tenants may differ and still count as even. Among
/// even ones priority and objective decide, so that shares cost few objectives.
const EVEN_MS: f64 = 100.0;
/// Longest time for which a tenant is owed jobs at once, where its weight is less than a job
/// a second.
const MAX_REFILL_MS: u64 = 1_000_000;
/// One job, in millionths: a tenant with a small weight is owed less than a thousandth of
/// one for each millisecond.
const JOB_MICRO: u64 = 1_000_000;
/// Weight of a tenant whose configured weight is 0, in thousandths.
const MIN_WEIGHT_MILLI: u64 = 1;

/// Whether a tenant is owed capacity for a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareClass {
    /// The job is within its tenant's weight in jobs a second.
    #[default]
    Owed,
    /// The job is beyond it, and waits for capacity that is owed to nobody.
    Excess,
}

/// A step that waits for workers, for the order of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedStep<'a, K> {
    /// What stands for the step in the result.
    pub key: K,
    /// Tenant of the job.
    pub tenant: Option<&'a str>,
    /// Whether the tenant is owed capacity for the job.
    pub class: ShareClass,
    /// Priority of the job; 0 comes first.
    pub priority: u32,
    /// Work of the waiting tasks, in core-milliseconds of the dominant resource.
    pub dominant_core_ms: u64,
}

/// Shares of tenants in a pool, by weight, of the dominant resource.
///
/// Capacity is divided as if each tenant with work were served at the same time in
/// proportion to its weight. Service received lately counts with what waits, so that a
/// tenant that has just been served doesn't go first again.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    by_tenant: BTreeMap<String, TenantShare>,
    /// Jobs without a tenant, or of one that the configuration no longer names.
    others: TenantShare,
    /// Time over which service is forgotten; 0 if none counts.
    memory_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct TenantShare {
    weight_milli: u64,
    /// Jobs that the tenant is still owed at `refilled_ms`, in millionths.
    owed_micro: u64,
    refilled_ms: u64,
    /// Service received, in core-milliseconds, as of `served_ms`.
    served_core_ms: f64,
    served_ms: u64,
}

impl Default for TenantShare {
    fn default() -> Self {
        Self {
            weight_milli: MIN_WEIGHT_MILLI,
            owed_micro: JOB_MICRO,
            refilled_ms: 0,
            served_core_ms: 0.0,
            served_ms: 0,
        }
    }
}

impl TenantShare {
    fn served_core_ms(&self, memory_ms: u64, now_ms: u64) -> f64 {
        if memory_ms == 0 {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.served_ms);
        self.served_core_ms * (-float(age_ms) / float(memory_ms)).exp()
    }

    fn weight(&self) -> f64 {
        float(self.weight_milli)
    }
}

impl FairShares {
    /// Creates shares without tenants. `is_admission_tight` says whether no more is admitted
    /// than can be in time; then only waiting work counts, not service received lately.
    #[must_use]
    pub fn new(is_admission_tight: bool) -> Self {
        Self {
            memory_ms: if is_admission_tight { 0 } else { MEMORY_MS },
            ..Self::default()
        }
    }

    /// Applies the tenants of a configuration. What is known of a tenant is kept.
    pub fn set_tenants(&mut self, tenants: &Tenants) {
        let mut earlier = std::mem::take(&mut self.by_tenant);
        let mut total_milli = 0;
        for tenant in tenants.iter() {
            let mut share = earlier.remove(&tenant.name).unwrap_or_default();
            share.weight_milli = tenant.weight_milli.max(MIN_WEIGHT_MILLI);
            total_milli += share.weight_milli;
            self.by_tenant.insert(tenant.name.clone(), share);
        }
        let count = self.by_tenant.len().max(1) as u64;
        self.others.weight_milli = (total_milli / count).max(MIN_WEIGHT_MILLI);
    }

    /// Whether the configuration has tenants; otherwise there are no shares.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.by_tenant.is_empty()
    }

    /// Counts a job that is submitted for the first time, and returns whether its tenant is
    /// owed capacity for it: up to `weight` jobs a second.
    ///
    /// ```
    /// use cornelpoint::admission::FairShares;
    /// use cornelpoint::admission::ShareClass;
    /// use cornelpoint::job::Resources;
    /// use cornelpoint::tenant::RawTenant;
    /// use cornelpoint::tenant::Tenants;
    ///
    /// let raw = RawTenant {
    ///     name: "north".to_owned(),
    ///     keys: Vec::new(),
    ///     weight_milli: 1000,
    ///     limit: Resources::default(),
    /// };
    /// let mut shares = FairShares::new(false);
    /// shares.set_tenants(&Tenants::check(vec![Some(raw)]));
    /// assert_eq!(shares.count_job(Some("north"), 5000), ShareClass::Owed);
    /// assert_eq!(shares.count_job(Some("north"), 5500), ShareClass::Excess);
    /// assert_eq!(shares.count_job(Some("north"), 6000), ShareClass::Owed);
    /// ```
    pub fn count_job(&mut self, tenant: Option<&str>, now_ms: u64) -> ShareClass {
        let Some(share) = tenant.and_then(|name| self.by_tenant.get_mut(name)) else {
            return ShareClass::Owed;
        };
        let elapsed_ms = now_ms.saturating_sub(share.refilled_ms).min(MAX_REFILL_MS);
        let burst_micro = (share.weight_milli * 1000).max(JOB_MICRO);
        let refill_micro = share.weight_milli * elapsed_ms;
        share.owed_micro = (share.owed_micro + refill_micro).min(burst_micro);
        share.refilled_ms = now_ms;
        if share.owed_micro < JOB_MICRO {
            return ShareClass::Excess;
        }
        share.owed_micro -= JOB_MICRO;
        ShareClass::Owed
    }

    /// Records that tasks of a tenant start, with their expected work.
    pub fn record_started(&mut self, tenant: Option<&str>, dominant_core_ms: u64, now_ms: u64) {
        let share = tenant.and_then(|name| self.by_tenant.get_mut(name));
        let share = share.unwrap_or(&mut self.others);
        share.served_core_ms =
            share.served_core_ms(self.memory_ms, now_ms) + float(dominant_core_ms);
        share.served_ms = now_ms;
    }

    /// Returns the accepted work that goes before a new job, in core-milliseconds.
    ///
    /// The job starts once its tenant has got its own earlier work. By then each other
    /// tenant has got as much in proportion to its weight, at most all its work. The job's
    /// own work doesn't count, since one job of a small tenant exceeds its share for seconds.
    #[must_use]
    pub fn work_before(
        &self,
        tenant: Option<&str>,
        class: ShareClass,
        view: &PoolView,
        now_ms: u64,
    ) -> u64 {
        let own_name = tenant.filter(|name| self.by_tenant.contains_key(*name));
        let own_name = own_name.unwrap_or_default();
        let own = self.share(own_name);
        let own_backlog = view.tenants.get(own_name).copied().unwrap_or_default();
        let own_work = float(own_backlog.of(class)) + own.served_core_ms(self.memory_ms, now_ms);
        let level = own_work / own.weight();
        let mut before = own_backlog.of(class);
        for (name, backlog) in &view.tenants {
            if class == ShareClass::Excess {
                before += backlog.owed_core_ms;
            }
            if name == own_name {
                continue;
            }
            let other = self.share(name);
            let reached = level * other.weight() - other.served_core_ms(self.memory_ms, now_ms);
            before += backlog.of(class).min(rounded(reached.max(0.0)));
        }
        before
    }

    /// Returns whether a tenant has more accepted work for its weight than the average of
    /// the tenants with work.
    #[must_use]
    pub fn is_beyond_share(&self, tenant: Option<&str>, view: &PoolView) -> bool {
        let name = tenant.unwrap_or_default();
        let (mut work, mut weight) = (0, 0);
        for (name, backlog) in &view.tenants {
            work += backlog.owed_core_ms + backlog.excess_core_ms;
            weight += self.share(name).weight_milli;
        }
        let own = view.tenants.get(name).copied().unwrap_or_default();
        let own_work = own.owed_core_ms + own.excess_core_ms;
        own_work.saturating_mul(weight) > work.saturating_mul(self.share(name).weight_milli)
    }

    /// Orders waiting steps by the shares of their tenants. Steps of a tenant keep their
    /// order within a class.
    #[must_use]
    pub fn order<K: Copy + Ord>(
        &self,
        steps: Vec<QueuedStep<'_, K>>,
        free_millicores: u64,
        now_ms: u64,
    ) -> Vec<K> {
        let mut queues: BTreeMap<(&str, ShareClass), VecDeque<QueuedStep<'_, K>>> = BTreeMap::new();
        let count = steps.len();
        for step in steps {
            let known = step
                .tenant
                .filter(|name| self.by_tenant.contains_key(*name));
            let queue = queues.entry((known.unwrap_or_default(), step.class));
            queue.or_default().push_back(step);
        }
        let waiting: BTreeMap<&str, f64> = queues
            .keys()
            .map(|&(name, _)| (name, self.share(name).weight()))
            .collect();
        let total_weight: f64 = waiting.values().sum();
        let even = EVEN_MS * float(free_millicores) / 1000.0 / total_weight.max(1.0);
        let mut levels: BTreeMap<&str, f64> = waiting
            .iter()
            .map(|(&name, weight)| {
                (
                    name,
                    self.share(name).served_core_ms(self.memory_ms, now_ms) / weight,
                )
            })
            .collect();
        let rank = |level: f64, step: &QueuedStep<'_, K>| {
            let even_level = rounded(level / even.max(f64::MIN_POSITIVE));
            (step.class, even_level, step.priority, step.key)
        };
        let mut heads = BinaryHeap::new();
        for (&(name, class), queue) in &queues {
            if let Some(step) = queue.front() {
                heads.push(Reverse((rank(levels[name], step), name, class)));
            }
        }
        let mut ordered = Vec::with_capacity(count);
        while let Some(Reverse((_, name, class))) = heads.pop() {
            let Some(queue) = queues.get_mut(&(name, class)) else {
                continue;
            };
            let Some(step) = queue.pop_front() else {
                continue;
            };
            ordered.push(step.key);
            let level = levels.entry(name).or_default();
            *level += float(step.dominant_core_ms) / waiting[name];
            if let Some(next) = queue.front() {
                heads.push(Reverse((rank(*level, next), name, class)));
            }
        }
        ordered
    }

    fn share(&self, name: &str) -> &TenantShare {
        self.by_tenant.get(name).unwrap_or(&self.others)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "work and weights are far below 2^52"
)]
fn float(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "work and levels are positive; the conversion saturates"
)]
fn rounded(value: f64) -> u64 {
    value as u64
}
