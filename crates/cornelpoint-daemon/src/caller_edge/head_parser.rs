use cornelpoint::request::Method;
use cornelpoint::request::Refusal;

use super::answer::Persistence;
use super::framing::Framing;
use super::header::Header;
use super::rejection::Rejection;
use super::request_head::RequestHead;
use super::target;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// The head of a request with what its headers imply for body and connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ParsedHead {
    /// Head that is passed to the handler.
    pub(super) head: RequestHead,
    /// How the body is delimited.
    pub(super) framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether the caller wants the connection to stay open.
    pub(super) connection: Persistence,
}

/// Returns the length of the head, or `None` when it is incomplete.
///
/// The first `scanned` bytes are known not to contain its end.
pub(super) fn head_length(bytes: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(b"\n\r".len());
    let rest = &bytes[from..];
    let line_feeds = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (at, _) in line_feeds {
        let after = &rest[at + 1..];
        if after.starts_with(b"\r\n") {
            return Some(from + at + 3);
        }
        if after.starts_with(b"\n") {
            return Some(from + at + 2);
        }
    }
    None
}

/// Parses a complete head.
pub(super) fn parse(bytes: &[u8]) -> Result<ParsedHead, Rejection> {
    check_line_ends(bytes)?;
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut slots);
    let status = request.parse(bytes).map_err(reject)?;
    if status.is_partial() {
        return Err(Rejection::bad_request("expected a whole request head"));
    }
    let head = RequestHead {
        method: method_of(&request)?,
        target: target_of(&request)?,
        headers: headers_of(&request)?,
    };
    let version = request.version.unwrap_or_default();
    check_host(&head, version)?;
    Ok(ParsedHead {
        framing: framing_of(&head, version)?,
        expects_continue: expects_continue(&head)?,
        connection: connection_of(&head, version),
        head,
    })
}

fn check_line_ends(bytes: &[u8]) -> Result<(), Rejection> {
    let mut previous = 0;
    for byte in bytes {
        if *byte == b'\n' && previous != b'\r' {
            return Err(Rejection::bad_request(
                "expected CR LF at the end of a line, found LF",
            ));
        }
        previous = *byte;
    }
    Ok(())
}

fn reject(error: httparse::Error) -> Rejection {
    match error {
        httparse::Error::TooManyHeaders => Rejection::new(
            Refusal::HeadersTooLarge,
            &format!("expected at most {MAX_HEADERS} headers, found more"),
        ),
        other => {
            Rejection::bad_request(&format!("expected an HTTP/1.1 request head, found {other}"))
        }
    }
}

fn method_of(request: &httparse::Request<'_, '_>) -> Result<Method, Rejection> {
    let text = request.method.unwrap_or_default();
    Method::try_from(text)
        .map_err(|unknown| Rejection::new(Refusal::BadMethod, &unknown.to_string()))
}

fn target_of(request: &httparse::Request<'_, '_>) -> Result<String, Rejection> {
    let text = request.path.unwrap_or_default();
    target::check(text)?;
    Ok(text.to_owned())
}

fn headers_of(request: &httparse::Request<'_, '_>) -> Result<Vec<Header>, Rejection> {
    let mut headers = Vec::with_capacity(request.headers.len());
    for raw in request.headers.iter() {
        let Ok(value) = str::from_utf8(raw.value) else {
            return Err(Rejection::bad_request(
                "expected UTF-8 in the value of a header",
            ));
        };
        headers.push(Header::new(raw.name, value.trim()));
    }
    Ok(headers)
}

fn check_host(head: &RequestHead, version: u8) -> Result<(), Rejection> {
    let found = count(head, "host");
    let expected = usize::from(version == 1);
    if found > 1 || found < expected {
        return Err(Rejection::bad_request(&format!(
            "expected one host header, found {found}"
        )));
    }
    Ok(())
}

fn count(head: &RequestHead, name: &str) -> usize {
    head.headers
        .iter()
        .filter(|header| header.name == name)
        .count()
}

fn framing_of(head: &RequestHead, version: u8) -> Result<Framing, Rejection> {
    let lengths = count(head, "content-length");
    let codings = count(head, "transfer-encoding");
    match (lengths, codings) {
        (0, 0) => Ok(Framing::Empty),
        (1, 0) => length_of(head),
        (0, 1) => coding_of(head, version),
        (0, _) => Err(Rejection::bad_request(
            "expected one transfer-encoding, found several",
        )),
        (_, 0) => Err(Rejection::bad_request(
            "expected one content-length, found several",
        )),
        (_, _) => Err(Rejection::bad_request(
            "expected content-length or transfer-encoding, found both",
        )),
    }
}

fn length_of(head: &RequestHead) -> Result<Framing, Rejection> {
    let text = head.header("content-length").unwrap_or_default();
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(0) if digits => Ok(Framing::Empty),
        Ok(length_bytes) if digits => Ok(Framing::Length(length_bytes)),
        _ => Err(Rejection::bad_request(&format!(
            "expected a number of bytes as content-length, found `{}`",
            text.escape_default()
        ))),
    }
}

fn coding_of(head: &RequestHead, version: u8) -> Result<Framing, Rejection> {
    let text = head.header("transfer-encoding").unwrap_or_default();
    if version == 1 && text.eq_ignore_ascii_case("chunked") {
        return Ok(Framing::Chunked);
    }
    Err(Rejection::bad_request(&format!(
        "expected chunked as transfer-encoding of HTTP/1.1, found `{}`",
        text.escape_default()
    )))
}

fn expects_continue(head: &RequestHead) -> Result<bool, Rejection> {
    match head.header("expect") {
        None => Ok(false),
        Some(text) if text.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(text) => Err(Rejection::bad_request(&format!(
            "expected 100-continue as expectation, found `{}`",
            text.escape_default()
        ))),
    }
}

fn connection_of(head: &RequestHead, version: u8) -> Persistence {
    let named = head
        .headers
        .iter()
        .filter(|header| header.name == "connection");
    let mut tokens = named.flat_map(|header| header.value.split(','));
    let requests_close = tokens.any(|token| token.trim().eq_ignore_ascii_case("close"));
    if version == 0 || requests_close {
        Persistence::Close
    } else {
        Persistence::KeepAlive
    }
}
