use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cornelpoint::name::InstanceId;

use super::REQUEST_HEADER;
use super::answer::Answer;
use super::fault::EndpointFault;
use super::http_request::Header;
use super::http_request::HttpRequest;
use super::state::State;
use crate::lock::lock;

/// What happens to the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    Keep,
    Close,
    CloseIdle { after_ms: u64 },
}

/// Sends the answer to a run, with the fault selected for it.
pub(super) fn send(
    state: &Mutex<State>,
    mut stream: &TcpStream,
    request: &HttpRequest,
    mut answer: Answer,
    fault: Option<&EndpointFault>,
) -> io::Result<NextStep> {
    match fault {
        None | Some(EndpointFault::Slow { .. } | EndpointFault::Freeze { .. }) => {}
        Some(EndpointFault::CloseBeforeRun | EndpointFault::CloseAfterRun) => {
            return Ok(NextStep::Close);
        }
        Some(EndpointFault::RefuseConnections | EndpointFault::Hang) => return Ok(NextStep::Close),
        Some(EndpointFault::FailFast) => answer.status = 500,
        Some(EndpointFault::CutAnswer { after_bytes }) => {
            let bytes = answer.to_bytes();
            stream.write_all(&bytes[..bytes.len().min(*after_bytes)])?;
            return Ok(NextStep::Close);
        }
        Some(EndpointFault::LengthTooLarge { excess_bytes }) => {
            answer.stated_length += excess_bytes;
        }
        Some(EndpointFault::LengthTooSmall { excess_bytes }) => {
            answer.stated_length = answer.stated_length.saturating_sub(*excess_bytes);
        }
        Some(EndpointFault::Drip { pause_ms }) => {
            return drip(state, stream, &answer.to_bytes(), *pause_ms);
        }
        Some(EndpointFault::LateAnswer { late_ms }) => {
            thread::sleep(Duration::from_millis(*late_ms));
        }
        Some(EndpointFault::AnswerTwice) => stream.write_all(&answer.to_bytes())?,
        Some(EndpointFault::StaleAnswerFirst) => {
            stream.write_all(&other_answer(state, request).to_bytes())?;
        }
        Some(EndpointFault::WrongAnswer) => answer = other_answer(state, request),
        Some(EndpointFault::Garbage) => {
            stream.write_all(b"\x00\xffno answer\r\n\r\n\x80")?;
            return Ok(NextStep::Close);
        }
        Some(EndpointFault::HugeHeaders { header_bytes }) => {
            answer.add_header("cornelpoint-filler", &"x".repeat(*header_bytes));
        }
        Some(EndpointFault::CloseIdle { after_ms }) => {
            stream.write_all(&answer.to_bytes())?;
            return Ok(NextStep::CloseIdle {
                after_ms: *after_ms,
            });
        }
    }
    stream.write_all(&answer.to_bytes())?;
    Ok(NextStep::Keep)
}

/// Returns an answer that belongs to another request.
fn other_answer(state: &Mutex<State>, request: &HttpRequest) -> Answer {
    let instance: InstanceId = lock(state).settings.instance.clone();
    let mut other = request.clone();
    other
        .headers
        .retain(|header| !header.name.eq_ignore_ascii_case(REQUEST_HEADER));
    other.headers.push(Header {
        name: REQUEST_HEADER.to_owned(),
        value: "another-request".to_owned(),
    });
    other.target = match request.query_number("size") {
        Some(size) => format!("/another?size={size}"),
        None => "/another".to_owned(),
    };
    Answer::for_run(&other, &instance, 0)
}

fn drip(
    state: &Mutex<State>,
    mut stream: &TcpStream,
    bytes: &[u8],
    pause_ms: u64,
) -> io::Result<NextStep> {
    for byte in bytes {
        if lock(state).stopping {
            return Ok(NextStep::Close);
        }
        stream.write_all(&[*byte])?;
        thread::sleep(Duration::from_millis(pause_ms));
    }
    Ok(NextStep::Keep)
}
