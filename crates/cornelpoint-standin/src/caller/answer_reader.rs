use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use httparse::Response;
use httparse::Status;

/// Maximum number of headers in an answer.
const MAX_HEADERS: usize = 128;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

/// Status and headers of an answer that a history records.
#[derive(Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) run: Option<RunState>,
    pub(super) reason: Option<String>,
    content_length: Option<usize>,
    length: usize,
}

/// An answer received in full.
#[derive(Debug)]
pub(super) struct CompleteAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
}

/// Reads one answer; an incomplete or overlong answer is an error.
pub(super) fn read(
    stream: &TcpStream,
    has_body: bool,
    deadline: Instant,
) -> io::Result<CompleteAnswer> {
    let mut buffer = Vec::new();
    let head = loop {
        if let Some(head) = parse(&buffer)? {
            break head;
        }
        fill(stream, &mut buffer, deadline)?;
    };
    let mut body = buffer.split_off(head.length);
    if !has_body {
        return Ok(CompleteAnswer { head, body });
    }
    let Some(length) = head.content_length else {
        return Err(invalid("answer has no valid content-length header"));
    };
    while body.len() < length {
        fill(stream, &mut body, deadline)?;
    }
    if body.len() > length {
        return Err(invalid("answer body is longer than its content-length"));
    }
    Ok(CompleteAnswer { head, body })
}

fn fill(mut stream: &TcpStream, buffer: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1))))?;
    if remaining.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    let mut chunk = [0; READ_BYTES];
    let length = stream.read(&mut chunk)?;
    if length == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&chunk[..length]);
    Ok(())
}

fn parse(buffer: &[u8]) -> io::Result<Option<AnswerHead>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let status = response
        .parse(buffer)
        .map_err(|error| invalid(&error.to_string()))?;
    let Status::Complete(length) = status else {
        return Ok(None);
    };
    let value = |name: &str| header_value(&response, name);
    Ok(Some(AnswerHead {
        status: response.code.unwrap_or_default(),
        run: value(RunState::HEADER).and_then(|text| run_state(&text)),
        reason: value(Refusal::HEADER),
        content_length: value("content-length").and_then(|text| text.parse().ok()),
        length,
    }))
}

fn header_value(response: &Response<'_, '_>, name: &str) -> Option<String> {
    response
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| String::from_utf8_lossy(header.value).into_owned())
}

fn run_state(text: &str) -> Option<RunState> {
    [RunState::No, RunState::Yes, RunState::Unknown]
        .into_iter()
        .find(|state| state.as_str() == text)
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, reason.to_owned())
}
