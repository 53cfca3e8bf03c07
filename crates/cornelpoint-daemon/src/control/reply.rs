use std::io::Read;

use rouille::Request;
use rouille::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::control_error::ControlError;

/// Largest message that is read, in bytes.
const MESSAGE_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// Reads a message of another process.
///
/// # Errors
///
/// When the body is missing, too large or not the message expected.
pub fn packed_body<Q: DeserializeOwned>(request: &Request) -> Result<Q, ControlError> {
    rmp_serde::from_slice(&body(request)?).map_err(|error| ControlError::Malformed {
        found: error.to_string(),
    })
}

/// Reads an operator's message.
///
/// # Errors
///
/// As for `packed_body`.
pub fn json_body<Q: DeserializeOwned>(request: &Request) -> Result<Q, ControlError> {
    serde_json::from_slice(&body(request)?).map_err(|error| ControlError::Malformed {
        found: error.to_string(),
    })
}

/// Answers another process.
#[must_use]
pub fn packed_reply<A: Serialize>(answer: &A) -> Response {
    match rmp_serde::to_vec_named(answer) {
        Ok(body) => Response::from_data("application/msgpack", body),
        Err(error) => text_reply(500, &error.to_string()),
    }
}

/// Answers an operator.
#[must_use]
pub fn json_reply<A: Serialize>(answer: &A) -> Response {
    match serde_json::to_vec_pretty(answer) {
        Ok(body) => Response::from_data("application/json", body),
        Err(error) => text_reply(500, &error.to_string()),
    }
}

/// Answers with a status and one line of text.
#[must_use]
pub fn text_reply(status: u16, text: &str) -> Response {
    Response::text(format!("{text}\n")).with_status_code(status)
}

fn body(request: &Request) -> Result<Vec<u8>, ControlError> {
    let mut content = Vec::new();
    let data = request.data().ok_or_else(|| ControlError::Malformed {
        found: "no body".to_owned(),
    })?;
    data.take(MESSAGE_LIMIT_BYTES + 1)
        .read_to_end(&mut content)
        .map_err(|error| ControlError::Malformed {
            found: error.to_string(),
        })?;
    if content.len() as u64 > MESSAGE_LIMIT_BYTES {
        return Err(ControlError::Malformed {
            found: format!("more than {MESSAGE_LIMIT_BYTES} bytes"),
        });
    }
    Ok(content)
}
