use clap::Parser;

use crate::log::LogFormat;
use crate::log::LogSettings;
use crate::settings::SettingsArguments;

/// Arguments of a daemon.
///
/// Exit codes: 0 stopped, or settings valid; 1 failed to start; 2 wrong usage;
/// 3 findings in the settings.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub(super) struct Arguments {
    #[command(flatten)]
    pub(super) settings: SettingsArguments,
    /// Write logs as JSON, one object per line.
    #[arg(long)]
    pub(super) json_logs: bool,
}

impl Arguments {
    pub(super) fn log_settings(&self) -> LogSettings {
        let form = if self.json_logs {
            LogFormat::Json
        } else {
            LogFormat::Terminal
        };
        LogSettings {
            form,
            ..LogSettings::default()
        }
    }
}
