//! Findings: what is wrong in a file that an operator wrote, and where.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod finding;
mod findings;
mod place;

pub use self::finding::Finding;
pub use self::findings::Findings;
pub use self::place::Place;
