use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use super::control_error::ControlError;
use crate::http_agent::http_agent;

/// Largest answer accepted.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// HTTP client for the control interfaces of other processes.
#[derive(Clone, Debug)]
pub struct ControlClient {
    agent: Agent,
}

impl ControlClient {
    /// Creates a client; each call ends within the timeout.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let agent = http_agent(timeout);
        Self { agent }
    }

    /// Sends a `MessagePack` message and returns the decoded answer.
    ///
    /// # Errors
    ///
    /// When the process does not answer in time, answers with another status than
    /// success, or sends a malformed answer.
    pub fn call<Q: Serialize + ?Sized, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A, ControlError> {
        let body = rmp_serde::to_vec_named(message).map_err(malformed)?;
        let answer = self.send(&format!("http://{address}{path}"), &body)?;
        rmp_serde::from_slice(&answer).map_err(malformed)
    }

    /// Sends an operator's action as JSON and returns the decoded answer.
    ///
    /// # Errors
    ///
    /// As for `call`.
    pub fn call_json<Q: Serialize + ?Sized, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A, ControlError> {
        let body = serde_json::to_vec(message).map_err(malformed)?;
        let answer = self.send(&format!("http://{address}{path}"), &body)?;
        serde_json::from_slice(&answer).map_err(malformed)
    }

    /// Gets a JSON page, for example `/dump`.
    ///
    /// # Errors
    ///
    /// As for `call`.
    pub fn get_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A, ControlError> {
        let answer = self
            .agent
            .get(format!("http://{address}{path}"))
            .call()
            .map_err(unreachable)?;
        serde_json::from_slice(&read(answer)?).map_err(malformed)
    }

    /// Whether the process reports that it is healthy.
    #[must_use]
    pub fn is_healthy(&self, address: SocketAddr) -> bool {
        self.agent
            .get(format!("http://{address}/health"))
            .call()
            .is_ok_and(|answer| answer.status().is_success())
    }

    fn send(&self, url: &str, body: &[u8]) -> Result<Vec<u8>, ControlError> {
        let answer = self.agent.post(url).send(body).map_err(unreachable)?;
        read(answer)
    }
}

fn read(mut answer: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, ControlError> {
    let status = answer.status();
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(unreachable)?;
    if status.is_success() {
        return Ok(body);
    }
    Err(ControlError::Refused {
        status: status.as_u16(),
        found: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn malformed(error: impl std::error::Error) -> ControlError {
    ControlError::Malformed {
        found: error.to_string(),
    }
}

fn unreachable(error: impl std::error::Error) -> ControlError {
    ControlError::Unreachable {
        found: error.to_string(),
    }
}
