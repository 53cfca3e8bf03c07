use cornelpoint::name::InstanceId;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;
use serde::Deserialize;
use serde::Serialize;

/// A gateway's reports to one keeper, all pools together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotExchange {
    /// One report for each pool and availability zone.
    pub requests: Vec<SlotRequest>,
}

/// The keeper's answer to one report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The keeper holds the slots; these are lent.
    Lent(SlotReply),
    /// The keeper does not hold the slots.
    NotHolder {
        /// The holder as the keeper sees it.
        holder: Option<InstanceId>,
    },
}

/// Answers in the order of the reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotExchangeReply {
    /// One answer for each report.
    pub answers: Vec<SlotAnswer>,
}
