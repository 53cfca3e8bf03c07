//! What keepers tell each other so that news is in force everywhere: the
//! newest configuration, and which endpoints take no new work.
//!
//! Each fact is ordered by a number that only grows, so facts may arrive in
//! any order, twice, or late, and nothing goes back.

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
