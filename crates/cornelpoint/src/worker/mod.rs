//! What workers report and how they answer orders.

mod order_outcome;
mod registry_entries;
mod registry_entry;
mod worker_report;

pub use self::order_outcome::OrderOutcome;
pub use self::order_outcome::Rejection;
pub use self::registry_entries::RegistryEntries;
pub use self::registry_entry::RegistryEntry;
pub use self::worker_report::ActiveRun;
pub use self::worker_report::Completeness;
pub use self::worker_report::CompletionKind;
pub use self::worker_report::RunCompletion;
pub use self::worker_report::WorkerReport;
