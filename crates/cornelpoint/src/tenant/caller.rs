use serde::Deserialize;
use serde::Serialize;

/// Who sends a call, as far as access to jobs depends on it.
///
/// ```
/// use cornelpoint::tenant::Caller;
///
/// let north = Caller::Tenant("north".to_owned());
/// assert!(north.may_access(Some("north")));
/// assert!(!north.may_access(Some("south")));
/// assert!(north.may_access(None));
/// assert!(!Caller::Anonymous.may_access(Some("north")));
/// assert!(Caller::Unchecked.may_access(Some("north")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// Keys aren't checked, or the process that sends the request doesn't know of tenants.
    #[default]
    Unchecked,
    /// A caller without a key on a public route.
    Anonymous,
    /// A caller with a key of the tenant of this name.
    Tenant(String),
}

impl Caller {
    /// Whether the caller may see and cancel a job that was accepted for a tenant, or for
    /// none.
    #[must_use]
    pub fn may_access(&self, job_tenant: Option<&str>) -> bool {
        match (self, job_tenant) {
            (Self::Unchecked, _) | (_, None) => true,
            (Self::Anonymous, Some(_)) => false,
            (Self::Tenant(name), Some(tenant)) => name == tenant,
        }
    }

    /// Returns the name of the caller's tenant.
    #[must_use]
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Whether keys aren't checked.
    #[must_use]
    pub fn is_unchecked(&self) -> bool {
        *self == Self::Unchecked
    }
}
