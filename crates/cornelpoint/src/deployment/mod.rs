//! The two deployments that cornelpoint is built for, at their current sizes.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod deployment;

pub use self::deployment::Deployment;
pub use self::deployment::UnknownDeployment;
