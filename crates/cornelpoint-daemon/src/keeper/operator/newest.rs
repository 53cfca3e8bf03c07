use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Head;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::configuration::head_key;
use rouille::Response;

use super::operator::Operator;
use crate::control::json_reply;
use crate::control::text_reply;

/// Answers with the newest configuration in the table, which may be newer
/// than the one in force here; `null` when none was accepted.
pub(super) fn answer(operator: &Operator) -> Response {
    match read(operator) {
        Ok(configuration) => json_reply(&configuration),
        Err(found) => text_reply(503, &found),
    }
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
