use std::time::Instant;

use cornelpoint::request::Refusal;

use super::buffered_stream::BufferedStream;
use super::buffered_stream::ReadOutcome;
use super::caller_handler::BodyLimit;
use super::chunked_decoder::ChunkedDecoder;
use super::framing::Framing;
use super::head_parser::ParsedHead;
use super::rejection::Rejection;

/// Largest capacity reserved before any byte of a body has been received.
const MAX_RESERVE_BYTES: usize = 64 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// The body is invalid, too large or too slow.
    Rejected(Rejection),
    /// The caller closed the connection.
    Closed,
}

impl From<Rejection> for BodyFailure {
    fn from(rejection: Rejection) -> Self {
        Self::Rejected(rejection)
    }
}

/// Reads the body that follows a head, up to its size limit and until its
/// deadline.
pub(super) fn read(
    buffered: &mut BufferedStream,
    parsed: &ParsedHead,
    limit: BodyLimit,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    if let Framing::Length(length_bytes) = parsed.framing {
        check_length(length_bytes, limit)?;
    }
    if parsed.framing == Framing::Empty {
        return Ok(Vec::new());
    }
    if parsed.expects_continue && buffered.bytes().is_empty() {
        send_continue(buffered, deadline)?;
    }
    match parsed.framing {
        Framing::Empty => Ok(Vec::new()),
        Framing::Length(length_bytes) => read_length(buffered, length_bytes, deadline),
        Framing::Chunked => read_chunked(buffered, limit, deadline),
    }
}

fn check_length(length_bytes: u64, limit: BodyLimit) -> Result<(), Rejection> {
    let max_bytes = limit.max_bytes;
    if length_bytes <= max_bytes {
        return Ok(());
    }
    let detail = format!("expected a body of at most {max_bytes} bytes, found {length_bytes}");
    Err(Rejection::new(Refusal::BodyTooLarge, &detail))
}

fn send_continue(buffered: &mut BufferedStream, deadline: Instant) -> Result<(), BodyFailure> {
    if buffered.write_all(CONTINUE, deadline) {
        Ok(())
    } else {
        Err(BodyFailure::Closed)
    }
}

fn read_length(
    buffered: &mut BufferedStream,
    length_bytes: u64,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let length = usize::try_from(length_bytes).map_err(|_| BodyFailure::Closed)?;
    let mut body = Vec::with_capacity(length.min(MAX_RESERVE_BYTES));
    loop {
        let wanted = length - body.len();
        let taken = wanted.min(buffered.bytes().len());
        body.extend_from_slice(&buffered.bytes()[..taken]);
        buffered.consume(taken);
        if body.len() == length {
            return Ok(body);
        }
        fill(buffered, deadline)?;
    }
}

fn read_chunked(
    buffered: &mut BufferedStream,
    limit: BodyLimit,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let mut decoder = ChunkedDecoder::new(limit.max_bytes);
    loop {
        let taken = decoder.push(buffered.bytes())?;
        buffered.consume(taken);
        if decoder.is_done() {
            return Ok(decoder.into_body());
        }
        fill(buffered, deadline)?;
    }
}

fn fill(buffered: &mut BufferedStream, deadline: Instant) -> Result<(), BodyFailure> {
    match buffered.fill(deadline) {
        ReadOutcome::Bytes => Ok(()),
        ReadOutcome::Closed => Err(BodyFailure::Closed),
        ReadOutcome::TimedOut => Err(BodyFailure::Rejected(Rejection::new(
            Refusal::SlowCaller,
            "expected the whole body in time",
        ))),
    }
}
