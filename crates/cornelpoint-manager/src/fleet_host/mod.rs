//! Carries out what the fleet's manager decides, while this process owns it.

mod host;

pub(crate) use self::host::FLEET_SHARD;
pub(crate) use self::host::FleetHost;
