//! Queue of one service's requests at one gateway, earliest deadline first.

mod deadline_counts;
mod drain_rate;
mod queue_limits;
mod request_entry;
mod request_queue;
mod service_time;

pub use self::queue_limits::QueueLimits;
pub use self::request_entry::RequestEntry;
pub use self::request_queue::RequestQueue;
