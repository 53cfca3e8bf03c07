//! Helpers shared by the accept tests.

mod accepting;
mod fake_table;

pub use accepting::base;
pub use accepting::request;
pub use accepting::run;
pub use fake_table::FakeTable;
