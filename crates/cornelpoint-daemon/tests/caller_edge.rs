//! The HTTP server for callers, over TCP connections: bytes sent and the answers
//! received.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::connection_budget::ProcessLimits;
use cornelpoint::request::Refusal;
use cornelpoint_daemon::caller_edge::Answer;
use cornelpoint_daemon::caller_edge::BodyLimit;
use cornelpoint_daemon::caller_edge::CallerEdge;
use cornelpoint_daemon::caller_edge::CallerHandler;
use cornelpoint_daemon::caller_edge::CallerRequest;
use cornelpoint_daemon::caller_edge::DrainOutcome;
use cornelpoint_daemon::caller_edge::EdgeSettings;
use cornelpoint_daemon::caller_edge::Header;
use cornelpoint_daemon::caller_edge::RequestHead;
use expect_test::Expect;
use expect_test::expect;

const MAX_BODY_BYTES: u64 = 20;
/// More than any test needs.
const LIMITS: ProcessLimits = ProcessLimits {
    memory_bytes: 80_000_000,
    max_descriptors: 4100,
};
/// Read timeout that ends a hanging test; passing tests never wait that long.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Echoes requests; an answer to `/held` waits until `release` is called.
#[derive(Default)]
struct Echo {
    held: Mutex<bool>,
    arrived: Condvar,
    released: Mutex<bool>,
    changed: Condvar,
}

impl Echo {
    fn wait_until_held(&self) {
        let held = self.held.lock().unwrap();
        drop(self.arrived.wait_while(held, |held| !*held));
    }

    fn release(&self) {
        *self.released.lock().unwrap() = true;
        self.changed.notify_all();
    }
}

impl CallerHandler for Echo {
    fn admit(&self, head: &RequestHead) -> Result<BodyLimit, Answer> {
        if head.target == "/unknown" {
            return Err(Answer::refused(Refusal::UnknownService, "found `unknown`"));
        }
        Ok(BodyLimit {
            max_bytes: MAX_BODY_BYTES,
        })
    }

    fn handle(&self, request: CallerRequest) -> Answer {
        if request.head.target == "/held" {
            *self.held.lock().unwrap() = true;
            self.arrived.notify_all();
            let released = self.released.lock().unwrap();
            drop(self.changed.wait_while(released, |released| !*released));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = format!("{} {} [{body}]", request.head.method, request.head.target);
        Answer {
            status: 200,
            headers: vec![Header::new("Keep-Alive", "dropped"), Header::new("x", "1")],
            body: text.into_bytes(),
        }
    }
}

struct EdgeFixture {
    settings: EdgeSettings,
    echo: Arc<Echo>,
}

impl EdgeFixture {
    fn new() -> Self {
        let mut settings = EdgeSettings::new("127.0.0.1:0".parse().unwrap());
        settings.max_header_bytes = 1024;
        Self {
            settings,
            echo: Arc::new(Echo::default()),
        }
    }

    fn timeouts_ms(mut self, timeout_ms: u64) -> Self {
        self.settings.header_timeout_ms = timeout_ms;
        self.settings.body_timeout_ms = timeout_ms;
        self.settings.idle_timeout_ms = timeout_ms;
        self
    }

    fn start(&self) -> CallerEdge {
        CallerEdge::start(self.settings, self.echo.clone()).unwrap()
    }

    fn check(&self, input: &[u8], expected: &Expect) {
        let edge = self.start();
        let mut stream = connect(&edge);
        stream.write_all(input).unwrap();
        expected.assert_eq(&read_to_end(&mut stream));
    }
}

fn connect(edge: &CallerEdge) -> TcpStream {
    let stream = TcpStream::connect(edge.address()).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream
}

fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap().replace('\r', "")
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(end.as_bytes()) {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap().replace('\r', "")
}

/// Sends a request that must be rejected; checks the status line and the body.
fn check_rejection(input: &[u8], expected: &Expect) {
    let edge = EdgeFixture::new().timeouts_ms(200).start();
    let mut stream = connect(&edge);
    stream.write_all(input).unwrap();
    let answer = read_to_end(&mut stream);
    let (head, body) = answer.split_once("\n\n").unwrap();
    let status = head.lines().next().unwrap();
    assert!(head.contains("\ncornelpoint-run: no\n"), "{head}");
    assert!(head.ends_with("\nconnection: close"), "{head}");
    expected.assert_eq(&format!("{status}\n{body}"));
}

#[test]
fn answers_pipelined_requests_in_order() {
    EdgeFixture::new().check(
        b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n\
          POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\
          \r\nPUT /c HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n",
        &expect![[r"
            HTTP/1.1 200 OK
            x: 1
            content-length: 13

            GET /a?b=c []HTTP/1.1 200 OK
            x: 1
            content-length: 13

            POST /b [abc]HTTP/1.1 200 OK
            x: 1
            content-length: 9
            connection: close

            PUT /c []"]],
    );
}

#[test]
fn decodes_chunked_bodies() {
    EdgeFixture::new().check(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n\
          3;name=value\r\nabc\r\nA\r\n0123456789\r\n0\r\ntrailer: 1\r\n\r\n\
          GET /b HTTP/1.0\r\n\r\n",
        &expect![[r"
            HTTP/1.1 200 OK
            x: 1
            content-length: 23

            POST /a [abc0123456789]HTTP/1.1 200 OK
            x: 1
            content-length: 9
            connection: close

            GET /b []"]],
    );
}

#[test]
fn answers_head_without_body() {
    EdgeFixture::new().check(
        b"HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        &expect![[r"
            HTTP/1.1 200 OK
            x: 1
            content-length: 10
            connection: close

        "]],
    );
}

#[test]
fn sends_100_continue_when_the_caller_expects_it() {
    let edge = EdgeFixture::new().start();
    let mut stream = connect(&edge);
    let head = b"POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.write_all(head).unwrap();
    let interim = read_until(&mut stream, "\r\n\r\n");
    expect!["HTTP/1.1 100 Continue\n\n"].assert_eq(&interim);
    stream.write_all(b"hi").unwrap();
    assert!(read_to_end(&mut stream).ends_with("POST /a [hi]"));
}

#[test]
fn keeps_the_connection_after_refusing_a_request_without_body() {
    EdgeFixture::new().check(
        b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.0\r\n\r\n",
        &expect![[r"
            HTTP/1.1 404 Not Found
            cornelpoint-run: no
            cornelpoint-reason: unknown-service
            content-type: text/plain; charset=utf-8
            content-length: 33

            unknown-service: found `unknown`
            HTTP/1.1 200 OK
            x: 1
            content-length: 9
            connection: close

            GET /b []"]],
    );
}

#[test]
fn closes_the_connection_after_refusing_a_request_with_unread_body() {
    check_rejection(
        b"POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.0\r\n\r\n",
        &expect![[r"
            HTTP/1.1 404 Not Found
            unknown-service: found `unknown`
        "]],
    );
}

#[test]
fn rejects_ambiguous_body_lengths() {
    let cases = [
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 2, 2",
        "Content-Length: +2",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length : 2",
    ];
    let found = cases.map(|headers| {
        let input = format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\n\r\nhi");
        rejection_text(input.as_bytes())
    });
    expect![[r"
        bad-request: expected content-length or transfer-encoding, found both
        bad-request: expected one content-length, found several
        bad-request: expected a number of bytes as content-length, found `2, 2`
        bad-request: expected a number of bytes as content-length, found `+2`
        bad-request: expected a number of bytes as content-length, found `99999999999999999999`
        bad-request: expected chunked as transfer-encoding of HTTP/1.1, found `gzip, chunked`
        bad-request: expected one transfer-encoding, found several
        bad-request: expected an HTTP/1.1 request head, found invalid header name
    "]]
    .assert_eq(&found.concat());
}

#[test]
fn rejects_malformed_heads_and_targets() {
    let cases = [
        "BREW / HTTP/1.1\r\nHost: h",
        "GET a HTTP/1.1\r\nHost: h",
        "GET http://h/ HTTP/1.1\r\nHost: h",
        "GET //a HTTP/1.1\r\nHost: h",
        "GET /a/%2E./b HTTP/1.1\r\nHost: h",
        "GET /a%2fb HTTP/1.1\r\nHost: h",
        "GET /a%0 HTTP/1.1\r\nHost: h",
        "GET /a\\b HTTP/1.1\r\nHost: h",
        "GET / HTTP/2.0\r\nHost: h",
        "GET / HTTP/1.1",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i",
        "GET / HTTP/1.1\nHost: h",
        "GET / HTTP/1.1\r\nHost: h\r\n folded: 1",
        "GET / HTTP/1.1\r\nHost: h\r\nExpect: more",
        "\u{16}\u{3}\u{1} garbage",
    ];
    let found = cases.map(|head| rejection_text(format!("{head}\r\n\r\n").as_bytes()));
    expect![[r"
        bad-method: expected DELETE, GET, HEAD, PATCH, POST or PUT, found `BREW`
        bad-request: expected a path that starts with `/`
        bad-request: expected a path that starts with `/`
        bad-request: expected a service name in the path, found an empty segment
        bad-request: expected a path without `.` and `..` segments
        bad-request: expected a path without escaped NUL, `/` and `\`
        bad-request: expected two hexadecimal digits after `%` in the path
        bad-request: expected characters that a path may hold
        bad-request: expected an HTTP/1.1 request head, found invalid HTTP version
        bad-request: expected one host header, found 0
        bad-request: expected one host header, found 2
        bad-request: expected CR LF at the end of a line, found LF
        bad-request: expected an HTTP/1.1 request head, found invalid header name
        bad-request: expected 100-continue as expectation, found `more`
        bad-request: expected an HTTP/1.1 request head, found invalid token
    "]]
    .assert_eq(&found.concat());
}

#[test]
fn rejects_oversized_headers_and_bodies() {
    let long = "a".repeat(1024);
    let many = "a: 1\r\n".repeat(65);
    let cases = [
        format!("GET /{long} HTTP/1.1\r\nHost: h\r\n\r\n"),
        format!("GET / HTTP/1.1\r\nHost: {long}"),
        format!("GET / HTTP/1.1\r\nHost: h\r\n{many}\r\n"),
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n".to_owned(),
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n"
            .to_owned(),
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n".to_owned(),
    ];
    let found = cases.map(|input| rejection_text(input.as_bytes()));
    expect![[r"
        headers-too-large: expected at most 1024 bytes of headers, found more
        headers-too-large: expected at most 1024 bytes of headers, found more
        headers-too-large: expected at most 64 headers, found more
        body-too-large: expected a body of at most 20 bytes, found 21
        body-too-large: expected a body of at most 20 bytes, found more
        body-too-large: expected a body of at most 20 bytes, found more
    "]]
    .assert_eq(&found.concat());
}

#[test]
fn rejects_malformed_chunks() {
    let cases = ["x\r\n", "\r\n", "-1\r\n", "1\r\nab\r\n", "1\nab\r\n"];
    let found = cases.map(|body| {
        let head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        rejection_text(format!("{head}{body}").as_bytes())
    });
    expect![[r"
        bad-request: expected a hexadecimal chunk size
        bad-request: expected a hexadecimal chunk size
        bad-request: expected a hexadecimal chunk size
        bad-request: expected the end of a chunk
        bad-request: expected CR LF at the end of a line of the chunked body
    "]]
    .assert_eq(&found.concat());
}

fn rejection_text(input: &[u8]) -> String {
    let edge = EdgeFixture::new().timeouts_ms(2_000).start();
    let mut stream = connect(&edge);
    stream.write_all(input).unwrap();
    let answer = read_to_end(&mut stream);
    let (head, body) = answer.split_once("\n\n").unwrap();
    assert!(head.contains("\ncornelpoint-run: no\n"), "{head}");
    assert!(head.ends_with("\nconnection: close"), "{head}");
    body.to_owned()
}

#[test]
fn rejects_slow_heads_and_bodies() {
    check_rejection(
        b"GET / HTTP/1.1\r\nHost: h\r\n",
        &expect![[r"
            HTTP/1.1 408 Request Timeout
            slow-caller: expected the whole head in time
        "]],
    );
    check_rejection(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab",
        &expect![[r"
            HTTP/1.1 408 Request Timeout
            slow-caller: expected the whole body in time
        "]],
    );
}

#[test]
fn closes_idle_and_truncated_connections_without_an_answer() {
    EdgeFixture::new().timeouts_ms(50).check(b"", &expect![""]);
    let edge = EdgeFixture::new().start();
    let mut stream = connect(&edge);
    let cut = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab";
    stream.write_all(cut).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    expect![""].assert_eq(&read_to_end(&mut stream));
}

#[test]
fn rejects_connections_over_the_limit() {
    let mut fixture = EdgeFixture::new();
    fixture.settings.limits = LIMITS.gateway_callers(1);
    let edge = fixture.start();
    let mut first = connect(&edge);
    first.write_all(b"GET /held HTTP/1.0\r\n\r\n").unwrap();
    // Until its request is being answered, the first one would make room for the second.
    fixture.echo.wait_until_held();
    let mut second = connect(&edge);
    expect![[r"
        HTTP/1.1 503 Service Unavailable
        cornelpoint-run: no
        cornelpoint-reason: overloaded
        content-type: text/plain; charset=utf-8
        retry-after: 1
        content-length: 55
        connection: close

        overloaded: expected at most 1 connections, found more
    "]]
    .assert_eq(&read_to_end(&mut second));
    fixture.echo.release();
    assert!(read_to_end(&mut first).ends_with("GET /held []"));
}

#[test]
fn stop_closes_idle_connections_and_finishes_requests() {
    let fixture = EdgeFixture::new();
    let edge = fixture.start();
    let mut idle = connect(&edge);
    let mut used = connect(&edge);
    used.write_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    read_until(&mut used, "GET /a []");
    let mut held = connect(&edge);
    held.write_all(b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    // A further connection is answered only after `held` was accepted.
    let mut probe = connect(&edge);
    probe.write_all(b"GET /a HTTP/1.0\r\n\r\n").unwrap();
    read_to_end(&mut probe);

    edge.stop_accepting();
    edge.stop_accepting();

    expect![""].assert_eq(&read_to_end(&mut idle));
    expect![""].assert_eq(&read_to_end(&mut used));
    assert!(TcpStream::connect(edge.address()).is_err());
    assert_eq!(
        edge.wait_idle(Instant::now()),
        DrainOutcome::Busy { connections: 1 }
    );
    fixture.echo.release();
    expect![[r"
        HTTP/1.1 200 OK
        x: 1
        content-length: 12
        connection: close

        GET /held []"]]
    .assert_eq(&read_to_end(&mut held));
    assert_eq!(
        edge.wait_idle(Instant::now() + HANG_TIMEOUT),
        DrainOutcome::Idle
    );
}
