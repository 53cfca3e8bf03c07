use std::time::Instant;

use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::request::Refusal;

use super::buffered_stream::BufferedStream;
use super::buffered_stream::ReadOutcome;
use super::caller_handler::BodyLimit;
use super::chunked_decoder::ChunkStep;
use super::chunked_decoder::ChunkedDecoder;
use super::framing::Framing;
use super::head_parser::ParsedHead;
use super::open_connections::ConnectionHandle;
use super::open_connections::OpenConnections;
use super::rejection::Rejection;

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

/// Reads the body that follows a head, within its size limit, until its deadline, and as long
/// as there is room for it.
pub(super) struct BodyReader<'a> {
    pub(super) buffered: &'a mut BufferedStream,
    pub(super) connections: &'a OpenConnections,
    pub(super) handle: &'a ConnectionHandle,
    pub(super) id: ConnectionId,
    pub(super) limit: BodyLimit,
    /// What the decoded form takes for each byte of a complete body.
    pub(super) decoded_bytes_per_byte: usize,
    pub(super) deadline: Instant,
}

impl BodyReader<'_> {
    /// Returns the whole body.
    pub(super) fn read(&mut self, parsed: &ParsedHead) -> Result<Vec<u8>, BodyFailure> {
        let length = match parsed.framing {
            Framing::Empty => return Ok(Vec::new()),
            Framing::Length(length_bytes) => {
                check_length(length_bytes, self.limit)?;
                Some(usize::try_from(length_bytes).map_err(|_| BodyFailure::Closed)?)
            }
            Framing::Chunked => None,
        };
        if !self.connections.begin_body(self.id) {
            return Err(no_room().into());
        }
        if parsed.expects_continue && self.buffered.bytes().is_empty() {
            send_continue(self.buffered, self.deadline)?;
        }
        match length {
            Some(length) => self.read_length(length)?,
            None => self.read_chunked()?,
        }
        self.complete()
    }

    fn read_length(&mut self, length: usize) -> Result<(), BodyFailure> {
        let mut left = length;
        loop {
            let taken = left.min(self.buffered.bytes().len());
            self.append(taken, left, true)?;
            left -= taken;
            if left == 0 {
                return Ok(());
            }
            self.fill()?;
        }
    }

    fn read_chunked(&mut self) -> Result<(), BodyFailure> {
        let max_bytes = usize::try_from(self.limit.max_bytes).unwrap_or(usize::MAX);
        let mut decoder = ChunkedDecoder::new(self.limit.max_bytes);
        loop {
            while !self.buffered.bytes().is_empty() {
                let step = decoder.step(self.buffered.bytes())?;
                match step {
                    ChunkStep::Framing { consumed } => self.buffered.consume(consumed),
                    ChunkStep::Data { bytes } => {
                        let left = max_bytes - self.handle.body().len();
                        self.append(bytes, left, false)?;
                    }
                    ChunkStep::Done => return Ok(()),
                }
            }
            if decoder.is_done() {
                return Ok(());
            }
            self.fill()?;
        }
    }

    /// Moves bytes from the read buffer to the body, of which at most `left_bytes` are to
    /// come.
    fn append(
        &mut self,
        count: usize,
        left_bytes: usize,
        length_is_known: bool,
    ) -> Result<(), BodyFailure> {
        let mut piece = &self.buffered.bytes()[..count];
        loop {
            let mut body = self.handle.body();
            piece = body.fill(piece);
            let left_bytes = left_bytes - (count - piece.len());
            if piece.is_empty() {
                break;
            }
            let segment_bytes = body.next_segment_bytes(left_bytes, length_is_known);
            let held_bytes = body.capacity() + segment_bytes;
            drop(body);
            if !self.connections.hold(self.id, held_bytes) {
                return Err(no_room().into());
            }
            self.handle.body().add_segment(segment_bytes);
        }
        self.buffered.consume(count);
        Ok(())
    }

    fn complete(&mut self) -> Result<Vec<u8>, BodyFailure> {
        let body = std::mem::take(&mut *self.handle.body());
        // It is held in segments and as a whole until the segments are free.
        let decoded_bytes = body.len() * (1 + self.decoded_bytes_per_byte);
        let held_bytes = decoded_bytes.max(body.capacity() + body.len());
        if !self.connections.complete_body(self.id, held_bytes) {
            return Err(no_room().into());
        }
        Ok(body.into_vec())
    }

    fn fill(&mut self) -> Result<(), BodyFailure> {
        match self.buffered.fill(self.deadline) {
            ReadOutcome::Bytes => {
                let count = self.buffered.bytes().len();
                self.connections.record_progress(self.id, count);
                Ok(())
            }
            ReadOutcome::Closed => Err(BodyFailure::Closed),
            ReadOutcome::TimedOut => Err(BodyFailure::Rejected(Rejection::new(
                Refusal::SlowCaller,
                "expected the whole body in time",
            ))),
        }
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

fn no_room() -> Rejection {
    Rejection::new(
        Refusal::Overloaded,
        "expected room for the body, found none left",
    )
}
