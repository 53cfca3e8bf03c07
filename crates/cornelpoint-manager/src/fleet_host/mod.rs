//! Carries out the decisions of the fleet manager while this process owns the
//! fleet.

mod host;

pub(crate) use self::host::FLEET_SHARD;
pub(crate) use self::host::FleetHost;
