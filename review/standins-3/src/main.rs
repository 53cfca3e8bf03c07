//! Scenarios of the third review. Each starts the project's processes and stand-ins for
//! the platform, workers and callers, and checks one rule as written.
//!
//! Usage: `review-3 SCENARIO RECORD`, in the repository's root. Exit code 1 if the rule was
//! broken, 0 if it held, 2 if the scenario couldn't run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod advice;
mod cases;
mod http;
mod json;
mod platform;
mod record;
mod store;
mod worker;

use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// What a scenario has shown of its rule.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = arguments.as_slice() else {
        eprintln!("usage: review-3 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("scenario {scenario}, disruption: {trouble}"));
    let verdict = match scenario.as_str() {
        "advice" => cases::advice(&record, trouble),
        "route" => cases::route(&record, trouble, true),
        "service" => cases::route(&record, trouble, false),
        "progress" => cases::progress(&record, trouble),
        "tasks" => cases::tasks(&record, trouble),
        "cancel" => cases::cancel(&record, trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    match verdict {
        Ok(Verdict::Held(said)) => {
            record.line(&format!("rule held: {said}"));
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(said)) => {
            record.line(&format!("rule broken: {said}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
