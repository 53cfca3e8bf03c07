use std::fmt::Debug;
use std::process::ExitCode;

use cornelpoint::document::Source;
use cornelpoint::finding::Findings;
use error_stack::Report;

use super::arguments::Arguments;
use crate::settings::SettingsError;

/// The daemon did not start.
const FAILED: u8 = 1;
/// The settings have findings.
const FINDINGS: u8 = 3;

/// Settings to run with, or the exit code when there is nothing to run.
pub(super) fn settings<T>(arguments: &Arguments) -> Result<T, ExitCode>
where
    T: for<'a> TryFrom<Source<'a>, Error = Findings>,
{
    match arguments.settings.load() {
        Ok(_) if arguments.settings.check_settings => Err(ExitCode::SUCCESS),
        Ok(settings) => Ok(settings),
        Err(report) => Err(wrong_settings(&report)),
    }
}

fn wrong_settings(report: &Report<SettingsError>) -> ExitCode {
    eprintln!("{}", report.current_context());
    match report.current_context() {
        SettingsError::Findings(_) => ExitCode::from(FINDINGS),
        SettingsError::Unreadable { .. } => ExitCode::from(FAILED),
    }
}

/// Tells why a daemon did not start.
pub(super) fn failed(report: &impl Debug) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(FAILED)
}
