use clap::Parser;
use error_stack::Report;
use error_stack::ResultExt;
use error_stack::fmt::ColorMode;
use slog::info;

use super::arguments::Arguments;
use super::endpoints_settings::EndpointsSettings;
use super::logger;
use super::program_error::ProgramError;
use super::settings_file;
use super::signals;
use crate::StartError;
use crate::endpoint::EndpointStandIn;

/// Runs endpoint stand-ins until SIGTERM or SIGINT, then finishes the requests
/// in flight.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address cannot be
/// listened on.
pub fn run_endpoints() -> Result<(), Report<ProgramError>> {
    Report::set_color_mode(ColorMode::None);
    let arguments = Arguments::parse();
    let log = logger::new();
    let settings: EndpointsSettings = settings_file::read(&arguments.settings)?;
    let mut signals = signals::catch()?;
    let endpoints = start(settings).change_context(ProgramError::Start)?;
    for endpoint in &endpoints {
        info!(log, "endpoint stand-in: listening";
            "instance" => %endpoint.dump().instance,
            "address" => %endpoint.address());
    }
    signals::wait(&mut signals);
    info!(log, "endpoint stand-in: stopping");
    for endpoint in &endpoints {
        endpoint.set_leaving(true);
    }
    for endpoint in endpoints {
        endpoint.stop();
    }
    Ok(())
}

fn start(settings: EndpointsSettings) -> Result<Vec<EndpointStandIn>, StartError> {
    settings
        .endpoints
        .into_iter()
        .map(EndpointStandIn::start)
        .collect()
}
