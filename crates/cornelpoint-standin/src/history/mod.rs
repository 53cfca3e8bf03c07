//! Histories of concurrent requests, and the checker that finds violations in
//! them.
//!
//! A [`Recorder`] collects what callers, endpoints and processes observe, and
//! [`check`] reports each [`Violation`] of the guarantees about requests. Times
//! are in milliseconds since the Unix epoch, see [`crate::clock`].

mod answer_body;
mod answer_check;
mod call_groups;
mod checker;
mod completion;
mod endpoint_check;
mod history_record;
mod invocation;
mod limits;
mod observation;
mod recorder;
mod run_check;
mod violation;

pub use self::answer_body::AnswerBody;
pub use self::checker::check;
pub use self::completion::Completion;
pub use self::completion::Outcome;
pub use self::history_record::History;
pub use self::invocation::CallId;
pub use self::invocation::Invocation;
pub use self::limits::Limits;
pub use self::observation::GenerationSeen;
pub use self::observation::LeavingNotice;
pub use self::observation::PlannedStop;
pub use self::recorder::Recorder;
pub use self::violation::Violation;
