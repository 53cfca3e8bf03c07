use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::connection_budget::BodySegments;
use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::request::Method;
use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::BodyMode;
use super::answer::EncodeOptions;
use super::answer::Persistence;
use super::body::BodyFailure;
use super::body::BodyReader;
use super::buffered_stream::BufferedStream;
use super::buffered_stream::READ_CHUNK_BYTES;
use super::buffered_stream::ReadOutcome;
use super::caller_handler::BodyLimit;
use super::caller_handler::CallerHandler;
use super::caller_handler::CallerRequest;
use super::edge_settings::EdgeSettings;
use super::framing::Framing;
use super::head_parser;
use super::head_parser::ParsedHead;
use super::open_connections::Activity;
use super::open_connections::ConnectionHandle;
use super::open_connections::OpenConnections;
use super::rejection::Rejection;
use super::request_room::RequestRoom;

/// Bytes of an answer that are written at a time. A client that takes none for a while may be
/// closed, so they have to be few enough for a slow link.
const WRITE_BYTES: usize = 64 * 1024;

/// Outcome of reading a request head.
enum HeadOutcome {
    Parsed(ParsedHead),
    Rejected(Rejection),
    Closed,
}

/// One connection of a caller.
pub(super) struct Connection<'a> {
    buffered: BufferedStream,
    handle: Arc<ConnectionHandle>,
    id: ConnectionId,
    connections: &'a Arc<OpenConnections>,
    settings: &'a EdgeSettings,
    handler: &'a dyn CallerHandler,
}

impl<'a> Connection<'a> {
    /// Serves a connection that has been added to the open ones under `id`.
    pub(super) fn new(
        handle: Arc<ConnectionHandle>,
        id: ConnectionId,
        connections: &'a Arc<OpenConnections>,
        settings: &'a EdgeSettings,
        handler: &'a dyn CallerHandler,
    ) -> Self {
        Self {
            buffered: BufferedStream::new(Arc::clone(&handle)),
            handle,
            id,
            connections,
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
        self.connections.set_activity(self.id, Activity::Idle);
        let deadline = deadline_after(self.settings.idle_timeout_ms);
        let filled = self.buffered.fill(deadline);
        self.connections.set_activity(self.id, Activity::Busy);
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
        let class = self.handler.classify(&parsed.head);
        if !self.connections.begin_request(self.id, class) {
            return self.reject(&no_room_for(class), body_mode);
        }
        let persistence = self.answer_request(parsed, class, body_mode, received_at);
        self.connections.end_request(self.id);
        persistence
    }

    fn answer_request(
        &mut self,
        parsed: ParsedHead,
        class: ClientClass,
        body_mode: BodyMode,
        received_at: Instant,
    ) -> Persistence {
        let limit = match self.handler.admit(&parsed.head) {
            Ok(limit) => limit,
            Err(answer) => return self.refuse(&answer, &parsed, body_mode),
        };
        let body = match self.read_body(&parsed, class, limit) {
            Ok(body) => body,
            Err(BodyFailure::Rejected(rejection)) => return self.reject(&rejection, body_mode),
            Err(BodyFailure::Closed) => return Persistence::Close,
        };
        let limits = self.connections.limits().class(class);
        let body_bytes = body.len() * (1 + limits.decoded_bytes_per_byte);
        // Not more than the whole body has been granted.
        let _ = self.connections.hold(self.id, body_bytes);
        let wanted = parsed.connection;
        let request = CallerRequest {
            head: parsed.head,
            body,
            received_at,
            room: RequestRoom::new(Arc::clone(self.connections), self.id, body_bytes),
        };
        let mut answer = self.handler.handle(request);
        if !self.connections.hold(self.id, answer.body.len()) {
            self.handler.record_rejection(Refusal::AnswerDropped);
            answer = Answer::refused(Refusal::AnswerDropped, "no room is left for the answer");
        }
        self.connections.begin_answer(self.id);
        self.send(&answer, body_mode, self.connection_after(wanted))
    }

    fn read_body(
        &mut self,
        parsed: &ParsedHead,
        class: ClientClass,
        limit: BodyLimit,
    ) -> Result<Vec<u8>, BodyFailure> {
        let limits = self.connections.limits().class(class);
        let largest_bytes = u64::try_from(limits.largest_body_bytes()).unwrap_or(u64::MAX);
        let limit = BodyLimit {
            max_bytes: limit.max_bytes.min(largest_bytes),
        };
        let mut reader = BodyReader {
            buffered: &mut self.buffered,
            connections: self.connections,
            handle: &self.handle,
            id: self.id,
            limit,
            decoded_bytes_per_byte: limits.decoded_bytes_per_byte,
            deadline: deadline_after(self.settings.body_timeout_ms),
        };
        let body = reader.read(parsed);
        if body.is_err() {
            // Its room is free from now on, while the connection lingers.
            *self.handle.body() = BodySegments::default();
        }
        body
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
                ReadOutcome::Bytes if !self.hold_head() => {
                    return HeadOutcome::Rejected(no_room_for_head());
                }
                ReadOutcome::Bytes => {}
                ReadOutcome::Closed => return HeadOutcome::Closed,
                ReadOutcome::TimedOut => return HeadOutcome::Rejected(slow_head()),
            }
        }
    }

    fn hold_head(&self) -> bool {
        let capacity = self.buffered.capacity();
        capacity <= READ_CHUNK_BYTES
            || self
                .connections
                .hold_head(self.id, capacity - READ_CHUNK_BYTES)
    }

    fn headers_too_large(&self) -> Rejection {
        let max_bytes = self.settings.max_header_bytes;
        let detail = format!("expected at most {max_bytes} bytes of headers, found more");
        Rejection::new(Refusal::HeadersTooLarge, &detail)
    }

    fn connection_after(&self, wanted: Persistence) -> Persistence {
        if self.connections.is_stopping() {
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
        self.connections.end_request(self.id);
        self.buffered.linger();
        Persistence::Close
    }

    fn reject(&mut self, rejection: &Rejection, body: BodyMode) -> Persistence {
        self.handler.record_rejection(rejection.refusal);
        self.send(&Answer::rejected(rejection), body, Persistence::Close);
        self.connections.end_request(self.id);
        self.buffered.linger();
        Persistence::Close
    }

    fn send(&mut self, answer: &Answer, body: BodyMode, connection: Persistence) -> Persistence {
        let (start, rest) = answer.encode_start(EncodeOptions { body, connection });
        let deadline = deadline_after(self.settings.body_timeout_ms);
        for piece in [start.as_slice()]
            .into_iter()
            .chain(rest.chunks(WRITE_BYTES))
        {
            if !self.buffered.write_all(piece, deadline) {
                return Persistence::Close;
            }
            self.connections.record_progress(self.id, piece.len());
        }
        connection
    }
}

fn deadline_after(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

fn slow_head() -> Rejection {
    Rejection::new(Refusal::SlowCaller, "expected the whole head in time")
}

fn no_room_for(class: ClientClass) -> Rejection {
    let detail = format!(
        "expected room for a request of {}, found none left",
        class.as_str()
    );
    Rejection::new(Refusal::Overloaded, &detail)
}

fn no_room_for_head() -> Rejection {
    Rejection::new(
        Refusal::Overloaded,
        "expected room for the head, found none left",
    )
}
