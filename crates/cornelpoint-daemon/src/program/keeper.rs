use std::process::ExitCode;

use clap::Parser;
use error_stack::Report;
use error_stack::fmt::ColorMode;

use super::arguments::Arguments;
use super::exit;
use crate::keeper::Keeper;
use crate::log::Component;
use crate::log::RootLog;
use crate::settings::KeeperSettings;
use crate::shutdown::ShutdownFlag;

/// Runs a keeper until SIGTERM or SIGINT.
#[must_use]
pub fn run_keeper() -> ExitCode {
    Report::set_color_mode(ColorMode::None);
    let arguments = Arguments::parse();
    match exit::settings(&arguments) {
        Ok(settings) => run(&arguments, &settings),
        Err(code) => code,
    }
}

fn run(arguments: &Arguments, settings: &KeeperSettings) -> ExitCode {
    let log = RootLog::to_stderr(&arguments.log_settings());
    let shutdown = match ShutdownFlag::on_signals() {
        Ok(shutdown) => shutdown,
        Err(report) => return exit::start_failure(&report),
    };
    let keeper = match Keeper::start(settings, log.component(Component::Keeper)) {
        Ok(keeper) => keeper,
        Err(report) => return exit::start_failure(&report),
    };
    shutdown.wait();
    keeper.stop();
    ExitCode::SUCCESS
}
