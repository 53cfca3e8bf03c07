use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Bytes asked of a connection at once.
const READ_BYTES: usize = 8 * 1024;
/// Spare capacity that an idle connection may keep.
const MAX_IDLE_CAPACITY_BYTES: usize = 32 * 1024;

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
    read_timeout: Option<Duration>,
}

impl ByteSource {
    /// A source over a connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            read_timeout: None,
        }
    }

    /// The connection.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
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
            if left.is_zero() || !self.set_read_timeout(left) {
                return Fill::Late;
            }
            match self.read() {
                Ok(0) => return Fill::Closed,
                Ok(_) => return Fill::Bytes,
                Err(ErrorKind::Interrupted) => {}
                Err(ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Fill::Late,
                Err(_) => return Fill::Closed,
            }
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

    fn set_read_timeout(&mut self, left: Duration) -> bool {
        if self.read_timeout == Some(left) {
            return true;
        }
        let set = self.stream.set_read_timeout(Some(left)).is_ok();
        self.read_timeout = set.then_some(left);
        set
    }
}
