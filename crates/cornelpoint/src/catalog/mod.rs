//! Queues and pools of the configuration in force.

mod queue;

pub use self::queue::Advice;
pub use self::queue::Catalog;
pub use self::queue::HttpLimits;
pub use self::queue::PoolInfo;
pub use self::queue::Queue;
