//! Fault schedules drawn from a seed, and the thread that injects the faults.

mod driver;
mod fault_kind;
mod plan;
mod planned_fault;
mod targets;

pub use self::driver::FaultDriver;
pub use self::fault_kind::FaultKind;
pub use self::plan::FaultPlan;
pub use self::plan::PlanScope;
pub use self::planned_fault::FaultAction;
pub use self::planned_fault::PlannedFault;
pub use self::targets::Targets;
