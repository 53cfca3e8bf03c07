//! Validated names of instances, availability zones, racks, pools, services,
//! templates and workspaces.

mod checked;
mod name_error;

pub use self::checked::AvailabilityZone;
pub use self::checked::InstanceId;
pub use self::checked::PoolName;
pub use self::checked::Rack;
pub use self::checked::ServiceName;
pub use self::checked::TemplateName;
pub use self::checked::WorkspaceName;
pub use self::name_error::NameError;
