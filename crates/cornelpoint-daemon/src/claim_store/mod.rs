//! Claims on idempotency keys, carried to the platform.
//!
//! One thread owns the decisions, and one each carries calls of the table,
//! reads of other claims, and large answers to the object store.

mod claim_clock;
mod claim_decision;
mod claim_store_dump;
mod claim_store_settings;
mod complete_answer;
mod event;
mod object_thread;
mod read_thread;
mod store;
mod store_loop;
mod table_thread;

pub use self::claim_decision::ClaimDecision;
pub use self::claim_store_dump::ClaimStoreDump;
pub use self::claim_store_settings::ClaimStoreSettings;
pub use self::complete_answer::CompleteAnswer;
pub use self::store::ClaimStore;
pub use self::store::RunningClaimStore;
