//! Plays a scenario of the review against the project's program.
//!
//! `review-2 SCENARIO RECORD` exits with 1 if the rule was broken, 0 if it held and 2
//! if the scenario couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod base64;
mod deployment;
mod http;
mod manager;
mod record;
mod scenarios;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("expected SCENARIO RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(&path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::note(&format!("scenario {name}, disruption: {trouble}"));
    let outcome = match name.as_str() {
        "odd-entry" => scenarios::odd_entry(trouble),
        "unseen-restart" => scenarios::unseen_restart(trouble),
        "two-crashes" => scenarios::two_crashes(trouble),
        "takeover" => scenarios::takeover(trouble),
        _ => Err("no such scenario".to_owned()),
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record::note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                record::note(&format!("BROKEN: {line}"));
            }
            ExitCode::from(1)
        }
        Err(error) => {
            record::note(&format!("couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
