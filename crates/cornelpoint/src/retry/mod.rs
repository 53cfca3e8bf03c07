//! Retry rule for a single request, the retry budget that all requests of a
//! service share, and the backoff between calls that fail.

mod attempts;
mod backoff;
mod budget;
mod decision;
mod send_result;

pub use self::attempts::Attempts;
pub use self::backoff::Backoff;
pub use self::budget::RetryBudget;
pub use self::decision::Decision;
pub use self::send_result::SendResult;
