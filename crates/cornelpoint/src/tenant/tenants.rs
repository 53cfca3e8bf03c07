use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use super::api_key::ApiKey;
use super::tenant::RawTenant;
use super::tenant::Tenant;

/// A fault in the tenants of a configuration. The rest of the configuration holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantFinding {
    /// An entry can't be parsed; its keys are unknown.
    Malformed {
        /// Position of the entry, from 0.
        index: usize,
    },
    /// An entry has no name; its keys are unknown.
    EmptyName {
        /// Position of the entry, from 0.
        index: usize,
    },
    /// Two entries have the same name; only the first one counts.
    RepeatedName {
        /// The name.
        tenant: String,
    },
    /// A tenant has an empty key, which is ignored.
    EmptyKey {
        /// Name of the tenant.
        tenant: String,
    },
    /// A tenant lists a key twice.
    RepeatedKey {
        /// Name of the tenant.
        tenant: String,
    },
    /// Two tenants have the same key, which authenticates neither.
    SharedKey {
        /// Name of the first tenant.
        tenant: String,
        /// Name of the second tenant.
        other: String,
    },
}

impl fmt::Display for TenantFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { index } => write!(formatter, "tenant {index} can't be parsed"),
            Self::EmptyName { index } => write!(formatter, "tenant {index} has no name"),
            Self::RepeatedName { tenant } => {
                write!(formatter, "expected one tenant {tenant}, found two")
            }
            Self::EmptyKey { tenant } => write!(formatter, "tenant {tenant} has an empty key"),
            Self::RepeatedKey { tenant } => {
                write!(formatter, "tenant {tenant} lists a key twice")
            }
            Self::SharedKey { tenant, other } => {
                write!(formatter, "tenants {tenant} and {other} have the same key")
            }
        }
    }
}

/// The tenants of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants {
    by_name: BTreeMap<String, Tenant>,
    findings: Vec<TenantFinding>,
}

impl Tenants {
    /// Checks the tenants of a configuration; `None` stands for an entry that can't be
    /// parsed.
    ///
    /// A faulty entry authenticates nobody, so that a mistake never admits a caller.
    ///
    /// ```
    /// use cornelpoint::job::Resources;
    /// use cornelpoint::tenant::ApiKey;
    /// use cornelpoint::tenant::RawTenant;
    /// use cornelpoint::tenant::Tenants;
    ///
    /// let raw = RawTenant {
    ///     name: "north".to_owned(),
    ///     keys: vec![ApiKey::new("k1")],
    ///     weight_milli: 1000,
    ///     limit: Resources::default(),
    /// };
    /// let tenants = Tenants::check(vec![Some(raw)]);
    /// assert_eq!(tenants.tenant_of(b"k1").unwrap().name, "north");
    /// assert!(tenants.tenant_of(b"k2").is_none());
    /// assert!(tenants.findings().is_empty());
    /// ```
    #[must_use]
    pub fn check(entries: Vec<Option<RawTenant>>) -> Self {
        let mut tenants = Self::default();
        let mut owner_of_key: BTreeMap<ApiKey, String> = BTreeMap::new();
        let mut shared: BTreeSet<ApiKey> = BTreeSet::new();
        for (index, entry) in entries.into_iter().enumerate() {
            let Some(raw) = entry else {
                tenants.findings.push(TenantFinding::Malformed { index });
                continue;
            };
            if raw.name.is_empty() {
                tenants.findings.push(TenantFinding::EmptyName { index });
                continue;
            }
            if tenants.by_name.contains_key(&raw.name) {
                tenants
                    .findings
                    .push(TenantFinding::RepeatedName { tenant: raw.name });
                continue;
            }
            let mut keys: Vec<ApiKey> = Vec::new();
            for key in raw.keys {
                let tenant = raw.name.clone();
                if key.is_empty() {
                    tenants.findings.push(TenantFinding::EmptyKey { tenant });
                } else if keys.contains(&key) {
                    tenants.findings.push(TenantFinding::RepeatedKey { tenant });
                } else if let Some(first) = owner_of_key.get(&key) {
                    tenants.findings.push(TenantFinding::SharedKey {
                        tenant: first.clone(),
                        other: tenant,
                    });
                    shared.insert(key);
                } else {
                    owner_of_key.insert(key.clone(), tenant);
                    keys.push(key);
                }
            }
            let tenant = Tenant {
                name: raw.name,
                keys,
                weight_milli: raw.weight_milli,
                limit: raw.limit,
            };
            tenants.by_name.insert(tenant.name.clone(), tenant);
        }
        for tenant in tenants.by_name.values_mut() {
            tenant.keys.retain(|key| !shared.contains(key));
        }
        tenants
    }

    /// Returns the tenant whose key a caller presents. All keys are compared, so that the
    /// time taken doesn't tell which one matches.
    #[must_use]
    pub fn tenant_of(&self, presented: &[u8]) -> Option<&Tenant> {
        let mut found = None;
        for tenant in self.by_name.values() {
            for key in &tenant.keys {
                if key.matches(presented) {
                    found = Some(tenant);
                }
            }
        }
        found
    }

    /// Returns the tenant of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.by_name.get(name)
    }

    /// Returns the tenants in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.by_name.values()
    }

    /// Returns the faults found in the configuration.
    #[must_use]
    pub fn findings(&self) -> &[TenantFinding] {
        &self.findings
    }
}
