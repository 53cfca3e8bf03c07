use super::caller::Caller;
use super::tenants::Tenants;

/// Part of the bound for revoked keys that is left as a margin: clocks of different
/// instances may differ in their rate by two in a hundred, and the age of a confirmation
/// through a peer is measured by two of them.
const MARGIN_PERCENT: u64 = 5;
/// Age of the configuration up to which an unknown key is refused for good. New keys have to
/// be accepted within 3 s, and two long polls of 0.5 s are answered in this time.
const MAX_UNKNOWN_KEY_AGE_MS: u64 = 1500;

/// Why a call is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The call has no key, and its route isn't public.
    MissingKey,
    /// The configuration, which is current, has no tenant with the key.
    UnknownKey,
    /// The configuration may have been replaced; nothing can be said of the key.
    Unconfirmed,
}

impl Refusal {
    /// Returns the reason as in logs and metrics.
    ///
    /// ```
    /// assert_eq!(cornelpoint::tenant::Refusal::UnknownKey.reason(), "unknown_key");
    /// ```
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::MissingKey => "missing_key",
            Self::UnknownKey => "unknown_key",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Decision on one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The call may be carried out for this caller.
    Allowed(Caller),
    /// The call must not be carried out.
    Refused(Refusal),
}

/// Decides on calls by their keys and by the age of the configuration.
///
/// ```
/// use cornelpoint::job::Resources;
/// use cornelpoint::tenant::ApiKey;
/// use cornelpoint::tenant::Caller;
/// use cornelpoint::tenant::KeyCheck;
/// use cornelpoint::tenant::Permission;
/// use cornelpoint::tenant::RawTenant;
/// use cornelpoint::tenant::Refusal;
/// use cornelpoint::tenant::Tenants;
///
/// let north = RawTenant {
///     name: "north".to_owned(),
///     keys: vec![ApiKey::new("k1")],
///     weight_milli: 1000,
///     limit: Resources::default(),
/// };
/// let tenants = Tenants::check(vec![Some(north)]);
/// let check = KeyCheck::new(5000);
/// let decide = |key: &'static [u8], age_ms| check.decide(&tenants, Some(key), false, age_ms);
/// let allowed = Permission::Allowed(Caller::Tenant("north".to_owned()));
/// assert_eq!(decide(b"k1", Some(4000)), allowed);
/// assert_eq!(decide(b"k1", Some(5000)), Permission::Refused(Refusal::Unconfirmed));
/// assert_eq!(decide(b"k2", Some(1000)), Permission::Refused(Refusal::UnknownKey));
/// assert_eq!(decide(b"k2", Some(4000)), Permission::Refused(Refusal::Unconfirmed));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct KeyCheck {
    max_age_ms: u64,
    max_unknown_key_age_ms: u64,
}

impl KeyCheck {
    /// Creates a check for a platform on which a revoked key must not be accepted in calls
    /// that are sent later than `revocation_ms` after the revocation.
    #[must_use]
    pub fn new(revocation_ms: u64) -> Self {
        let max_age_ms = revocation_ms.saturating_mul(100 - MARGIN_PERCENT) / 100;
        Self {
            max_age_ms,
            max_unknown_key_age_ms: MAX_UNKNOWN_KEY_AGE_MS.min(max_age_ms),
        }
    }

    /// Decides on a call with this key, or without one, on a route that may be public.
    /// `age_ms` is the age of the configuration that has the tenants; `None` if it is not
    /// confirmed.
    ///
    /// A key that is presented counts on public routes, too: a revoked key must not be
    /// accepted anywhere, and a job on behalf of a tenant counts against its limit.
    #[must_use]
    pub fn decide(
        &self,
        tenants: &Tenants,
        key: Option<&[u8]>,
        public: bool,
        age_ms: Option<u64>,
    ) -> Permission {
        let Some(key) = key else {
            return if public {
                Permission::Allowed(Caller::Anonymous)
            } else {
                Permission::Refused(Refusal::MissingKey)
            };
        };
        let is_within = |bound_ms| age_ms.is_some_and(|age_ms| age_ms <= bound_ms);
        match tenants.tenant_of(key) {
            Some(tenant) if is_within(self.max_age_ms) => {
                Permission::Allowed(Caller::Tenant(tenant.name.clone()))
            }
            None if is_within(self.max_unknown_key_age_ms) => {
                Permission::Refused(Refusal::UnknownKey)
            }
            _ => Permission::Refused(Refusal::Unconfirmed),
        }
    }
}
