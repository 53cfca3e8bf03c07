use cornelpoint::configuration::Generation;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::spread::Digest;
use cornelpoint::spread::Update;
use serde::Deserialize;
use serde::Serialize;

/// A gateway asks its keeper for what is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// The gateway's instance.
    pub gateway: InstanceId,
    /// Generation that the gateway applies.
    pub applied: Generation,
    /// What the gateway knows.
    pub digest: Digest,
    /// Version of the membership that the gateway has from this keeper.
    pub members_version: Option<u64>,
}

/// What is new for a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Facts that the gateway lacks.
    pub update: Update,
    /// Version of the keeper's membership.
    pub members_version: u64,
    /// Present members, when the gateway's version is another.
    pub members: Option<Vec<Member>>,
}
