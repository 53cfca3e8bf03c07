//! What workers say of themselves and how they answer orders.

mod look_report;
mod order_outcome;
mod registry_entry;

pub use self::look_report::EndKind;
pub use self::look_report::LookReport;
pub use self::look_report::RunEnd;
pub use self::look_report::RunSeen;
pub use self::order_outcome::OrderOutcome;
pub use self::order_outcome::Rejection;
pub use self::registry_entry::RegistryEntry;
