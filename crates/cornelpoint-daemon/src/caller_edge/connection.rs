use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::AnswerForm;
use super::answer::BodyForm;
use super::answer::ConnectionForm;
use super::body;
use super::body::BodyFailure;
use super::byte_source::ByteSource;
use super::byte_source::Fill;
use super::caller_handler::CallerHandler;
use super::caller_handler::CallerRequest;
use super::connection_table::Activity;
use super::connection_table::ConnectionId;
use super::connection_table::ConnectionTable;
use super::edge_settings::EdgeSettings;
use super::framing::Framing;
use super::head_parser;
use super::head_parser::ParsedHead;
use super::rejection::Rejection;

/// Time for a caller to take an error answer while it still sends.
const LINGER_MS: u64 = 500;
/// Most bytes thrown away in that time.
const LINGER_BYTES: usize = 256 * 1024;

/// What a head came to.
enum HeadOutcome {
    Parsed(ParsedHead),
    Rejected(Rejection),
    Closed,
}

/// One connection of a caller.
pub(super) struct Connection<'a> {
    source: ByteSource,
    id: ConnectionId,
    table: &'a ConnectionTable,
    settings: &'a EdgeSettings,
    handler: &'a dyn CallerHandler,
}

impl<'a> Connection<'a> {
    /// A connection that was entered in the table under `id`.
    pub(super) fn new(
        stream: TcpStream,
        id: ConnectionId,
        table: &'a ConnectionTable,
        settings: &'a EdgeSettings,
        handler: &'a dyn CallerHandler,
    ) -> Self {
        Self {
            source: ByteSource::new(stream),
            id,
            table,
            settings,
            handler,
        }
    }

    /// Serves requests in their order until the connection ends.
    pub(super) fn serve(&mut self) {
        while self.await_request() {
            let connection = self.exchange();
            if connection == ConnectionForm::Close {
                return;
            }
        }
    }

    fn await_request(&mut self) -> bool {
        self.source.skip_line_ends();
        if !self.source.bytes().is_empty() {
            return true;
        }
        self.table.set_activity(self.id, Activity::Idle);
        let deadline = after(self.settings.idle_timeout_ms);
        let filled = self.source.fill(deadline);
        self.table.set_activity(self.id, Activity::Busy);
        filled == Fill::Bytes
    }

    fn exchange(&mut self) -> ConnectionForm {
        let received_at = Instant::now();
        let parsed = match self.read_head() {
            HeadOutcome::Parsed(parsed) => parsed,
            HeadOutcome::Rejected(rejection) => return self.reject(&rejection, BodyForm::Sent),
            HeadOutcome::Closed => return ConnectionForm::Close,
        };
        let body_form = match parsed.head.method {
            Method::Head => BodyForm::Omitted,
            _ => BodyForm::Sent,
        };
        let limit = match self.handler.admit(&parsed.head) {
            Ok(limit) => limit,
            Err(answer) => return self.refuse(&answer, &parsed, body_form),
        };
        let deadline = after(self.settings.body_timeout_ms);
        let body = match body::read(&mut self.source, &parsed, limit, deadline) {
            Ok(body) => body,
            Err(BodyFailure::Rejected(rejection)) => return self.reject(&rejection, body_form),
            Err(BodyFailure::Closed) => return ConnectionForm::Close,
        };
        let wanted = parsed.connection;
        let request = CallerRequest {
            head: parsed.head,
            body,
            received_at,
        };
        let answer = self.handler.handle(request);
        self.send(&answer, body_form, self.connection_after(wanted))
    }

    fn read_head(&mut self) -> HeadOutcome {
        let deadline = after(self.settings.header_timeout_ms);
        let mut scanned = 0;
        loop {
            self.source.skip_line_ends();
            let bytes = self.source.bytes();
            let found = head_parser::head_length(bytes, scanned);
            if found.unwrap_or(bytes.len()) > self.settings.max_header_bytes {
                return HeadOutcome::Rejected(self.headers_too_large());
            }
            if let Some(length) = found {
                let parsed = head_parser::parse(&bytes[..length]);
                self.source.consume(length);
                return parsed.map_or_else(HeadOutcome::Rejected, HeadOutcome::Parsed);
            }
            scanned = bytes.len();
            match self.source.fill(deadline) {
                Fill::Bytes => {}
                Fill::Closed => return HeadOutcome::Closed,
                Fill::Late => return HeadOutcome::Rejected(slow_head()),
            }
        }
    }

    fn headers_too_large(&self) -> Rejection {
        let max_bytes = self.settings.max_header_bytes;
        let detail = format!("expected at most {max_bytes} bytes of headers, found more");
        Rejection::new(Refusal::HeadersTooLarge, &detail)
    }

    fn connection_after(&self, wanted: ConnectionForm) -> ConnectionForm {
        if self.table.is_stopping() {
            ConnectionForm::Close
        } else {
            wanted
        }
    }

    fn refuse(&self, answer: &Answer, parsed: &ParsedHead, body: BodyForm) -> ConnectionForm {
        if parsed.framing == Framing::Empty {
            return self.send(answer, body, self.connection_after(parsed.connection));
        }
        self.send(answer, body, ConnectionForm::Close);
        linger(self.source.stream());
        ConnectionForm::Close
    }

    fn reject(&self, rejection: &Rejection, body: BodyForm) -> ConnectionForm {
        self.send(&Answer::rejected(rejection), body, ConnectionForm::Close);
        linger(self.source.stream());
        ConnectionForm::Close
    }

    fn send(&self, answer: &Answer, body: BodyForm, connection: ConnectionForm) -> ConnectionForm {
        let bytes = answer.encode(AnswerForm { body, connection });
        let deadline = after(self.settings.body_timeout_ms);
        if write_all(self.source.stream(), &bytes, deadline) {
            connection
        } else {
            ConnectionForm::Close
        }
    }
}

fn after(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

fn slow_head() -> Rejection {
    Rejection::new(Refusal::SlowCaller, "expected the whole head in time")
}

/// Writes all bytes by the deadline; false when the caller did not take them.
pub(super) fn write_all(mut stream: &TcpStream, bytes: &[u8], deadline: Instant) -> bool {
    let mut written = 0;
    while written < bytes.len() {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_write_timeout(Some(left)).is_err() {
            return false;
        }
        match stream.write(&bytes[written..]) {
            Ok(0) => return false,
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    true
}

/// Ends the sending side and throws away what still comes, for a short time,
/// so that the caller gets the answer and not a reset.
pub(super) fn linger(mut stream: &TcpStream) {
    // A connection that is closed already needs no end.
    let _ = stream.shutdown(Shutdown::Write);
    let deadline = after(LINGER_MS);
    let mut scrap = [0; 4096];
    let mut dropped = 0;
    while dropped < LINGER_BYTES {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match stream.read(&mut scrap) {
            Ok(0) | Err(_) => return,
            Ok(count) => dropped += count,
        }
    }
}
