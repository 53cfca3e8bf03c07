//! State of a manager process (configuration, peers, shard ownership) and the
//! background tasks that keep it up to date.

mod advice;
mod call_refusals;
mod claims;
mod cluster;
mod configuration;
mod feeds;
mod heartbeats;
mod listener_refusals;
mod peer_confirmations;
mod routes;
mod shutdown;
mod state;

pub(crate) use self::call_refusals::OTHER_TENANT;
pub(crate) use self::claims::lease_expiry_ms;
pub(crate) use self::state::Node;
