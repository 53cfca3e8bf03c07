//! Ejection of bad endpoints from a pool, based on the outcomes of requests.

mod admission_state;
mod endpoint_status;
mod health;
mod latency_estimate;
mod limits;
mod outcome;
mod outcome_history;
mod record;
mod service_fault;
mod verdict;

pub use self::admission_state::Condition;
pub use self::endpoint_status::EndpointStatus;
pub use self::health::EndpointHealth;
pub use self::outcome::Outcome;
pub use self::service_fault::ServiceFault;
pub use self::verdict::Verdict;
