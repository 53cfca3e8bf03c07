//! The keeper: membership, replication of configuration and endpoint marks, slots
//! of the endpoints in its availability zone, and the operators' interface.
//!
//! One thread, the state loop, owns the state. Every other thread has one task
//! and sends commands to the state loop through a bounded queue.

mod command;
mod gauges;
mod gossip;
mod keeper_dump;
mod keeper_error;
mod operator;
mod peer_sync;
mod platform_poller;
mod reply_gate;
mod routes;
mod running;
mod slot_holders;
mod state;
mod state_handle;
mod state_loop;

pub use self::keeper_dump::HolderEntry;
pub use self::keeper_dump::KeeperDump;
pub use self::keeper_error::KeeperError;
pub use self::operator::DrainRequest;
pub use self::operator::MarkReply;
pub use self::operator::MarkRequest;
pub use self::running::Keeper;
