use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::config::Config;
use ureq::http::HeaderMap;
use ureq::http::Response;

use super::client_settings::ClientSettings;
use super::connection_watch::ConnectionWatch;
use super::dialer::Dialer;
use super::dialer::FixedAddress;
use super::endpoint_answer::EndpointAnswer;
use super::outgoing_request::OutgoingRequest;
use super::request_builder;
use super::send_outcome::NotSent;
use super::send_outcome::SendOutcome;
use crate::caller_edge::Header;

/// Bytes of a buffer beyond the largest head.
const BUFFER_SLACK_BYTES: usize = 1024;
/// Bytes of an answer's body that are read at a time.
const READ_BYTES: usize = 8 * 1024;
/// Status with which an endpoint reports that it did not start a request.
const NOT_STARTED_STATUS: u16 = 503;

/// One connection to an endpoint, with the agent that drives it.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    agent: Agent,
    watch: Arc<ConnectionWatch>,
    max_line_bytes: usize,
}

impl Connection {
    /// Creates a connection that is established with its first request.
    pub(super) fn new(address: SocketAddr, settings: &ClientSettings) -> Self {
        let watch = Arc::new(ConnectionWatch::default());
        let dialer = Dialer {
            address,
            watch: Arc::clone(&watch),
        };
        let agent = Agent::with_parts(agent_config(settings), dialer, FixedAddress(address));
        Self {
            address,
            agent,
            watch,
            max_line_bytes: settings.max_header_bytes,
        }
    }

    /// Whether the connection can take another request.
    pub(super) fn is_open(&self) -> bool {
        self.watch.is_open()
    }

    /// Sends a request and waits for its answer.
    pub(super) fn send(
        &self,
        outgoing: &OutgoingRequest<'_>,
        deadline: Instant,
        hold: &dyn Fn(usize) -> bool,
    ) -> SendOutcome {
        self.watch.start_request();
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return SendOutcome::NotSent(NotSent::DeadlinePassed);
        }
        match self.run(outgoing, left) {
            None => SendOutcome::NotSent(NotSent::Unsendable),
            Some(Err(error)) => self.failure(&error),
            Some(Ok(response)) => self.read(response, outgoing, hold),
        }
    }

    fn run(
        &self,
        outgoing: &OutgoingRequest<'_>,
        left: Duration,
    ) -> Option<Result<Response<Body>, Error>> {
        let request = request_builder::build(self.address, outgoing, self.max_line_bytes)?;
        let bodiless = outgoing.body.is_empty() && !needs_length(outgoing.method);
        let result = if bodiless {
            let request = self.agent.configure_request(request);
            self.agent.run(request.timeout_global(Some(left)).build())
        } else {
            let request = request.map(|()| outgoing.body);
            let request = self.agent.configure_request(request);
            self.agent.run(request.timeout_global(Some(left)).build())
        };
        Some(result)
    }

    fn read(
        &self,
        mut response: Response<Body>,
        outgoing: &OutgoingRequest<'_>,
        hold: &dyn Fn(usize) -> bool,
    ) -> SendOutcome {
        let Some(headers) = headers_of(response.headers()) else {
            return SendOutcome::Broken(Refusal::AnswerMalformed);
        };
        let status = response.status().as_u16();
        let head = EndpointAnswer {
            status,
            headers,
            body: Vec::new(),
        };
        if let Some(refusal) = check_head(&head, outgoing) {
            return SendOutcome::Broken(refusal);
        }
        let limited = response
            .body_mut()
            .with_config()
            .limit(outgoing.max_answer_bytes);
        let body = read_body(limited.reader(), declared_bytes(&head, outgoing), hold);
        if reports_not_started(&head) {
            let leaving = head.header(OutgoingRequest::LEAVING_HEADER) == Some("yes");
            return SendOutcome::NotStarted { leaving };
        }
        match body {
            Err(BodyError::Failed(error)) => self.failure(&error),
            Err(BodyError::NoRoom) => SendOutcome::Broken(Refusal::AnswerDropped),
            Ok(_) if self.watch.has_ended() => SendOutcome::Broken(Refusal::AnswerCut),
            Ok(_) if self.watch.has_surplus() => SendOutcome::Broken(Refusal::AnswerMalformed),
            Ok(body) => SendOutcome::Answered(complete_answer(head, body)),
        }
    }

    fn failure(&self, error: &Error) -> SendOutcome {
        if self.watch.has_sent() {
            SendOutcome::Broken(refusal_after_send(error))
        } else {
            SendOutcome::NotSent(not_sent_reason(error))
        }
    }
}

/// Why the body of an answer was not read.
enum BodyError {
    Failed(Error),
    NoRoom,
}

/// Returns the length that the head of an answer declares for a body that follows.
fn declared_bytes(head: &EndpointAnswer, outgoing: &OutgoingRequest<'_>) -> usize {
    if outgoing.method == Method::Head {
        return 0;
    }
    let length = head.header("content-length");
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Reads a body into a buffer of its declared length, or one that grows in steps.
fn read_body(
    mut reader: impl Read,
    declared_bytes: usize,
    hold: &dyn Fn(usize) -> bool,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    reserve(&mut body, declared_bytes, hold)?;
    let mut piece = [0; READ_BYTES];
    loop {
        let count = match reader.read(&mut piece) {
            Ok(0) => return Ok(body),
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(BodyError::Failed(Error::from(error))),
        };
        if body.len() + count > body.capacity() {
            let wanted = (body.capacity() * 2).max(READ_BYTES);
            reserve(&mut body, wanted, hold)?;
        }
        body.extend_from_slice(&piece[..count]);
    }
}

/// Grows a buffer to a capacity. The old one is held until its bytes have been moved.
fn reserve(
    body: &mut Vec<u8>,
    capacity: usize,
    hold: &dyn Fn(usize) -> bool,
) -> Result<(), BodyError> {
    if !hold(body.capacity() + capacity) {
        return Err(BodyError::NoRoom);
    }
    body.reserve_exact(capacity - body.len());
    if hold(body.capacity()) {
        Ok(())
    } else {
        Err(BodyError::NoRoom)
    }
}

fn agent_config(settings: &ClientSettings) -> Config {
    let buffer_bytes = settings.max_header_bytes + BUFFER_SLACK_BYTES;
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_response_header_size(settings.max_header_bytes)
        .input_buffer_size(buffer_bytes)
        .output_buffer_size(buffer_bytes)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .max_idle_age(Duration::from_millis(settings.idle_timeout_ms))
        .timeout_connect(Some(Duration::from_millis(settings.connect_timeout_ms)))
        .build()
}

/// Whether a request with an empty body states its length as 0.
fn needs_length(method: Method) -> bool {
    matches!(method, Method::Patch | Method::Post | Method::Put)
}

fn headers_of(raw: &HeaderMap) -> Option<Vec<Header>> {
    let mut headers = Vec::with_capacity(raw.len());
    for (name, value) in raw {
        let value = str::from_utf8(value.as_bytes()).ok()?;
        headers.push(Header::new(name.as_str(), value));
    }
    Some(headers)
}

/// Returns why an answer must be rejected, as far as its head shows.
fn check_head(head: &EndpointAnswer, outgoing: &OutgoingRequest<'_>) -> Option<Refusal> {
    let echoed = head.header(OutgoingRequest::ID_HEADER);
    let is_own = echoed.is_none_or(|id| id == outgoing.request_id);
    let coding = head.header("transfer-encoding");
    let is_plain = coding.is_none_or(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length = head.header("content-length");
    let is_final = head.status >= 200;
    if !is_own || !is_plain || !is_final || (coding.is_some() && length.is_some()) {
        return Some(Refusal::AnswerMalformed);
    }
    let length_bytes: Option<u64> = length.and_then(|length| length.parse().ok());
    let has_body = outgoing.method != Method::Head;
    let is_too_large = length_bytes.is_some_and(|bytes| bytes > outgoing.max_answer_bytes);
    (has_body && is_too_large).then_some(Refusal::AnswerTooLarge)
}

fn reports_not_started(head: &EndpointAnswer) -> bool {
    let run = head.header(RunState::HEADER);
    head.status == NOT_STARTED_STATUS && run == Some(RunState::No.as_str())
}

fn complete_answer(head: EndpointAnswer, body: Vec<u8>) -> EndpointAnswer {
    let dropped = request_builder::connection_tokens(&head.headers);
    let mut headers = head.headers;
    headers.retain(|header| !header.is_hop_by_hop() && !dropped.contains(&header.name));
    EndpointAnswer {
        status: head.status,
        headers,
        body,
    }
}

fn refusal_after_send(error: &Error) -> Refusal {
    match error {
        Error::Timeout(_) => Refusal::AnswerLate,
        Error::BodyExceedsLimit(_) | Error::LargeResponseHeader(_, _) => Refusal::AnswerTooLarge,
        Error::Protocol(_) | Error::Http(_) => Refusal::AnswerMalformed,
        _ => Refusal::AnswerCut,
    }
}

fn not_sent_reason(error: &Error) -> NotSent {
    match error {
        Error::Timeout(_) => NotSent::ConnectTimeout,
        Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => NotSent::Refused,
        Error::Protocol(_) | Error::Http(_) | Error::BadUri(_) => NotSent::Unsendable,
        _ => NotSent::Unreachable,
    }
}
