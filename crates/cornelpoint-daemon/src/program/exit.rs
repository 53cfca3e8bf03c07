use std::fmt::Debug;
use std::process::ExitCode;

use cornelpoint::document::Source;
use cornelpoint::finding::Findings;
use error_stack::Report;

use super::arguments::Arguments;
use crate::settings::SettingsError;

/// Exit code when the daemon failed to start.
const FAILED: u8 = 1;
/// Exit code when the settings have findings.
const FINDINGS: u8 = 3;

/// Loads the settings; returns an exit code when they are invalid or were only to
/// be checked.
pub(super) fn settings<T>(arguments: &Arguments) -> Result<T, ExitCode>
where
    T: for<'a> TryFrom<Source<'a>, Error = Findings>,
{
    match arguments.settings.load() {
        Ok(_) if arguments.settings.check_settings => Err(ExitCode::SUCCESS),
        Ok(settings) => Ok(settings),
        Err(report) => Err(settings_failure(&report)),
    }
}

fn settings_failure(report: &Report<SettingsError>) -> ExitCode {
    eprintln!("{}", report.current_context());
    match report.current_context() {
        SettingsError::Findings(_) => ExitCode::from(FINDINGS),
        SettingsError::Unreadable { .. } => ExitCode::from(FAILED),
    }
}

/// Prints why a daemon failed to start, and returns the exit code.
pub(super) fn start_failure(report: &impl Debug) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(FAILED)
}
