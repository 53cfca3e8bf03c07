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

    fn refuse(&mut self, answer: &Answer, parsed: &ParsedHead, body: BodyForm) -> ConnectionForm {
        if parsed.framing == Framing::Empty {
            return self.send(answer, body, self.connection_after(parsed.connection));
        }
        self.send(answer, body, ConnectionForm::Close);
        self.source.linger();
        ConnectionForm::Close
    }

    fn reject(&mut self, rejection: &Rejection, body: BodyForm) -> ConnectionForm {
        self.handler.record_rejection(rejection.refusal);
        self.send(&Answer::rejected(rejection), body, ConnectionForm::Close);
        self.source.linger();
        ConnectionForm::Close
    }

    fn send(
        &mut self,
        answer: &Answer,
        body: BodyForm,
        connection: ConnectionForm,
    ) -> ConnectionForm {
        let bytes = answer.encode(AnswerForm { body, connection });
        let deadline = after(self.settings.body_timeout_ms);
        if self.source.write_all(&bytes, deadline) {
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
