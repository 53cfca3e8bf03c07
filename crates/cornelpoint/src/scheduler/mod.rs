//! Runs the jobs of one pool on its workers.
//!
//! One process owns a pool at a time. Its [`PoolScheduler`] takes callers'
//! jobs, workers' reports, the store's confirmations and the time, and gives
//! out orders to workers and batches of rows for the store. What it believes
//! of workers it learns from their own reports, so that a successor only needs
//! the rows and a look at each worker.

mod action;
mod admission;
mod batch;
mod completions;
mod duration_model;
mod evacuation;
mod instant;
mod intake;
mod job_entry;
mod lease_renewal;
mod load;
mod objective;
mod orders;
mod pacing;
mod placement;
mod pool_scheduler;
mod registry;
mod scheduler_event;
mod settings;
mod task_entry;
mod worker_state;

pub use self::action::Action;
pub use self::action::IncarnationIndex;
pub use self::action::RenewalFailure;
pub use self::batch::Batch;
pub use self::batch::BatchOutcome;
pub use self::batch::EndedJob;
pub use self::batch::StoredJobs;
pub use self::batch::WorkerRecord;
pub use self::instant::Instant;
pub use self::intake::CancelAnswer;
pub use self::intake::SubmitAnswer;
pub use self::load::Load;
pub use self::pool_scheduler::PoolScheduler;
pub use self::scheduler_event::RunLoss;
pub use self::scheduler_event::SchedulerEvent;
pub use self::settings::SchedulerSettings;
