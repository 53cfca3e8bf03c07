//! Queues and pools of the configuration in force, and the check of a new one.

mod changes;
mod check;
mod queue;

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
