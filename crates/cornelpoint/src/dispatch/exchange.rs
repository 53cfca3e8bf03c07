use std::net::SocketAddr;

use crate::name::AvailabilityZone;
use crate::name::PoolName;
use crate::slots::SlotReply;
use crate::slots::SlotRequest;

/// A slot request that is due, and the holder that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Address of the keeper that holds the slots.
    pub holder: SocketAddr,
    /// Message to send.
    pub request: SlotRequest,
}

/// Result of a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeResult {
    /// Pool that the request named.
    pub pool: PoolName,
    /// Availability zone that the request named.
    pub availability_zone: AvailabilityZone,
    /// Reply of the holder; `None` when the keeper did not answer or is not the
    /// holder.
    pub reply: Option<SlotReply>,
}
