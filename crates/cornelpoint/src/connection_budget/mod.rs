//! What the connections of a process's clients may hold, and which are closed to make room.
//!
//! Each listener, or each kind of client of a listener, has a table of its own, so that none
//! locks out another. `docs/design/request-limits.md` says which tables each process has.

mod budget_limits;
mod closed;
mod connection_table;

pub use self::budget_limits::BudgetLimits;
pub use self::budget_limits::permille;
pub use self::closed::CloseReason;
pub use self::closed::Closed;
pub use self::connection_table::ConnectionId;
pub use self::connection_table::ConnectionTable;
pub use self::connection_table::Held;
pub use self::connection_table::Room;
