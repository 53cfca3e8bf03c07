use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// The holder's reply to a [`SlotRequest`](super::SlotRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReply {
    /// Incarnation of the gateway, from the request.
    pub incarnation: u64,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Term of the replying holder.
    #[serde(default)]
    pub holder_term: u64,
    /// Duration of the lease, counted from when the request was sent, in
    /// milliseconds. Zero if the request was outdated and nothing was lent.
    pub lease_ms: u64,
    /// Maximum number of requests that the gateway may run at each endpoint.
    /// The limit of an endpoint that is not listed is zero.
    pub lent: Vec<LentSlots>,
    /// Endpoints that accept no new work.
    pub leaving: Vec<LeavingEndpoint>,
    /// Whether other gateways are waiting for slots, so that idle ones should
    /// be returned at once.
    pub contended: bool,
    /// Time after which a gateway that still needs slots should send its next
    /// request, in milliseconds.
    pub ask_again_in_ms: u64,
}

impl SlotReply {
    /// Returns the total slots lent at all endpoints.
    #[must_use]
    pub fn total_lent(&self) -> u32 {
        self.lent.iter().map(|slots| slots.count).sum()
    }
}

/// Slots lent at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// The endpoint's epoch as known to the holder.
    pub epoch: u64,
    /// Maximum number of concurrent requests there.
    pub count: u32,
}

/// An endpoint that accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// The epoch at which it leaves. It accepts work again only at a higher
    /// epoch.
    pub epoch: u64,
}
