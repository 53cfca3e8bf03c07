//! Templates, which operators write once for any number of workspaces.
//!
//! A template declares its parameters, each with a type and a range, and refers
//! to them as `{"parameter": "NAME"}` in place of a value. A service or a pool
//! with a `like` field inherits every field that it does not set from the entry
//! named there.

mod check;
mod derivation;
mod filled;
mod parameter;
mod parsed_template;
mod pool;
mod service;
mod substitution;
#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod template;

pub use self::check::check;
pub(crate) use self::filled::FilledPool;
pub(crate) use self::filled::FilledService;
pub(crate) use self::filled::FilledTemplate;
pub use self::parameter::Parameter;
pub use self::parameter::ParameterKind;
pub(crate) use self::parsed_template::ParsedTemplate;
pub use self::template::Template;
