use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::open_connections::ConnectionHandle;
use crate::socket_timeout::CachedTimeout;

/// Number of bytes requested by one read, and the largest buffer capacity that an idle
/// connection keeps.
pub(super) const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Time for a caller to receive an error answer while it is still sending.
const LINGER_TIMEOUT_MS: u64 = 500;
/// Maximum number of bytes discarded in that time.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were read.
    Bytes,
    /// The caller closed the connection, or the connection failed.
    Closed,
    /// The deadline passed.
    TimedOut,
}

/// A caller's connection with a buffer of bytes that were read and not yet
/// consumed.
#[derive(Debug)]
pub(super) struct BufferedStream {
    handle: Arc<ConnectionHandle>,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been consumed.
    consumed: usize,
    timeout: CachedTimeout,
}

impl BufferedStream {
    /// Creates an empty buffer over a connection.
    pub(super) fn new(handle: Arc<ConnectionHandle>) -> Self {
        Self {
            handle,
            buffer: Vec::new(),
            consumed: 0,
            timeout: CachedTimeout::default(),
        }
    }

    /// What the buffer holds, free room included.
    pub(super) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// The bytes not yet consumed.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Removes the first `count` bytes from the buffer.
    pub(super) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed < self.buffer.len() {
            return;
        }
        self.consumed = 0;
        self.buffer.clear();
        if self.buffer.capacity() > READ_CHUNK_BYTES {
            self.buffer = Vec::new();
        }
    }

    /// Removes the line ends that precede a request.
    pub(super) fn skip_line_ends(&mut self) {
        let is_end = |byte: &&u8| matches!(**byte, b'\r' | b'\n');
        let count = self.bytes().iter().take_while(is_end).count();
        self.consume(count);
    }

    /// Reads more bytes into the buffer, waiting until the deadline.
    pub(super) fn fill(&mut self, deadline: Instant) -> ReadOutcome {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero()
                || self
                    .timeout
                    .limit_read(&self.handle.stream, remaining)
                    .is_err()
            {
                return ReadOutcome::TimedOut;
            }
            match self.read() {
                Ok(0) => return ReadOutcome::Closed,
                Ok(_) => return ReadOutcome::Bytes,
                Err(kind) if is_temporary(kind) => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Writes all bytes by the deadline; returns false when the caller did not
    /// receive them in time.
    pub(super) fn write_all(&mut self, bytes: &[u8], deadline: Instant) -> bool {
        let mut written = 0;
        while written < bytes.len() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero()
                || self
                    .timeout
                    .limit_write(&self.handle.stream, remaining)
                    .is_err()
            {
                return false;
            }
            match (&self.handle.stream).write(&bytes[written..]) {
                Ok(0) => return false,
                Ok(count) => written += count,
                Err(error) if is_temporary(error.kind()) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Shuts down the sending side and discards what still arrives for at most
    /// `LINGER_TIMEOUT_MS`, so that the caller receives the answer and not a
    /// connection reset.
    pub(super) fn linger(&mut self) {
        // Fails only when the connection is already closed.
        let _ = self.handle.stream.shutdown(Shutdown::Write);
        let deadline = Instant::now() + Duration::from_millis(LINGER_TIMEOUT_MS);
        let mut dropped = 0;
        while dropped < MAX_LINGER_BYTES {
            let taken = self.bytes().len();
            self.consume(taken);
            if self.fill(deadline) != ReadOutcome::Bytes {
                return;
            }
            dropped += self.bytes().len();
        }
    }

    fn read(&mut self) -> Result<usize, ErrorKind> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_CHUNK_BYTES, 0);
        let result = (&self.handle.stream).read(&mut self.buffer[filled..]);
        let count = result.as_ref().map_or(0, |count| *count);
        self.buffer.truncate(filled + count);
        result.map_err(|error| error.kind())
    }
}

/// Whether a failed read or write is repeated until its deadline.
fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut
    )
}
