//! The keeper: membership, spread of facts, slots of its zone's endpoints, and
//! the operators' interface.
//!
//! One thread owns the state; every other thread does one duty and talks to
//! it through a bounded ring.

mod command;
mod core;
mod core_handle;
mod gauges;
mod gossip;
mod holding;
mod keeper_dump;
mod keeper_error;
mod operator;
mod peer_sync;
mod platform_watch;
mod routes;
mod running;
mod state;

pub use self::keeper_dump::HolderEntry;
pub use self::keeper_dump::KeeperDump;
pub use self::keeper_error::KeeperError;
pub use self::operator::DrainRequest;
pub use self::operator::MarkReply;
pub use self::operator::MarkRequest;
pub use self::running::Keeper;
