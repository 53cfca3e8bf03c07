//! Which jobs a pool takes when more are offered than it has capacity for, in which
//! order tenants get its capacity, and when refused callers may retry.
//!
//! [`Admission`] belongs to the owner of a pool, which asks it for each submitted job. It
//! keeps no state in the store: a new owner starts with nothing learned.

mod admission_control;
mod duration_model;
mod fair_shares;
mod job_offer;
mod job_sizes;
mod loss_order;
mod pool_view;
mod preemption;
mod recent_demand;
mod return_book;
mod verdict;

pub use self::admission_control::Admission;
pub use self::fair_shares::FairShares;
pub use self::fair_shares::QueuedStep;
pub use self::fair_shares::ShareClass;
pub use self::job_offer::JobOffer;
pub use self::job_sizes::JobSizes;
pub use self::loss_order::WaitingWork;
pub use self::loss_order::density;
pub use self::loss_order::order_by_loss;
pub use self::pool_view::PoolView;
pub use self::pool_view::TenantBacklog;
pub use self::pool_view::dominant_millicores;
pub use self::preemption::StoppableRun;
pub use self::preemption::runs_to_stop;
pub use self::return_book::Promise;
pub use self::return_book::ReturnBook;
pub use self::verdict::RefusalReason;
pub use self::verdict::Verdict;
