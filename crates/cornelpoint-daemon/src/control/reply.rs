use serde::Serialize;
use serde::de::DeserializeOwned;

use super::control_error::ControlError;
use super::control_request::ControlRequest;
use crate::caller_edge::Answer;
use crate::caller_edge::Header;

/// HTTP status of a successful answer.
const OK: u16 = 200;

/// Decodes a `MessagePack` message of another process.
///
/// # Errors
///
/// When the body is missing or is not the expected message.
pub fn msgpack_body<Q: DeserializeOwned>(request: &ControlRequest) -> Result<Q, ControlError> {
    rmp_serde::from_slice(request.body()).map_err(|error| ControlError::Malformed {
        found: error.to_string(),
    })
}

/// Decodes an operator's JSON message.
///
/// # Errors
///
/// As for `msgpack_body`.
pub fn json_body<Q: DeserializeOwned>(request: &ControlRequest) -> Result<Q, ControlError> {
    serde_json::from_slice(request.body()).map_err(|error| ControlError::Malformed {
        found: error.to_string(),
    })
}

/// Answers another process with a `MessagePack` body.
#[must_use]
pub fn msgpack_reply<A: Serialize>(answer: &A) -> Answer {
    match rmp_serde::to_vec_named(answer) {
        Ok(body) => with_body("application/msgpack", body),
        Err(error) => text_reply(500, &error.to_string()),
    }
}

/// Answers an operator with a JSON body.
#[must_use]
pub fn json_reply<A: Serialize>(answer: &A) -> Answer {
    match serde_json::to_vec_pretty(answer) {
        Ok(body) => with_body("application/json", body),
        Err(error) => text_reply(500, &error.to_string()),
    }
}

/// Answers with a status and one line of text.
#[must_use]
pub fn text_reply(status: u16, text: &str) -> Answer {
    Answer {
        status,
        ..with_body(
            "text/plain; charset=utf-8",
            format!("{text}\n").into_bytes(),
        )
    }
}

fn with_body(content_type: &str, body: Vec<u8>) -> Answer {
    Answer {
        status: OK,
        headers: vec![Header::new("content-type", content_type)],
        body,
    }
}
