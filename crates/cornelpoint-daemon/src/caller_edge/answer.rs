use std::io::Write;

use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;

use super::header::Header;
use super::rejection::Rejection;

/// First final status; the interim statuses below it carry no body.
const FIRST_FINAL_STATUS: u16 = 200;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
/// Largest body that is sent in one write with the head.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// `retry-after` of a refusal for want of room: clients that make no progress are closed
/// within less than that.
const OVERLOADED_RETRY_S: &str = "1";

/// HTTP answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers; hop-by-hop headers are not sent, and the edge writes
    /// `content-length` itself. In an answer to HEAD, a `content-length` given
    /// here is sent.
    pub headers: Vec<Header>,
    /// Body; not sent for HEAD.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates the answer to a request that no endpoint answered.
    ///
    /// The status, the run state and the reason follow from `refusal`; the
    /// body is one line, the reason and `detail`.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    /// use cornelpoint_daemon::caller_edge::Answer;
    ///
    /// let answer = Answer::refused(Refusal::QueueFull, "expected at most 9 requests, found 9");
    /// assert_eq!(answer.status, 503);
    /// assert_eq!(answer.headers[0].value, "no");
    /// assert_eq!(answer.body, b"queue-full: expected at most 9 requests, found 9\n");
    /// ```
    #[must_use]
    pub fn refused(refusal: Refusal, detail: &str) -> Self {
        let mut headers = vec![
            Header::new(RunState::HEADER, refusal.run_state().as_str()),
            Header::new(Refusal::HEADER, refusal.as_str()),
            Header::new("content-type", "text/plain; charset=utf-8"),
        ];
        if refusal == Refusal::BadMethod {
            headers.push(Header::new("allow", "DELETE, GET, HEAD, PATCH, POST, PUT"));
        }
        if refusal == Refusal::Overloaded {
            headers.push(Header::new("retry-after", OVERLOADED_RETRY_S));
        }
        Self {
            status: refusal.status(),
            headers,
            body: format!("{refusal}: {detail}\n").into_bytes(),
        }
    }

    /// Returns why no endpoint answered the request; `None` when one did.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    /// use cornelpoint_daemon::caller_edge::Answer;
    ///
    /// let answer = Answer::refused(Refusal::QueueFull, "expected at most 9 requests, found 9");
    /// assert_eq!(answer.refusal(), Some(Refusal::QueueFull));
    /// ```
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        let reason = |header: &&Header| header.name == Refusal::HEADER;
        let header = self.headers.iter().find(reason)?;
        Refusal::from_header(&header.value)
    }

    /// Creates the answer to bytes that are not a valid request.
    pub(super) fn rejected(rejection: &Rejection) -> Self {
        Self::refused(rejection.refusal, &rejection.detail)
    }

    /// Encodes the answer as the bytes to send, with its whole body.
    pub(super) fn encode(&self, options: EncodeOptions) -> Vec<u8> {
        let (mut bytes, rest) = self.encode_start(options);
        bytes.extend_from_slice(rest);
        bytes
    }

    /// Encodes the head and a small body as the first bytes to send; returns what of the body
    /// follows. A large one isn't copied.
    pub(super) fn encode_start(&self, options: EncodeOptions) -> (Vec<u8>, &[u8]) {
        let mut bytes = Vec::with_capacity(256);
        self.encode_head(options, &mut bytes);
        if options.body != BodyMode::Sent || !self.may_have_body() {
            return (bytes, &[]);
        }
        if self.body.len() > MAX_COPIED_BYTES {
            return (bytes, &self.body);
        }
        bytes.extend_from_slice(&self.body);
        (bytes, &[])
    }

    fn encode_head(&self, options: EncodeOptions, bytes: &mut Vec<u8>) {
        let phrase = reason_phrase(self.status);
        push_line(bytes, format_args!("HTTP/1.1 {} {phrase}", self.status));
        for header in self.headers.iter().filter(|header| is_sent(header)) {
            push_line(bytes, format_args!("{}: {}", header.name, header.value));
        }
        if self.may_have_body() {
            let length = self.content_length(options.body);
            push_line(bytes, format_args!("content-length: {length}"));
        }
        if options.connection == Persistence::Close {
            push_line(bytes, format_args!("connection: close"));
        }
        bytes.extend_from_slice(b"\r\n");
    }

    fn may_have_body(&self) -> bool {
        self.status >= FIRST_FINAL_STATUS
            && self.status != NO_CONTENT
            && self.status != NOT_MODIFIED
    }

    fn content_length(&self, options: BodyMode) -> u64 {
        let body_length = self.body.len() as u64;
        match options {
            BodyMode::Sent => body_length,
            BodyMode::Omitted => self.declared_length().unwrap_or(body_length),
        }
    }

    fn declared_length(&self) -> Option<u64> {
        let named = |header: &&Header| header.name == "content-length";
        let declared = self.headers.iter().find(named)?;
        declared.value.parse().ok()
    }
}

/// How an answer is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EncodeOptions {
    /// Whether the body is sent.
    pub(super) body: BodyMode,
    /// Whether the connection stays open.
    pub(super) connection: Persistence,
}

/// Whether the body of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyMode {
    /// The body is sent.
    Sent,
    /// The body is left out, as the request was HEAD.
    Omitted,
}

/// Whether a connection stays open after an answer (RFC 9112, section 9.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Persistence {
    /// The connection serves the next request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

fn is_sent(header: &Header) -> bool {
    header.name != "content-length" && !header.is_hop_by_hop()
}

fn push_line(bytes: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    bytes
        .write_fmt(line)
        .expect("writing to a vector cannot fail");
    bytes.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        301 => "Moved Permanently",
        302 => "Found",
        303 => "See Other",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}
