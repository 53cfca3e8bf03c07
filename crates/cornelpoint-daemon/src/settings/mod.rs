//! Settings of the daemons.

mod gateway_settings;
mod keeper_settings;

pub use self::gateway_settings::GatewaySettings;
pub use self::keeper_settings::KeeperSettings;
