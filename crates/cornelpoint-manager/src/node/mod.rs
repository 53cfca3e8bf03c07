//! A process: what it knows of the configuration, its peers and the shards,
//! and the tasks that keep that up to date.

mod cluster;
mod feeds;
mod heartbeats;
mod shutdown;
mod state;

pub(crate) use self::state::Node;
