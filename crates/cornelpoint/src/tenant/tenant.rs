use crate::job::Resources;

use super::api_key::ApiKey;

/// A tenant of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Keys of its callers, each of which is this tenant's only.
    pub keys: Vec<ApiKey>,
    /// Share of a full pool, relative to the weights of the other tenants, in thousandths.
    /// Also the rate of jobs up to which its jobs are owed an answer, in thousandths of a
    /// job a second.
    pub weight_milli: u64,
    /// What the tenant may have running over all pools; a resource of 0 has no limit.
    pub limit: Resources,
}

/// A tenant as written in a configuration, before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawTenant {
    /// Name of the tenant.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Weight, in thousandths.
    pub weight_milli: u64,
    /// Limit; a resource of 0 has none.
    pub limit: Resources,
}

impl Tenant {
    /// Whether any resource is limited.
    ///
    /// ```
    /// use cornelpoint::job::Resources;
    /// use cornelpoint::tenant::Tenant;
    ///
    /// let tenant = Tenant {
    ///     name: "a".to_owned(),
    ///     keys: Vec::new(),
    ///     weight_milli: 1000,
    ///     limit: Resources::default(),
    /// };
    /// assert!(!tenant.is_limited());
    /// ```
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit != Resources::default()
    }
}
