//! What the connections of a process's clients may hold, and which are closed to make room.
//!
//! A [`ConnectionTable`] bounds one listener, or one kind of client of a listener, so that none
//! locks out another. A [`ListenerBudget`] combines the tables of a listener that several kinds
//! of clients share. `docs/design/request-limits.md` says which tables each process has.

mod body_segments;
mod budget_limits;
mod client_class;
mod closed;
mod connection_table;
mod listener_budget;
mod listener_limits;
mod process_limits;
mod progress;

pub use self::body_segments::BodySegments;
pub use self::budget_limits::BudgetLimits;
pub use self::budget_limits::permille;
pub use self::client_class::ClientClass;
pub use self::closed::CloseReason;
pub use self::closed::Closed;
pub use self::connection_table::ConnectionId;
pub use self::connection_table::ConnectionTable;
pub use self::connection_table::Held;
pub use self::connection_table::Room;
pub use self::listener_budget::ListenerBudget;
pub use self::listener_limits::ClassLimits;
pub use self::listener_limits::ListenerLimits;
pub use self::process_limits::ProcessLimits;
