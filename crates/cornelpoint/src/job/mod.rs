//! Jobs as callers submit them, their validation before anything runs, and
//! their stored progress. A job consists of steps, and a step of tasks.

mod index_set;
mod job_error;
mod job_id;
mod job_record;
mod job_status;
mod raw_job;
mod resources;
mod schedule;
mod spec;
mod step;
mod task_block;
mod task_id;

pub use self::index_set::IndexSet;
pub use self::job_error::JobError;
pub use self::job_id::JobId;
pub use self::job_record::JobProgress;
pub use self::job_record::JobRecord;
pub use self::job_record::StepProgress;
pub use self::job_record::TaskProgress;
pub use self::job_status::JobStatus;
pub use self::raw_job::RawJob;
pub use self::raw_job::RawStep;
pub use self::resources::Resources;
pub use self::schedule::Schedule;
pub use self::spec::JobSpec;
pub use self::step::Step;
pub use self::task_block::BlockKey;
pub use self::task_block::BlockProgress;
pub use self::task_block::TaskBlock;
pub use self::task_id::StepId;
pub use self::task_id::TaskId;
