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

/// Most headers of an answer.
const MAX_HEADERS: usize = 128;

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;

/// The head of an answer, as far as it matters to a history.
#[derive(Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) run: Option<RunState>,
    pub(super) reason: Option<String>,
    content_length: Option<usize>,
    length: usize,
}

/// An answer that came whole.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
}

/// Reads one answer; anything short of a whole one is an error.
pub(super) fn read(
    stream: &TcpStream,
    has_body: bool,
    give_up: Instant,
) -> io::Result<WholeAnswer> {
    let mut buffer = Vec::new();
    let head = loop {
        if let Some(head) = parse(&buffer)? {
            break head;
        }
        fill(stream, &mut buffer, give_up)?;
    };
    let mut body = buffer.split_off(head.length);
    if !has_body {
        return Ok(WholeAnswer { head, body });
    }
    let Some(length) = head.content_length else {
        return Err(invalid("no content length"));
    };
    while body.len() < length {
        fill(stream, &mut body, give_up)?;
    }
    if body.len() > length {
        return Err(invalid("more than the content length"));
    }
    Ok(WholeAnswer { head, body })
}

fn fill(mut stream: &TcpStream, buffer: &mut Vec<u8>, give_up: Instant) -> io::Result<()> {
    let rest = give_up.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(rest.max(Duration::from_millis(1))))?;
    if rest.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    let mut piece = [0; READ_BYTES];
    let length = stream.read(&mut piece)?;
    if length == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&piece[..length]);
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
