use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// Permit to run one request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotPermit {
    /// The endpoint's availability zone.
    pub availability_zone: AvailabilityZone,
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Permit number, unique within its borrower.
    pub id: u64,
}
