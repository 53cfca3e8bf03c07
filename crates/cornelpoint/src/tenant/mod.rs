//! Tenants: who may call, and how much each may run.

mod api_key;
mod caller;
mod confirmation;
mod permission;
#[expect(clippy::module_inception, reason = "named for its main type")]
mod tenant;
mod tenants;

pub use self::api_key::ApiKey;
pub use self::caller::Caller;
pub use self::confirmation::ConfigurationRead;
pub use self::confirmation::Confirmation;
pub use self::confirmation::ConfirmationSource;
pub use self::permission::KeyCheck;
pub use self::permission::Permission;
pub use self::permission::Refusal;
pub use self::tenant::RawTenant;
pub use self::tenant::Tenant;
pub use self::tenants::TenantFinding;
pub use self::tenants::Tenants;
