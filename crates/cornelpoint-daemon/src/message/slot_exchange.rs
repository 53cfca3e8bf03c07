use cornelpoint::name::InstanceId;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;
use serde::Deserialize;
use serde::Serialize;

/// A gateway's slot requests to one keeper, for all pools together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotExchange {
    /// One request for each pool and availability zone.
    pub requests: Vec<SlotRequest>,
}

/// A keeper's answer to one slot request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The keeper holds the slots and lends these.
    Lent(SlotReply),
    /// The keeper does not hold the slots.
    NotHolder {
        /// The holder in the keeper's view of the membership, if any.
        holder: Option<InstanceId>,
    },
}

/// A keeper's answers, in the order of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotExchangeReply {
    /// One answer for each request.
    pub answers: Vec<SlotAnswer>,
}
