use std::fmt::Write as _;

use cornelpoint::name::InstanceId;
use cornelpoint::request::RunState;

use super::BODY_HASH_HEADER;
use super::LEAVING_HEADER;
use super::REQUEST_HEADER;
use super::echo::EchoAnswer;
use super::echo::body_hash;
use super::echo::pattern;
use super::http_request::Header;
use super::http_request::HttpRequest;

/// Largest body that a request's query can select.
const MAX_SIZE_BYTES: usize = 64 * 1024 * 1024;

/// An answer to be sent.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: Vec<Header>,
    pub(super) body: Vec<u8>,
    /// Value of the content-length header.
    pub(super) stated_length: usize,
    /// Whether the body is sent; false for HEAD.
    pub(super) sends_body: bool,
}

impl Answer {
    pub(super) fn new(request: &HttpRequest, status: u16, body: Vec<u8>) -> Self {
        let mut answer = Self {
            status,
            headers: Vec::new(),
            stated_length: body.len(),
            body,
            sends_body: request.method != "HEAD",
        };
        if let Some(identity) = request.header(REQUEST_HEADER) {
            answer.add_header(REQUEST_HEADER, identity);
        }
        answer
    }

    /// Returns the correct answer to a request that ran.
    pub(super) fn for_run(request: &HttpRequest, instance: &InstanceId, run_number: u64) -> Self {
        let body = run_body(request, instance, run_number);
        let hash = body_hash(&body);
        let mut answer = Self::new(request, 200, body);
        answer.add_header(BODY_HASH_HEADER, &format!("{hash:016x}"));
        answer.add_header("cornelpoint-instance", instance.as_str());
        answer
    }

    /// Returns the answer of a leaving endpoint to a request that it did not
    /// run.
    pub(super) fn leaving(request: &HttpRequest) -> Self {
        let mut answer = Self::new(request, 503, b"leaving\n".to_vec());
        answer.add_header(RunState::HEADER, RunState::No.as_str());
        answer.add_header(LEAVING_HEADER, "yes");
        answer
    }

    pub(super) fn add_header(&mut self, name: &str, value: &str) {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Encodes the answer as HTTP/1.1.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for header in &self.headers {
            // Writing to a `String` cannot fail.
            let _ = write!(head, "{}: {}\r\n", header.name, header.value);
        }
        let _ = write!(head, "content-length: {}\r\n\r\n", self.stated_length);
        let mut bytes = head.into_bytes();
        if self.sends_body {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

fn run_body(request: &HttpRequest, instance: &InstanceId, run_number: u64) -> Vec<u8> {
    let identity = request.identity();
    if let Some(size) = request.query_number("size") {
        let size = usize::try_from(size).unwrap_or(MAX_SIZE_BYTES);
        return pattern(identity.unwrap_or(request.path()), size.min(MAX_SIZE_BYTES));
    }
    let echo = EchoAnswer {
        instance: instance.clone(),
        request: identity.map(str::to_owned),
        method: request.method.clone(),
        path: request.target.clone(),
        body_hash: body_hash(&request.body),
        run_number,
    };
    serde_json::to_vec(&echo).unwrap_or_default()
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
