use std::io::Write;

use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;

use super::header::Header;
use super::rejection::Rejection;

/// First statuses that may carry a body.
const FIRST_FINAL_STATUS: u16 = 200;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// What goes back to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers; the edge leaves out those that speak of a connection and
    /// writes `content-length` itself. For HEAD a `content-length` found here
    /// is kept.
    pub headers: Vec<Header>,
    /// Body; not sent for HEAD.
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer for a request that got none from an endpoint.
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
        Self {
            status: refusal.status(),
            headers,
            body: format!("{refusal}: {detail}\n").into_bytes(),
        }
    }

    /// Why the request got no answer of an endpoint, if it got none.
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

    /// The answer to bytes that are not taken as a request.
    pub(super) fn rejected(rejection: &Rejection) -> Self {
        Self::refused(rejection.refusal, &rejection.detail)
    }

    /// The bytes that go to the caller.
    pub(super) fn encode(&self, form: AnswerForm) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        self.encode_head(form, &mut bytes);
        if form.body == BodyForm::Sent && self.may_have_body() {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }

    fn encode_head(&self, form: AnswerForm, bytes: &mut Vec<u8>) {
        let phrase = reason_phrase(self.status);
        push_line(bytes, format_args!("HTTP/1.1 {} {phrase}", self.status));
        for header in self.headers.iter().filter(|header| passes(header)) {
            push_line(bytes, format_args!("{}: {}", header.name, header.value));
        }
        if self.may_have_body() {
            let length = self.content_length(form.body);
            push_line(bytes, format_args!("content-length: {length}"));
        }
        if form.connection == ConnectionForm::Close {
            push_line(bytes, format_args!("connection: close"));
        }
        bytes.extend_from_slice(b"\r\n");
    }

    fn may_have_body(&self) -> bool {
        self.status >= FIRST_FINAL_STATUS
            && self.status != NO_CONTENT
            && self.status != NOT_MODIFIED
    }

    fn content_length(&self, form: BodyForm) -> u64 {
        let own = self.body.len() as u64;
        match form {
            BodyForm::Sent => own,
            BodyForm::Omitted => self.declared_length().unwrap_or(own),
        }
    }

    fn declared_length(&self) -> Option<u64> {
        let named = |header: &&Header| header.name == "content-length";
        let declared = self.headers.iter().find(named)?;
        declared.value.parse().ok()
    }
}

/// How an answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerForm {
    /// Whether the body goes out.
    pub(super) body: BodyForm,
    /// What becomes of the connection.
    pub(super) connection: ConnectionForm,
}

/// Whether the body of an answer goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyForm {
    /// It does.
    Sent,
    /// It does not, as the request was HEAD.
    Omitted,
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionForm {
    /// It takes the next request.
    KeepAlive,
    /// It is closed.
    Close,
}

fn passes(header: &Header) -> bool {
    header.name != "content-length" && !header.is_hop_by_hop()
}

fn push_line(bytes: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    bytes
        .write_fmt(line)
        .expect("a vector takes any number of bytes");
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
