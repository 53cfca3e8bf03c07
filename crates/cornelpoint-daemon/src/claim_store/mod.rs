//! Claims on idempotency keys, stored in the platform's tables.
//!
//! One thread makes the decisions. Three others call the platform: one writes
//! the claims, one reads other claims and removes old ones, and one stores large
//! answers in the object store.

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
