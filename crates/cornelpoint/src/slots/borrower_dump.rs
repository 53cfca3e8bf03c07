use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// State of a [`Borrower`](super::Borrower), for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowerDump {
    /// The availability zone whose slots are borrowed.
    pub availability_zone: AvailabilityZone,
    /// Sequence number of the last request sent.
    pub sequence: u64,
    /// Remaining time of the lease, in milliseconds; zero if it has expired.
    pub lease_left_ms: u64,
    /// Whether the fallback is active, because no holder replies.
    pub fallback: bool,
    /// Requests queued for a slot.
    pub queued: u32,
    /// Time for which the longest-running request has run, in milliseconds.
    pub longest_run_ms: u64,
    /// The endpoints with slots or running requests, ordered by name.
    pub endpoints: Vec<BorrowedEndpoint>,
}

/// One endpoint of a [`BorrowerDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowedEndpoint {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Maximum number of concurrent requests there.
    pub limit: u32,
    /// Requests that are running there.
    pub in_use: u32,
}
