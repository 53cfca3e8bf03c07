use std::thread;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Head;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::configuration::head_key;

use super::accept::RETRY_DELAY;
use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::control::json_reply;
use crate::control::text_reply;

/// Maximum number of attempts to read the table for one request.
const MAX_ATTEMPTS: usize = 3;

/// Handles `GET /operator/configuration`: returns the newest configuration in the
/// table, which may be newer than the one in force at this keeper; `null` when
/// none was accepted.
pub(super) fn answer(operator: &Operator) -> Answer {
    match read_with_retries(operator) {
        Ok(configuration) => json_reply(&configuration),
        Err(found) => text_reply(503, &found),
    }
}

/// Repeats a failed read, so that one lost answer of the platform does not fail
/// an operator's command.
fn read_with_retries(operator: &Operator) -> Result<Option<Configuration>, String> {
    let mut last = read(operator);
    for _ in 1..MAX_ATTEMPTS {
        if last.is_ok() {
            return last;
        }
        thread::sleep(RETRY_DELAY);
        last = read(operator);
    }
    last
}

fn read(operator: &Operator) -> Result<Option<Configuration>, String> {
    let platform = &operator.platform;
    let key = head_key(&operator.workspace);
    let rows = platform.read(&[key]).map_err(|error| error.to_string())?;
    let Some(row) = rows.first() else {
        return Ok(None);
    };
    let head = Head::decode(row).map_err(|error| error.to_string())?;
    let key = body_key(&operator.workspace, head.generation);
    let rows = platform.read(&[key]).map_err(|error| error.to_string())?;
    let body = rows.first().map(decode_body).transpose();
    body.map_err(|error| error.to_string())
}
