//! State of a manager process (configuration, peers, shard ownership) and the
//! background tasks that keep it up to date.

mod claims;
mod cluster;
mod configuration;
mod feeds;
mod heartbeats;
mod peer_confirmations;
mod refusal_recorder;
mod refusals;
mod shutdown;
mod state;

pub(crate) use self::claims::lease_expiry_ms;
pub(crate) use self::refusals::OTHER_TENANT;
pub(crate) use self::state::Node;
