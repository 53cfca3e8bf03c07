use std::process::ExitCode;

use clap::Parser;

use crate::command_line::Command;
use crate::command_line::CommandLine;
use crate::demo;
use crate::demo::DemoArguments;
use crate::execution;
use crate::load;
use crate::output::CommandOutput;
use crate::output::Printer;
use crate::settings::Environment;
use crate::settings::Settings;

/// Runs the program with the arguments and the environment of the process.
#[must_use]
pub fn run() -> ExitCode {
    let command_line = CommandLine::parse();
    if let Command::Demo(arguments) = &command_line.command {
        let json = command_line.json || arguments.json;
        return demo::run(&DemoArguments { json, ..*arguments });
    }
    if let Command::Load(arguments) = &command_line.command {
        return load::run(arguments, command_line.json);
    }
    let printer = Printer::for_terminal(command_line.json);
    match Settings::new(command_line, &Environment::of_process()) {
        Ok(settings) => printer.print(&execution::run(&settings)),
        Err(error) => printer.print(&CommandOutput::usage(&error)),
    }
}
