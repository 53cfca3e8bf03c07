//! Accepts a configuration in one transaction on the platform's table.
//!
//! The transaction requires that the head row still carries the generation the
//! operator saw, so of two racing operators one succeeds and the other is
//! shown what changed. If the answer is lost, the accept reads the history row
//! back and compares its token, so repeating an accept is harmless.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod accept;
mod event;
mod outcome;
mod read_rows;
mod request;

pub use self::accept::Accept;
pub use self::event::AcceptAction;
pub use self::event::AcceptEvent;
pub use self::outcome::AcceptOutcome;
pub use self::request::AcceptContent;
pub use self::request::AcceptRequest;
