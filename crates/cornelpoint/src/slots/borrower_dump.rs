use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// State of a [`Borrower`](super::Borrower), for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowerDump {
    /// The availability zone whose endpoints are used.
    pub availability_zone: AvailabilityZone,
    /// Number of the last message sent.
    pub sequence: u64,
    /// Time left to the lease, in milliseconds; zero when it has lapsed.
    pub lease_left_ms: u64,
    /// Whether the fallback is in force.
    pub fallback: bool,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Time for which the longest request has run, in milliseconds.
    pub longest_run_ms: u64,
    /// The endpoints in use, in the order of their names.
    pub endpoints: Vec<BorrowedEndpoint>,
}

/// One endpoint of a [`BorrowerDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowedEndpoint {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Most requests to run there now.
    pub limit: u32,
    /// Requests that run there now.
    pub in_use: u32,
}
