use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is up.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Its state as the platform saw it last.
    pub state: InstanceState,
    /// Count of the instance's starts; a higher one is newer.
    pub epoch: u64,
    /// Address of an entry instance's keeper, for entry instances.
    pub keeper_address: Option<SocketAddr>,
}

/// The platform's list of live and leaving instances; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances, in the order of their names.
    pub instances: Vec<ListedInstance>,
}
