//! What differs between two configurations, for operators.

mod change;
mod compare;

pub use self::change::Change;
pub use self::compare::diff;
