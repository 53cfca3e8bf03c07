use cornelpoint::configuration::Generation;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::Position;
use cornelpoint::replication::Update;
use serde::Deserialize;
use serde::Serialize;

/// A gateway's poll of its keeper for updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// The gateway's instance.
    pub gateway: InstanceId,
    /// Configuration generation that the gateway applies.
    pub applied: Generation,
    /// Position up to which the gateway has read this keeper's replicated state.
    pub position: Option<Position>,
    /// Version of the membership that the gateway last received from this keeper.
    pub members_version: Option<u64>,
}

/// Updates for a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Replicated state that the gateway lacks.
    pub update: Update,
    /// Position of the gateway after it has applied the update.
    pub position: Position,
    /// Version of the keeper's membership.
    pub members_version: u64,
    /// Members present, unless the gateway's version is current.
    pub members: Option<Vec<Member>>,
}

/// A keeper's poll of another keeper for updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Position up to which the requesting keeper has read the other's replicated
    /// state.
    pub position: Option<Position>,
    /// Newest configuration generation that the requesting keeper knows.
    pub generation: Generation,
}

/// Updates for another keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Changes since the requested position.
    pub update: Update,
    /// Position after the update has been applied.
    pub position: Position,
}
