//! Differences between two configurations, as shown to operators.

mod change;
mod compare;

pub use self::change::Change;
pub use self::compare::diff;
