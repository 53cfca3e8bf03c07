//! The operators' actions at a keeper.

mod accept;
mod actions;

pub use self::actions::DrainRequest;
pub(super) use self::actions::Operator;
