use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// The right to run one request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotPermit {
    /// The endpoint's availability zone.
    pub availability_zone: AvailabilityZone,
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Number of the use, unique at its borrower.
    pub id: u64,
}
