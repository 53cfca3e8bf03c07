use std::net::SocketAddr;

use crate::name::AvailabilityZone;
use crate::name::PoolName;
use crate::slots::SlotReply;
use crate::slots::SlotRequest;

/// A report that is due to the holder of a pool's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Address of the holder's keeper.
    pub holder: SocketAddr,
    /// The report.
    pub request: SlotRequest,
}

/// What became of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeResult {
    /// Pool of the report.
    pub pool: PoolName,
    /// Availability zone of the report.
    pub availability_zone: AvailabilityZone,
    /// The answer; `None` when the keeper did not answer or is not the holder.
    pub reply: Option<SlotReply>,
}
