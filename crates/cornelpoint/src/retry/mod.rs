//! Retry rule for a single request, and the retry budget that all requests of
//! a service share.

mod attempts;
mod budget;
mod decision;
mod send_result;

pub use self::attempts::Attempts;
pub use self::budget::RetryBudget;
pub use self::decision::Decision;
pub use self::send_result::SendResult;
