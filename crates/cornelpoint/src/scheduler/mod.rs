//! Schedules the jobs of one pool on its workers.
//!
//! One process owns a pool at a time. The owner's [`PoolScheduler`] receives
//! submitted jobs, worker reports, store confirmations and the current time,
//! and returns orders for workers and batches of rows for the store. It learns
//! the state of workers only from their own reports, so a successor needs just
//! the stored rows and one report from each worker.

mod action;
mod admission;
mod batch;
mod completions;
mod crashes;
mod evacuation;
mod gangs;
mod held_workers;
mod instant;
mod intake;
mod job_entry;
mod job_rows;
mod lacking_workers;
mod lease_renewal;
mod load;
mod memory_limits;
mod newest_incarnations;
mod objective;
mod orders;
mod pacing;
mod placement;
mod places;
mod pool_scheduler;
mod ready_step;
mod registry;
mod restarts;
mod scheduler_event;
mod settings;
mod silences;
mod step_entry;
mod stored_batch;
mod stored_blocks;
mod task_entry;
mod tickets;
mod unlisted_runs;
mod unstored_jobs;
mod waiting_tasks;
mod withdrawn_jobs;
mod worker_choice;
mod worker_quorum;
mod worker_set;
mod worker_state;

pub use self::action::Action;
pub use self::action::IncarnationIndex;
pub use self::action::RenewalFailure;
pub use self::instant::Instant;
pub use self::intake::CancelAnswer;
pub use self::intake::SubmitAnswer;
pub use self::load::Load;
pub use self::memory_limits::MemoryLimits;
pub use self::pool_scheduler::PoolScheduler;
pub use self::scheduler_event::EndEvidence;
pub use self::scheduler_event::RunLoss;
pub use self::scheduler_event::SchedulerEvent;
pub use self::scheduler_event::WorkerObstacles;
pub use self::settings::SchedulerSettings;
pub use self::stored_batch::Batch;
pub use self::stored_batch::BatchOutcome;
pub use self::stored_batch::EndedJob;
pub use self::stored_batch::StoredJobs;
pub use self::stored_batch::WorkerRecord;
pub use self::worker_quorum::PredecessorBounds;
