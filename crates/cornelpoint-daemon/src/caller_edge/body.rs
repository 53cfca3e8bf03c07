use std::time::Instant;

use cornelpoint::request::Refusal;

use super::byte_source::ByteSource;
use super::byte_source::Fill;
use super::caller_handler::BodyLimit;
use super::chunked_decoder::ChunkedDecoder;
use super::framing::Framing;
use super::head_parser::ParsedHead;
use super::rejection::Rejection;

/// Most bytes reserved before any byte of a body came.
const MAX_RESERVE_BYTES: usize = 64 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why there is no body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// The body is not taken.
    Rejected(Rejection),
    /// The caller is gone.
    Closed,
}

impl From<Rejection> for BodyFailure {
    fn from(rejection: Rejection) -> Self {
        Self::Rejected(rejection)
    }
}

/// Reads the body that follows a head, within its limit and by its deadline.
pub(super) fn read(
    source: &mut ByteSource,
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
    if parsed.expects_continue && source.bytes().is_empty() {
        send_continue(source, deadline)?;
    }
    match parsed.framing {
        Framing::Empty => Ok(Vec::new()),
        Framing::Length(length_bytes) => read_length(source, length_bytes, deadline),
        Framing::Chunked => read_chunked(source, limit, deadline),
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

fn send_continue(source: &mut ByteSource, deadline: Instant) -> Result<(), BodyFailure> {
    if source.write_all(CONTINUE, deadline) {
        Ok(())
    } else {
        Err(BodyFailure::Closed)
    }
}

fn read_length(
    source: &mut ByteSource,
    length_bytes: u64,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let length = usize::try_from(length_bytes).map_err(|_| BodyFailure::Closed)?;
    let mut body = Vec::with_capacity(length.min(MAX_RESERVE_BYTES));
    loop {
        let wanted = length - body.len();
        let taken = wanted.min(source.bytes().len());
        body.extend_from_slice(&source.bytes()[..taken]);
        source.consume(taken);
        if body.len() == length {
            return Ok(body);
        }
        fill(source, deadline)?;
    }
}

fn read_chunked(
    source: &mut ByteSource,
    limit: BodyLimit,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let mut decoder = ChunkedDecoder::new(limit.max_bytes);
    loop {
        let taken = decoder.push(source.bytes())?;
        source.consume(taken);
        if decoder.is_done() {
            return Ok(decoder.into_body());
        }
        fill(source, deadline)?;
    }
}

fn fill(source: &mut ByteSource, deadline: Instant) -> Result<(), BodyFailure> {
    match source.fill(deadline) {
        Fill::Bytes => Ok(()),
        Fill::Closed => Err(BodyFailure::Closed),
        Fill::Late => Err(BodyFailure::Rejected(Rejection::new(
            Refusal::SlowCaller,
            "expected the whole body in time",
        ))),
    }
}
