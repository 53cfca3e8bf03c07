//! Templates: what operators write once, for any number of workspaces.
//!
//! A template names its parameters, each with a type and a range, and uses
//! them as `{"parameter": "NAME"}` in place of a value. A service or a pool
//! with a `like` field takes over every field that it does not give itself.

mod check;
mod derivation;
mod filled;
mod outline;
mod parameter;
mod pool;
mod service;
mod substitution;
#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod template;

pub use self::check::check;
pub(crate) use self::filled::FilledPool;
pub(crate) use self::filled::FilledService;
pub(crate) use self::filled::FilledTemplate;
pub(crate) use self::outline::Outline;
pub use self::parameter::Parameter;
pub use self::parameter::ParameterKind;
pub use self::template::Template;
