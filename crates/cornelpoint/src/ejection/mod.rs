//! Which endpoints of a pool to avoid, judged by the outcomes of requests.

mod endpoint_status;
mod evidence;
mod health;
mod latency_estimate;
mod limits;
mod outcome;
mod record;
mod service_fault;
mod standing;
mod verdict;

pub use self::endpoint_status::EndpointStatus;
pub use self::health::EndpointHealth;
pub use self::outcome::Outcome;
pub use self::service_fault::ServiceFault;
pub use self::standing::Condition;
pub use self::verdict::Verdict;
