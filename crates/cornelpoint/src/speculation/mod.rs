//! Copies of late tasks: what is usual for a task, when a run is late, which late runs get
//! a copy, and which workers are slow.

mod copies;
mod copy_choice;
mod copy_record;
mod learned_durations;
mod ratio_history;
mod worker_pace;

pub use self::copies::Copies;
pub use self::copies::CopyOutcome;
pub use self::copy_choice::CandidateRun;
pub use self::copy_choice::ChosenCopy;
pub use self::copy_choice::PoolView;
pub use self::copy_record::CopyRecord;
pub use self::learned_durations::DurationSource;
pub use self::learned_durations::LearnedDurations;
pub use self::learned_durations::StepProfile;
pub use self::worker_pace::WorkerPace;
