use std::process::ExitCode;

use cornelpoint::deployment::Deployment;
use serde::Serialize;

use super::check::Check;
use super::demo_arguments::DemoArguments;

/// Checks of one run of the demo, each printed when it is added.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    deployment: Deployment,
    seed: u64,
    checks: Vec<Check>,
    #[serde(skip)]
    json: bool,
}

impl Report {
    /// Creates a report without checks.
    #[must_use]
    pub fn new(arguments: &DemoArguments) -> Self {
        Self {
            deployment: arguments.deployment,
            seed: arguments.seed,
            checks: Vec::new(),
            json: arguments.json,
        }
    }

    /// Whether every check passed.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }

    /// Prints a progress message to standard error; it is not part of the report.
    pub fn progress(&self, text: &str) {
        eprintln!("... {text}");
    }

    /// Adds a check and prints its line, unless the report is printed as JSON.
    pub fn add(&mut self, check: Check) {
        if !self.json {
            let word = if check.passed { "ok    " } else { "FAILED" };
            println!(
                "{word} {:<42} {} (expected {})",
                check.name, check.found, check.expected
            );
        }
        self.checks.push(check);
    }

    /// Prints the summary, or the whole report as JSON, and returns the exit code.
    #[must_use]
    pub fn finish(&self) -> ExitCode {
        let failed = self.checks.iter().filter(|check| !check.passed).count();
        if self.json {
            println!("{}", serde_json::to_string_pretty(self).unwrap_or_default());
        } else {
            println!("{} checks, {failed} failed", self.checks.len());
        }
        if failed == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
