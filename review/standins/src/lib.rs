//! Stand-ins for the platform's store, workers and clients, and what the scripts
//! of the review share.

pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod worker;
