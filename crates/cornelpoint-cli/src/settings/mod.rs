//! Checked form of the command line.

mod action;
mod environment;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod settings;
mod usage_error;

pub use self::action::AcceptSource;
pub use self::action::Action;
pub use self::action::ChangeSettings;
pub use self::environment::Environment;
pub use self::settings::Settings;
pub use self::usage_error::UsageError;
