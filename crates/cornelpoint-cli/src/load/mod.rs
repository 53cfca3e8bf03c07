//! Open-loop load generator: requests are sent at scheduled times, independent
//! of earlier answers.
//!
//! The schedule depends only on the arguments and their seed. Latency is
//! measured from when a request was due, not from when it was sent: a slow
//! answer also counts for the requests that had to wait for a free sender, which
//! avoids coordinated omission.

mod duration_histogram;
mod load_arguments;
mod load_report;
mod planned_request;
mod request_outcome;
mod schedule;
mod sender;
mod shape;

use std::process::ExitCode;

pub use self::duration_histogram::Percentiles;
pub use self::load_arguments::LoadArguments;
pub use self::load_report::LoadReport;
pub use self::load_report::OutcomeCount;
pub use self::planned_request::PlannedRequest;
pub use self::request_outcome::RequestOutcome;
pub use self::schedule::Schedule;
pub use self::shape::Shape;

/// Sends the load and prints its report.
///
/// Returns success whenever the report was printed, also if requests were not
/// answered.
#[must_use]
pub fn run(arguments: &LoadArguments, json: bool) -> ExitCode {
    eprintln!("seed {}", arguments.seed);
    let report = sender::send_all(arguments);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        print!("{report}");
    }
    ExitCode::SUCCESS
}
