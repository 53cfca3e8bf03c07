//! Tenants: who may call, and how much each may run.

mod api_key;
#[expect(clippy::module_inception, reason = "named for its main type")]
mod tenant;
mod tenants;

pub use self::api_key::ApiKey;
pub use self::tenant::RawTenant;
pub use self::tenant::Tenant;
pub use self::tenants::TenantFinding;
pub use self::tenants::Tenants;
