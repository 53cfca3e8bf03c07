use clap::Parser;
use error_stack::Report;
use error_stack::ResultExt;
use error_stack::fmt::ColorMode;
use slog::info;

use super::arguments::Arguments;
use super::logger;
use super::program_error::ProgramError;
use super::settings_file;
use super::signals;
use crate::platform::PlatformSettings;
use crate::platform::PlatformStandIn;

/// Runs the platform stand-in until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the address cannot be
/// listened on.
pub fn run_platform() -> Result<(), Report<ProgramError>> {
    Report::set_color_mode(ColorMode::None);
    let arguments = Arguments::parse();
    let log = logger::new();
    let settings: PlatformSettings = settings_file::read(&arguments.settings)?;
    let mut signals = signals::catch()?;
    let platform = PlatformStandIn::start(&settings).change_context(ProgramError::Start)?;
    info!(log, "platform stand-in: listening"; "address" => %platform.address());
    signals::wait(&mut signals);
    info!(log, "platform stand-in: stopping");
    platform.stop();
    Ok(())
}
