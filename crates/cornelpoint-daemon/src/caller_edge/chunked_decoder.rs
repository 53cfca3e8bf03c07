use cornelpoint::request::Refusal;

use super::rejection::Rejection;

/// Longest line of a chunk size with its extensions, or of a trailer.
const MAX_LINE_BYTES: usize = 256;
/// Maximum size of all trailers together.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data { remaining_bytes: u64 },
    DataEnd,
    Trailer,
    Done,
}

/// What the next bytes of a chunked body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkStep {
    /// So many bytes of sizes, line ends or trailers.
    Framing { consumed: usize },
    /// So many bytes of the body.
    Data { bytes: usize },
    /// The body has ended.
    Done,
}

/// Incremental decoder of the chunked transfer coding, with a size limit.
#[derive(Debug)]
pub(super) struct ChunkedDecoder {
    state: State,
    line: Vec<u8>,
    /// Bytes of the body so far.
    body_bytes: u64,
    max_bytes: u64,
    trailer_bytes: usize,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body of at most `max_bytes` bytes.
    pub(super) fn new(max_bytes: u64) -> Self {
        Self {
            state: State::Size,
            line: Vec::new(),
            body_bytes: 0,
            max_bytes,
            trailer_bytes: 0,
        }
    }

    /// Whether the last chunk and the trailers have been read.
    pub(super) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the next bytes, up to the end of a line or of a chunk's data.
    pub(super) fn step(&mut self, bytes: &[u8]) -> Result<ChunkStep, Rejection> {
        match self.state {
            State::Data { remaining_bytes } => Ok(ChunkStep::Data {
                bytes: self.take_data(bytes, remaining_bytes),
            }),
            State::Size | State::DataEnd | State::Trailer => Ok(ChunkStep::Framing {
                consumed: self.take_line(bytes)?,
            }),
            State::Done => Ok(ChunkStep::Done),
        }
    }

    fn take_data(&mut self, bytes: &[u8], remaining_bytes: u64) -> usize {
        let wanted = usize::try_from(remaining_bytes).unwrap_or(usize::MAX);
        let taken = wanted.min(bytes.len());
        self.body_bytes += taken as u64;
        let remaining_bytes = remaining_bytes - taken as u64;
        self.state = match remaining_bytes {
            0 => State::DataEnd,
            _ => State::Data { remaining_bytes },
        };
        taken
    }

    fn take_line(&mut self, bytes: &[u8]) -> Result<usize, Rejection> {
        let line_feed = bytes.iter().position(|byte| *byte == b'\n');
        let taken = line_feed.map_or(bytes.len(), |at| at + 1);
        self.line.extend_from_slice(&bytes[..taken]);
        if self.line.len() > MAX_LINE_BYTES {
            return reject("expected shorter lines in the chunked body");
        }
        if line_feed.is_some() {
            let line = std::mem::take(&mut self.line);
            self.end_line(&line)?;
        }
        Ok(taken)
    }

    fn end_line(&mut self, line: &[u8]) -> Result<(), Rejection> {
        let Some(text) = line.strip_suffix(b"\r\n") else {
            return reject("expected CR LF at the end of a line of the chunked body");
        };
        match self.state {
            State::Size => self.start_chunk(text),
            State::Trailer => self.take_trailer(text),
            State::DataEnd if text.is_empty() => {
                self.state = State::Size;
                Ok(())
            }
            _ => reject("expected the end of a chunk"),
        }
    }

    fn start_chunk(&mut self, text: &[u8]) -> Result<(), Rejection> {
        let size = chunk_size(text)?;
        let total = self.body_bytes.saturating_add(size);
        if total > self.max_bytes {
            let max_bytes = self.max_bytes;
            let detail = format!("expected a body of at most {max_bytes} bytes, found more");
            return Err(Rejection::new(Refusal::BodyTooLarge, &detail));
        }
        self.state = match size {
            0 => State::Trailer,
            remaining_bytes => State::Data { remaining_bytes },
        };
        Ok(())
    }

    fn take_trailer(&mut self, text: &[u8]) -> Result<(), Rejection> {
        self.trailer_bytes += text.len();
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return reject("expected fewer trailers after the chunked body");
        }
        if text.is_empty() {
            self.state = State::Done;
        }
        Ok(())
    }
}

fn reject<T>(detail: &str) -> Result<T, Rejection> {
    Err(Rejection::bad_request(detail))
}

fn chunk_size(text: &[u8]) -> Result<u64, Rejection> {
    let digits = text.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = str::from_utf8(digits).unwrap_or_default().trim_ascii_end();
    let hexadecimal = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    match u64::from_str_radix(digits, 16) {
        Ok(size) if hexadecimal => Ok(size),
        _ => reject("expected a hexadecimal chunk size"),
    }
}
