use std::collections::HashMap;

use crate::job::Resources;

/// Number of a tenant within one scheduler.
pub type TenantIndex = usize;

/// What each tenant uses of a pool, kept up to date with each reservation.
///
/// ```
/// use cornelpoint::job::Resources;
/// use cornelpoint::quota::TenantUse;
///
/// let core = Resources { cpu_millicores: 1000, ..Resources::default() };
/// let mut tenants = TenantUse::default();
/// let north = tenants.index_of("north");
/// tenants.reserve(Some(north), core, false);
/// tenants.reserve(Some(north), core, true);
/// assert_eq!(tenants.used(north), core.times(2));
/// tenants.release(Some(north), core, false);
/// assert_eq!(tenants.used(north), core);
/// assert_eq!(tenants.used_by_lasting(north), core);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TenantUse {
    indexes: HashMap<String, TenantIndex>,
    tenants: Vec<(String, Use)>,
}

/// What one tenant uses.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    all: Resources,
    /// The part of it that tasks use which run until they are cancelled.
    lasting: Resources,
}

impl TenantUse {
    /// Returns the number of a tenant, which it gets on first use.
    pub fn index_of(&mut self, tenant: &str) -> TenantIndex {
        if let Some(&index) = self.indexes.get(tenant) {
            return index;
        }
        let index = self.tenants.len();
        self.indexes.insert(tenant.to_owned(), index);
        self.tenants.push((tenant.to_owned(), Use::default()));
        index
    }

    /// Counts the resources of one more run, whose task may last until it is cancelled.
    pub fn reserve(&mut self, tenant: Option<TenantIndex>, need: Resources, lasts: bool) {
        if let Some((_, used)) = tenant.and_then(|index| self.tenants.get_mut(index)) {
            used.all = used.all.plus(need);
            if lasts {
                used.lasting = used.lasting.plus(need);
            }
        }
    }

    /// Counts a run no longer.
    pub fn release(&mut self, tenant: Option<TenantIndex>, need: Resources, lasts: bool) {
        if let Some((_, used)) = tenant.and_then(|index| self.tenants.get_mut(index)) {
            used.all = used.all.minus(need);
            if lasts {
                used.lasting = used.lasting.minus(need);
            }
        }
    }

    /// Returns what a tenant uses.
    #[must_use]
    pub fn used(&self, tenant: TenantIndex) -> Resources {
        self.tenants
            .get(tenant)
            .map_or(Resources::default(), |(_, used)| used.all)
    }

    /// Returns what a tenant's tasks use that last until they are cancelled.
    #[must_use]
    pub fn used_by_lasting(&self, tenant: TenantIndex) -> Resources {
        self.tenants
            .get(tenant)
            .map_or(Resources::default(), |(_, used)| used.lasting)
    }

    /// Returns a tenant's name.
    #[must_use]
    pub fn name(&self, tenant: TenantIndex) -> &str {
        self.tenants.get(tenant).map_or("", |(name, _)| name)
    }

    /// Returns all tenants with what they use.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Resources)> {
        self.tenants
            .iter()
            .map(|(name, used)| (name.as_str(), used.all))
    }
}
