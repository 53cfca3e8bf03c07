//! Queues and pools of the configuration in force, and the check of a new one.

mod changes;
mod check;
mod queue;
mod route_history;

pub use self::changes::Change;
pub use self::changes::changes;
pub use self::check::CatalogFinding;
pub use self::check::Severity;
pub use self::check::check;
pub use self::queue::Advice;
pub use self::queue::Catalog;
pub use self::queue::HttpLimits;
pub use self::queue::PoolInfo;
pub use self::queue::Queue;
pub use self::route_history::RouteHistory;
pub use self::route_history::RouteTarget;
