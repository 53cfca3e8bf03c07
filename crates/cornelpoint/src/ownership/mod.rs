//! Which process owns a shard: a pool's scheduler, or the fleet's machines.
//!
//! A row in the store names the owner and its fencing token; a conditional
//! write takes it over. Processes hear each other's heartbeats, so that a
//! silent owner is replaced within seconds. A takeover that was not needed
//! costs a rebuild but breaks nothing: the token fences the predecessor off.

mod owner_row;
mod planner;
mod settings;
mod write_guard;

pub use self::owner_row::OwnerRow;
pub use self::planner::Claim;
pub use self::planner::OwnershipPlanner;
pub use self::planner::Peer;
pub use self::settings::OwnershipSettings;
pub use self::write_guard::ConflictOutcome;
pub use self::write_guard::WriteGuard;
