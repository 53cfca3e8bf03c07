//! The demo: runs a whole deployment in one process, drives it through normal
//! operation and faults, and prints one check a line.

mod analysis;
mod caller;
mod check;
mod demo_arguments;
mod outcome;
mod report;
mod steps;
mod traffic;

use std::process::ExitCode;

use clap::Parser;
use cornelpoint_daemon::log::Component;
use cornelpoint_daemon::log::LogSettings;
use cornelpoint_daemon::log::RootLog;
use slog::Discard;
use slog::Logger;
use slog::o;

pub use self::check::Check;
pub use self::demo_arguments::DemoArguments;
pub use self::report::Report;

use crate::fleet::Fleet;
use crate::fleet::FleetSettings;

/// Time that a request runs at an endpoint, in milliseconds.
const WORK_MS: u64 = 200;

#[derive(Debug, Parser)]
#[command(name = "cornelpoint")]
enum Command {
    /// Run a deployment in one process and check its guarantees.
    Demo(DemoArguments),
}

/// Parses the arguments of the process and runs the demo.
#[must_use]
pub fn run_from_arguments() -> ExitCode {
    let Command::Demo(arguments) = Command::parse();
    run(&arguments)
}

/// Runs the demo and returns success if every check passed.
#[must_use]
pub fn run(arguments: &DemoArguments) -> ExitCode {
    let mut report = Report::new(arguments);
    let settings = FleetSettings {
        seed: arguments.seed,
        ..FleetSettings::new(arguments.deployment, WORK_MS)
    };
    let root = RootLog::to_stderr(&LogSettings::default());
    let logger = if arguments.logs {
        root.component(Component::Main)
    } else {
        Logger::root(Discard, o!())
    };
    match Fleet::start(&settings, &logger) {
        Ok(fleet) => steps::run(fleet, arguments, &mut report),
        Err(error) => report.add(Check::failed("start", &error)),
    }
    report.finish()
}
