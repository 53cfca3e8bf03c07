//! Findings: errors in files that operators write, with their places.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod finding;
mod findings;
mod place;

pub use self::finding::Finding;
pub use self::findings::Findings;
pub use self::place::Place;
