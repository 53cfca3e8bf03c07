use cornelpoint::configuration::Generation;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::Position;
use cornelpoint::replication::Update;
use serde::Deserialize;
use serde::Serialize;

/// A gateway asks its keeper for what is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// The gateway's instance.
    pub gateway: InstanceId,
    /// Generation that the gateway applies.
    pub applied: Generation,
    /// How far the gateway has read this keeper's facts.
    pub position: Option<Position>,
    /// Version of the membership that the gateway has from this keeper.
    pub members_version: Option<u64>,
}

/// What is new for a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Facts that the gateway lacks.
    pub update: Update,
    /// Where the gateway is once it has taken the facts in.
    pub position: Position,
    /// Version of the keeper's membership.
    pub members_version: u64,
    /// Present members, when the gateway's version is another.
    pub members: Option<Vec<Member>>,
}

/// A keeper asks another for what is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// How far the asking keeper has read the other's facts.
    pub position: Option<Position>,
    /// Newest generation that the asking keeper knows.
    pub generation: Generation,
}

/// What is new for another keeper, and where it is once it has taken it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Facts that changed since the position that was asked with.
    pub update: Update,
    /// Position after them.
    pub position: Position,
}
