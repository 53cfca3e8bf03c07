use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::BodyMode;
use super::answer::EncodeOptions;
use super::answer::Persistence;
use super::body;
use super::body::BodyFailure;
use super::buffered_stream::BufferedStream;
use super::buffered_stream::ReadOutcome;
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

/// Outcome of reading a request head.
enum HeadOutcome {
    Parsed(ParsedHead),
    Rejected(Rejection),
    Closed,
}

/// One connection of a caller.
pub(super) struct Connection<'a> {
    buffered: BufferedStream,
    id: ConnectionId,
    table: &'a ConnectionTable,
    settings: &'a EdgeSettings,
    handler: &'a dyn CallerHandler,
}

impl<'a> Connection<'a> {
    /// Creates a connection that the table contains under `id`.
    pub(super) fn new(
        stream: TcpStream,
        id: ConnectionId,
        table: &'a ConnectionTable,
        settings: &'a EdgeSettings,
        handler: &'a dyn CallerHandler,
    ) -> Self {
        Self {
            buffered: BufferedStream::new(stream),
            id,
            table,
            settings,
            handler,
        }
    }

    /// Serves requests one after another until the connection ends.
    pub(super) fn serve(&mut self) {
        while self.await_request() {
            let connection = self.serve_request();
            if connection == Persistence::Close {
                return;
            }
        }
    }

    fn await_request(&mut self) -> bool {
        self.buffered.skip_line_ends();
        if !self.buffered.bytes().is_empty() {
            return true;
        }
        self.table.set_activity(self.id, Activity::Idle);
        let deadline = deadline_after(self.settings.idle_timeout_ms);
        let filled = self.buffered.fill(deadline);
        self.table.set_activity(self.id, Activity::Busy);
        filled == ReadOutcome::Bytes
    }

    fn serve_request(&mut self) -> Persistence {
        let received_at = Instant::now();
        let parsed = match self.read_head() {
            HeadOutcome::Parsed(parsed) => parsed,
            HeadOutcome::Rejected(rejection) => return self.reject(&rejection, BodyMode::Sent),
            HeadOutcome::Closed => return Persistence::Close,
        };
        let body_mode = match parsed.head.method {
            Method::Head => BodyMode::Omitted,
            _ => BodyMode::Sent,
        };
        let limit = match self.handler.admit(&parsed.head) {
            Ok(limit) => limit,
            Err(answer) => return self.refuse(&answer, &parsed, body_mode),
        };
        let deadline = deadline_after(self.settings.body_timeout_ms);
        let body = match body::read(&mut self.buffered, &parsed, limit, deadline) {
            Ok(body) => body,
            Err(BodyFailure::Rejected(rejection)) => return self.reject(&rejection, body_mode),
            Err(BodyFailure::Closed) => return Persistence::Close,
        };
        let wanted = parsed.connection;
        let request = CallerRequest {
            head: parsed.head,
            body,
            received_at,
        };
        let answer = self.handler.handle(request);
        self.send(&answer, body_mode, self.connection_after(wanted))
    }

    fn read_head(&mut self) -> HeadOutcome {
        let deadline = deadline_after(self.settings.header_timeout_ms);
        let mut scanned = 0;
        loop {
            self.buffered.skip_line_ends();
            let bytes = self.buffered.bytes();
            let found = head_parser::head_length(bytes, scanned);
            if found.unwrap_or(bytes.len()) > self.settings.max_header_bytes {
                return HeadOutcome::Rejected(self.headers_too_large());
            }
            if let Some(length) = found {
                let parsed = head_parser::parse(&bytes[..length]);
                self.buffered.consume(length);
                return parsed.map_or_else(HeadOutcome::Rejected, HeadOutcome::Parsed);
            }
            scanned = bytes.len();
            match self.buffered.fill(deadline) {
                ReadOutcome::Bytes => {}
                ReadOutcome::Closed => return HeadOutcome::Closed,
                ReadOutcome::TimedOut => return HeadOutcome::Rejected(slow_head()),
            }
        }
    }

    fn headers_too_large(&self) -> Rejection {
        let max_bytes = self.settings.max_header_bytes;
        let detail = format!("expected at most {max_bytes} bytes of headers, found more");
        Rejection::new(Refusal::HeadersTooLarge, &detail)
    }

    fn connection_after(&self, wanted: Persistence) -> Persistence {
        if self.table.is_stopping() {
            Persistence::Close
        } else {
            wanted
        }
    }

    fn refuse(&mut self, answer: &Answer, parsed: &ParsedHead, body: BodyMode) -> Persistence {
        if parsed.framing == Framing::Empty {
            return self.send(answer, body, self.connection_after(parsed.connection));
        }
        self.send(answer, body, Persistence::Close);
        self.buffered.linger();
        Persistence::Close
    }

    fn reject(&mut self, rejection: &Rejection, body: BodyMode) -> Persistence {
        self.handler.record_rejection(rejection.refusal);
        self.send(&Answer::rejected(rejection), body, Persistence::Close);
        self.buffered.linger();
        Persistence::Close
    }

    fn send(&mut self, answer: &Answer, body: BodyMode, connection: Persistence) -> Persistence {
        let bytes = answer.encode(EncodeOptions { body, connection });
        let deadline = deadline_after(self.settings.body_timeout_ms);
        if self.buffered.write_all(&bytes, deadline) {
            connection
        } else {
            Persistence::Close
        }
    }
}

fn deadline_after(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

fn slow_head() -> Rejection {
    Rejection::new(Refusal::SlowCaller, "expected the whole head in time")
}
