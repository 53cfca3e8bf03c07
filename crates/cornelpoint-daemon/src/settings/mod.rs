//! Settings of the daemons: JSON with comments, with all findings reported
//! together.
//!
//! `docs/SETTINGS.md` lists every field.

mod gateway_reader;
mod gateway_settings;
mod keeper_reader;
mod keeper_settings;
mod limits;
mod settings_arguments;
mod settings_error;

pub use self::gateway_settings::GatewaySettings;
pub use self::keeper_settings::KeeperSettings;
pub(crate) use self::limits::BYTES_PER_MB;
pub use self::settings_arguments::SettingsArguments;
pub use self::settings_error::SettingsError;
