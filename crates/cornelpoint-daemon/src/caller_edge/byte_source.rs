use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::socket_timeout::CachedTimeout;

/// Bytes asked of a connection at once.
const READ_BYTES: usize = 8 * 1024;
/// Spare capacity that an idle connection may keep.
const MAX_IDLE_CAPACITY_BYTES: usize = 32 * 1024;

/// Time for a caller to take an error answer while it still sends.
const LINGER_MS: u64 = 500;
/// Most bytes thrown away in that time.
const LINGER_BYTES: usize = 256 * 1024;

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fill {
    /// More bytes.
    Bytes,
    /// The end: the caller closed the connection, or it broke.
    Closed,
    /// The deadline.
    Late,
}

/// The bytes of a connection that were read and not yet taken.
#[derive(Debug)]
pub(super) struct ByteSource {
    stream: TcpStream,
    buffer: Vec<u8>,
    timeout: CachedTimeout,
}

impl ByteSource {
    /// A source over a connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            timeout: CachedTimeout::default(),
        }
    }

    /// The bytes not yet taken.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Takes the first `count` bytes away.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.buffer = Vec::new();
        }
    }

    /// Takes line ends away that stand before a request.
    pub(super) fn skip_line_ends(&mut self) {
        let is_end = |byte: &&u8| matches!(**byte, b'\r' | b'\n');
        let count = self.buffer.iter().take_while(is_end).count();
        self.consume(count);
    }

    /// Waits for more bytes.
    pub(super) fn fill(&mut self, deadline: Instant) -> Fill {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.timeout.limit_read(&self.stream, left).is_err() {
                return Fill::Late;
            }
            match self.read() {
                Ok(0) => return Fill::Closed,
                Ok(_) => return Fill::Bytes,
                Err(kind) if is_temporary(kind) => {}
                Err(_) => return Fill::Closed,
            }
        }
    }

    /// Writes all bytes by the deadline; false when the caller did not take
    /// them.
    pub(super) fn write_all(&mut self, bytes: &[u8], deadline: Instant) -> bool {
        let mut written = 0;
        while written < bytes.len() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.timeout.limit_write(&self.stream, left).is_err() {
                return false;
            }
            match self.stream.write(&bytes[written..]) {
                Ok(0) => return false,
                Ok(count) => written += count,
                Err(error) if is_temporary(error.kind()) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Ends the sending side and throws away what still comes, for a short
    /// time, so that the caller gets the answer and not a reset.
    pub(super) fn linger(&mut self) {
        // A connection that is closed already needs no end.
        let _ = self.stream.shutdown(Shutdown::Write);
        let deadline = Instant::now() + Duration::from_millis(LINGER_MS);
        let mut dropped = 0;
        while dropped < LINGER_BYTES {
            let taken = self.buffer.len();
            self.consume(taken);
            if self.fill(deadline) != Fill::Bytes {
                return;
            }
            dropped += self.buffer.len();
        }
    }

    fn read(&mut self) -> Result<usize, ErrorKind> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
        let result = self.stream.read(&mut self.buffer[filled..]);
        let count = result.as_ref().map_or(0, |count| *count);
        self.buffer.truncate(filled + count);
        result.map_err(|error| error.kind())
    }
}

/// Whether the call is to be repeated while there is time left.
fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut
    )
}
