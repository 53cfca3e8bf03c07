use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// State of an instance as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is running.
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
    /// Last state that the platform observed.
    pub state: InstanceState,
    /// Number of times that the instance has started; a higher number is newer.
    pub epoch: u64,
    /// Address of the keeper; set only for entry instances.
    pub keeper_address: Option<SocketAddr>,
}

/// The platform's list of live and leaving instances, which lags behind their actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances, sorted by name.
    pub instances: Vec<ListedInstance>,
}
