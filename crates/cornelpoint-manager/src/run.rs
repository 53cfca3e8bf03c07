use std::env;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use cornelpoint_daemon::log::Component;
use cornelpoint_daemon::log::LogFormat;
use cornelpoint_daemon::log::LogLevel;
use cornelpoint_daemon::log::LogSettings;
use cornelpoint_daemon::log::RootLog;
use cornelpoint_platform::settings::NodeSettings;
use cornelpoint_platform::settings::SETTINGS_VARIABLE;
use slog::error;
use slog::info;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::node::Node;

/// Exit code if the process can't start or fails.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code if the settings are missing or invalid.
const INVALID_SETTINGS_EXIT_CODE: u8 = 3;

/// Serves callers, schedules pools and manages machines.
#[derive(Debug, Parser)]
#[command(name = "cornelpoint-manager", version)]
struct Arguments {
    /// Settings file; by default the one named in `CORNELPOINT_CONFIG`.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check_settings: bool,
    /// Also log messages of level debug.
    #[arg(long)]
    verbose: bool,
}

/// Runs the process until it receives a signal to stop.
#[must_use]
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match load_settings(&arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if arguments.check_settings {
        return ExitCode::SUCCESS;
    }
    let log = RootLog::to_writer(
        &LogSettings {
            form: LogFormat::Json,
            level: if arguments.verbose {
                LogLevel::Debug
            } else {
                LogLevel::Info
            },
            ..LogSettings::default()
        },
        io::stdout(),
    );
    let main_log = log.component(Component::Main);
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("event loop can't be created: {error}");
            return ExitCode::from(FAILURE_EXIT_CODE);
        }
    };
    info!(main_log, "Starting."; "node" => &settings.node, "zone" => &settings.zone);
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, Node::run(settings, &log));
    match outcome {
        Ok(()) => {
            info!(main_log, "Stopped.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!(main_log, "Failed."; "error" => %error);
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}

fn load_settings(arguments: &Arguments) -> Result<NodeSettings, String> {
    let path = match &arguments.settings {
        Some(path) => path.clone(),
        None => env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_else(|| format!("expected --settings or {SETTINGS_VARIABLE}"))?,
    };
    let text = fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    NodeSettings::parse(&text).map_err(|error| format!("{}: {error}", path.display()))
}
