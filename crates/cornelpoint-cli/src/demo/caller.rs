use std::net::SocketAddr;
use std::time::Duration;

use cornelpoint::name::ServiceName;
use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use cornelpoint_standin::endpoint::EchoAnswer;
use cornelpoint_standin::endpoint::body_hash;
use ureq::Agent;
use ureq::http::Response;

use super::outcome::CallResult;

/// Time that a caller waits for an answer after the deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Request to a gateway.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) gateway: SocketAddr,
    pub(super) service: ServiceName,
    pub(super) path: String,
    pub(super) idempotent: bool,
    pub(super) deadline_ms: u64,
}

/// HTTP client that makes one call at a time.
#[derive(Debug)]
pub(super) struct Caller {
    agent: Agent,
}

impl Caller {
    pub(super) fn new() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .build()
            .new_agent();
        Self { agent }
    }

    pub(super) fn call(&self, call: &Call) -> CallResult {
        let url = format!("http://{}/{}{}", call.gateway, call.service, call.path);
        let timeout = Duration::from_millis(call.deadline_ms) + ANSWER_GRACE;
        let body = call.path.as_bytes();
        let answer = if call.idempotent {
            self.agent
                .get(&url)
                .header("cornelpoint-deadline-ms", call.deadline_ms.to_string())
                .config()
                .timeout_global(Some(timeout))
                .build()
                .call()
        } else {
            self.agent
                .post(&url)
                .header("cornelpoint-deadline-ms", call.deadline_ms.to_string())
                .config()
                .timeout_global(Some(timeout))
                .build()
                .send(body)
        };
        match answer {
            Ok(answer) => classify(call, answer),
            Err(error) => CallResult::Lost(error.to_string()),
        }
    }
}

fn classify(call: &Call, mut answer: Response<ureq::Body>) -> CallResult {
    let run = header(&answer, RunState::HEADER);
    let reason = header(&answer, Refusal::HEADER);
    let body = match answer.body_mut().read_to_vec() {
        Ok(body) => body,
        Err(error) => return CallResult::Lost(error.to_string()),
    };
    match run.as_str() {
        "yes" if is_expected_answer(call, &body) => CallResult::Answered,
        "yes" => CallResult::WrongAnswer,
        "no" => CallResult::Refused(RunState::No, reason),
        _ => CallResult::Refused(RunState::Unknown, reason),
    }
}

fn is_expected_answer(call: &Call, body: &[u8]) -> bool {
    let sent: &[u8] = if call.idempotent {
        &[]
    } else {
        call.path.as_bytes()
    };
    serde_json::from_slice::<EchoAnswer>(body)
        .is_ok_and(|echo| echo.path == call.path && echo.body_hash == body_hash(sent))
}

fn header(answer: &Response<ureq::Body>, name: &str) -> String {
    answer
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
