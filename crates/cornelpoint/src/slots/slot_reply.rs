use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// The holder's answer to a [`SlotRequest`](super::SlotRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReply {
    /// Incarnation of the gateway that is answered.
    pub incarnation: u64,
    /// Number of the request that is answered.
    pub sequence: u64,
    /// Term of the holder that answers.
    #[serde(default)]
    pub holder_term: u64,
    /// Length of the lease from when the request was sent, in milliseconds;
    /// zero when the request was out of date and nothing was lent.
    pub lease_ms: u64,
    /// Most requests that the gateway may run at each endpoint; none at an
    /// endpoint that is left out.
    pub lent: Vec<LentSlots>,
    /// Endpoints that take no new work.
    pub leaving: Vec<LeavingEndpoint>,
    /// Whether other gateways wait for slots, so that idle ones should come
    /// back at once.
    pub contended: bool,
    /// Time after which a gateway that still waits should ask again, in
    /// milliseconds.
    pub ask_again_in_ms: u64,
}

impl SlotReply {
    /// Slots lent at all endpoints.
    #[must_use]
    pub fn lent_in_all(&self) -> u32 {
        self.lent.iter().map(|slots| slots.count).sum()
    }
}

/// Slots lent at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Count of the endpoint's starts, as the holder knows it.
    pub epoch: u64,
    /// Most requests to run there at once.
    pub count: u32,
}

/// An endpoint that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// The epoch at which it leaves; only a higher one takes work again.
    pub epoch: u64,
}
