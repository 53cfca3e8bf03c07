use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::RunState;

use super::answer_reader;
use super::answer_reader::CompleteAnswer;
use super::caller_request::CallerRequest;
use crate::history::AnswerBody;
use crate::history::Outcome;
use crate::history::Recorder;

/// Sends a request, waits for its outcome and records both.
///
/// ```
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::request::Method;
/// use cornelpoint_standin::caller::CallerRequest;
/// use cornelpoint_standin::caller::call;
/// use cornelpoint_standin::history::Outcome;
/// use cornelpoint_standin::history::Recorder;
///
/// let request = CallerRequest {
///     gateway: InstanceId::try_from("gateway-1").unwrap(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     request: "order-7".to_owned(),
///     idempotency_key: None,
///     method: Method::Post,
///     path: "/quoting/orders".to_owned(),
///     body: b"slab 1".to_vec(),
///     size_bytes: None,
///     work_ms: None,
///     deadline_ms: None,
///     timeout_ms: 1000,
/// };
/// let outcome = call(&Recorder::default(), &request);
/// assert!(matches!(outcome, Outcome::Lost { .. }));
/// ```
pub fn call(recorder: &Recorder, request: &CallerRequest) -> Outcome {
    let id = recorder.invoke(request.invocation());
    let outcome = match exchange(request) {
        Ok(answer) => outcome(request, &answer),
        Err(error) => Outcome::Lost {
            found: error.to_string(),
        },
    };
    recorder.complete(id, outcome.clone());
    outcome
}

fn exchange(request: &CallerRequest) -> io::Result<CompleteAnswer> {
    let timeout = Duration::from_millis(request.timeout_ms);
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&request.address, timeout)?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request.to_bytes())?;
    answer_reader::read(&stream, request.method != Method::Head, deadline)
}

fn outcome(request: &CallerRequest, answer: &CompleteAnswer) -> Outcome {
    let status = answer.head.status;
    match (answer.head.run, &answer.head.reason) {
        (Some(RunState::Yes), None) => Outcome::Answered {
            status,
            body: AnswerBody::read(&answer.body),
        },
        (Some(run), reason) => Outcome::Refused {
            status,
            run,
            reason: reason.clone().unwrap_or_default(),
        },
        (None, _) => Outcome::Lost {
            found: format!(
                "{} {}: answer has no valid run state header",
                request.method, request.path
            ),
        },
    }
}
