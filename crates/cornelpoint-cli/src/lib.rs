//! The operators' command line, the demo, and a fleet in one process for the
//! demo, tests and benchmarks.

pub mod demo;
pub mod fleet;
