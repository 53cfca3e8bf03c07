//! Accepting a configuration: one transaction on the platform's table.
//!
//! The transaction holds only while the head row is the one that carries the
//! generation the operator saw, so of two racing operators one wins and the
//! other is told what changed. An answer that was lost is resolved by reading
//! the history row back and comparing the token; a repeat is harmless.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod accept;
mod event;
mod outcome;
mod request;
mod view;

pub use self::accept::Accept;
pub use self::event::AcceptAction;
pub use self::event::AcceptEvent;
pub use self::outcome::AcceptOutcome;
pub use self::request::AcceptContent;
pub use self::request::AcceptRequest;
