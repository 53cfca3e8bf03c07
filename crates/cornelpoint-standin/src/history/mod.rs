//! Histories of concurrent runs, and the checker that judges them.
//!
//! Callers, endpoints and processes add what they saw to a [`Recorder`]. The
//! [`check`] reports each [`Violation`] of what is promised about requests.
//! Times are in milliseconds since the Unix epoch, see [`crate::clock`].

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
pub use self::observation::LeavingSign;
pub use self::observation::PlannedStop;
pub use self::recorder::Recorder;
pub use self::violation::Violation;
