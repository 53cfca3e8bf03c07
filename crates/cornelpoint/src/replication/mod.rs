//! State that keepers and gateways replicate: the newest configuration, and
//! which endpoints accept no new work.
//!
//! Every configuration and every mark carries a number that only grows, so
//! updates may arrive in any order, more than once or late, and none of them
//! reverts a newer one.

mod drain_record;
mod endpoint_mark;
mod position;
mod replicated_state;
mod update;

pub use self::drain_record::DrainRecord;
pub use self::drain_record::DrainRecordError;
pub use self::endpoint_mark::EndpointMark;
pub use self::endpoint_mark::MarkCause;
pub use self::position::Position;
pub use self::replicated_state::ReplicatedState;
pub use self::update::AppliedChanges;
pub use self::update::Update;
