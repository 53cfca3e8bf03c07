//! Ownership of shards by processes. A shard is the scheduler of one pool, or
//! the management of the fleet's machines.
//!
//! A row in the store names the owner and its fencing token, and another
//! process takes the shard over with a conditional write. Processes exchange
//! heartbeats, so that an unresponsive owner is replaced within seconds. An
//! unnecessary takeover costs a rebuild of the shard's state but is safe,
//! because the higher fencing token fences the predecessor.

mod heartbeat_schedule;
mod owner_row;
mod planner;
mod settings;
mod store_availability;
mod write_guard;

pub use self::heartbeat_schedule::HeartbeatSchedule;
pub use self::heartbeat_schedule::Recipients;
pub use self::owner_row::OwnerRow;
pub use self::planner::Claim;
pub use self::planner::OwnershipPlanner;
pub use self::planner::Peer;
pub use self::settings::OwnershipSettings;
pub use self::store_availability::StoreAvailability;
pub use self::store_availability::StoreCallResult;
pub use self::write_guard::ConflictOutcome;
pub use self::write_guard::WriteGuard;
