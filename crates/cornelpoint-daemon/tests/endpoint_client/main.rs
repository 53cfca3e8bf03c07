//! Tests the endpoint client against endpoints that follow a script.

mod scripted_endpoint;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint_daemon::caller_edge::Header;
use cornelpoint_daemon::endpoint_client::ClientSettings;
use cornelpoint_daemon::endpoint_client::EndpointClient;
use cornelpoint_daemon::endpoint_client::NotSent;
use cornelpoint_daemon::endpoint_client::OutgoingRequest;
use cornelpoint_daemon::endpoint_client::Reuse;
use cornelpoint_daemon::endpoint_client::SendOutcome;
use expect_test::Expect;
use expect_test::expect;

use self::scripted_endpoint::ScriptedEndpoint;
use self::scripted_endpoint::Step;

const MAX_ANSWER_BYTES: u64 = 10;
/// Timeout of requests whose answer arrives, so that a hanging test fails.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of requests whose answer is late.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

fn client() -> EndpointClient {
    EndpointClient::new(ClientSettings {
        connect_timeout_ms: 20_000,
        ..ClientSettings::default()
    })
}

fn request(method: Method) -> OutgoingRequest<'static> {
    OutgoingRequest {
        method,
        target: "/quoting/7?full=1",
        headers: &[],
        body: b"",
        request_id: "id-1",
        max_answer_bytes: MAX_ANSWER_BYTES,
    }
}

fn send_get(
    client: &EndpointClient,
    endpoint: &ScriptedEndpoint,
    timeout: Duration,
) -> SendOutcome {
    let deadline = Instant::now() + timeout;
    client.send(
        endpoint.address,
        &request(Method::Get),
        deadline,
        Reuse::Pooled,
    )
}

fn describe(outcome: &SendOutcome) -> String {
    match outcome {
        SendOutcome::Answered(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            let headers = answer.headers.iter();
            let headers: Vec<String> = headers
                .map(|header| format!("{}={}", header.name, header.value))
                .collect();
            format!(
                "answered {} [{}] [{body}]",
                answer.status,
                headers.join(" ")
            )
        }
        SendOutcome::NotSent(reason) => format!("not sent: {reason}"),
        SendOutcome::NotStarted { leaving } => format!("not started, leaving: {leaving}"),
        SendOutcome::Broken(refusal) => format!("broken: {refusal}"),
    }
}

/// Sends one request to an endpoint that writes `bytes` and closes the connection.
fn outcome_of(bytes: &'static [u8], method: Method) -> String {
    let steps: &'static [Step] = Box::leak(Box::new([
        Step::Accept,
        Step::Read,
        Step::Write(bytes),
        Step::Close,
    ]));
    let endpoint = ScriptedEndpoint::start(steps);
    let client = client();
    let deadline = Instant::now() + LONG_TIMEOUT;
    let sent = client.send(endpoint.address, &request(method), deadline, Reuse::Fresh);
    assert_eq!(endpoint.reads(), 1);
    describe(&sent)
}

fn check(cases: &[&'static [u8]], expected: &Expect) {
    let outcomes = cases
        .iter()
        .map(|bytes| outcome_of(bytes, Method::Post) + "\n");
    expected.assert_eq(&outcomes.collect::<String>());
}

#[test]
fn accepts_complete_answers() {
    check(
        &[
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi",
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\nConnection: X, close\r\nx: 1\r\ny: 2\r\n\r\n0123456789",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nx: 1\r\n\r\nHTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nhi",
            b"HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 500 No\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nhi",
            b"HTTP/1.1 503 No\r\ncontent-length: 0\r\ncornelpoint-request: id-1\r\n\r\n",
        ],
        &expect![[r"
            answered 200 [content-length=2] [hi]
            answered 200 [content-length=10 y=2] [0123456789]
            answered 200 [] [hi]
            answered 201 [content-length=0] []
            answered 204 [] []
            answered 200 [content-length=2] [hi]
            answered 302 [location=/elsewhere content-length=0] []
            answered 500 [content-encoding=gzip content-length=2] [hi]
            answered 503 [content-length=0 cornelpoint-request=id-1] []
        "]],
    );
}

#[test]
fn accepts_an_answer_to_head_without_a_body() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n";
    expect!["answered 200 [content-length=999] []"].assert_eq(&outcome_of(answer, Method::Head));
}

#[test]
fn rejects_incomplete_oversized_and_malformed_answers() {
    check(
        &[
            b"",
            b"HTTP/1.1 200 OK\r\ncontent-le",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nhi",
            b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nB\r\n01234567890\r\n0\r\n\r\n",
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nhi\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nhi!",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncornelpoint-request: id-2\r\ncontent-length: 2\r\n\r\nhi",
            b"HTTP/1.1 503 No\r\ncornelpoint-request: id-2\r\ncornelpoint-run: no\r\ncontent-length: 0\r\n\r\n",
        ],
        &expect![[r"
            broken: answer-cut
            broken: answer-cut
            broken: answer-cut
            broken: answer-cut
            broken: answer-cut
            broken: answer-cut
            broken: answer-too-large
            broken: answer-too-large
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
            broken: answer-malformed
        "]],
    );
}

#[test]
fn reports_requests_that_were_not_started() {
    check(
        &[
            b"HTTP/1.1 503 No\r\ncornelpoint-run: no\r\ncontent-length: 2\r\n\r\nno",
            b"HTTP/1.1 503 No\r\ncornelpoint-run: no\r\ncornelpoint-leaving: yes\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 503 No\r\ncornelpoint-run: no\r\ncontent-length: 2\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncornelpoint-run: no\r\ncontent-length: 0\r\n\r\n",
        ],
        &expect![[r"
            not started, leaving: false
            not started, leaving: true
            not started, leaving: false
            answered 200 [cornelpoint-run=no content-length=0] []
        "]],
    );
}

#[test]
fn times_out_on_a_late_answer_and_closes_the_connection() {
    let late: &[&'static [Step]] = &[
        &[Step::Accept, Step::Read, Step::AwaitClose, Step::Notify],
        &[
            Step::Accept,
            Step::Read,
            Step::Write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi"),
            Step::AwaitClose,
            Step::Notify,
        ],
        &[
            Step::Accept,
            Step::Read,
            Step::Write(b"HTTP/1.1 200 OK\r\nx: "),
            Step::Drip,
            Step::Notify,
        ],
    ];
    for steps in late {
        let endpoint = ScriptedEndpoint::start(steps);
        let client = client();
        let outcome = send_get(&client, &endpoint, SHORT_TIMEOUT);
        assert_eq!(outcome, SendOutcome::Broken(Refusal::AnswerLate));
        endpoint.notified.recv_timeout(LONG_TIMEOUT).unwrap();
        assert_eq!(endpoint.reads(), 1);
        assert_eq!(client.idle_connections(endpoint.address), 0);
    }
}

#[test]
fn reuses_a_connection_only_for_pooled_requests() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
    let endpoint = ScriptedEndpoint::start(&[
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
        Step::Read,
        Step::Write(ANSWER),
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
    ]);
    let client = client();
    for reuse in [Reuse::Fresh, Reuse::Pooled, Reuse::Fresh] {
        let deadline = Instant::now() + LONG_TIMEOUT;
        let sent = client.send(endpoint.address, &request(Method::Post), deadline, reuse);
        expect!["answered 200 [content-length=1] [1]"].assert_eq(&describe(&sent));
    }
    assert_eq!(endpoint.reads(), 3);
    assert_eq!(client.idle_connections(endpoint.address), 2);
    client.close_idle_connections(endpoint.address);
    assert_eq!(client.idle_connections(endpoint.address), 0);
}

#[test]
fn never_reuses_a_connection_with_surplus_bytes() {
    const TWICE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1\
        HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n2";
    const ONCE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n3";
    let endpoint = ScriptedEndpoint::start(&[
        Step::Accept,
        Step::Read,
        Step::Write(TWICE),
        Step::Accept,
        Step::Read,
        Step::Write(ONCE),
        Step::AwaitTest,
        Step::Write(TWICE),
        Step::Notify,
        Step::Accept,
        Step::Read,
        Step::Write(ONCE),
    ]);
    let client = client();
    let first = describe(&send_get(&client, &endpoint, LONG_TIMEOUT));
    let second = describe(&send_get(&client, &endpoint, LONG_TIMEOUT));
    endpoint.resume.send(()).unwrap();
    endpoint.notified.recv_timeout(LONG_TIMEOUT).unwrap();
    let third = describe(&send_get(&client, &endpoint, LONG_TIMEOUT));
    expect![[r"
        broken: answer-malformed
        answered 200 [content-length=1] [3]
        answered 200 [content-length=1] [3]
    "]]
    .assert_eq(&format!("{first}\n{second}\n{third}\n"));
    assert_eq!(endpoint.reads(), 3);
}

#[test]
fn replaces_a_connection_that_was_closed_while_idle() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
    let endpoint = ScriptedEndpoint::start(&[
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
        Step::AwaitTest,
        Step::Close,
        Step::Notify,
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
    ]);
    let client = client();
    send_get(&client, &endpoint, LONG_TIMEOUT);
    assert_eq!(client.idle_connections(endpoint.address), 1);
    endpoint.resume.send(()).unwrap();
    endpoint.notified.recv_timeout(LONG_TIMEOUT).unwrap();
    let second = describe(&send_get(&client, &endpoint, LONG_TIMEOUT));
    expect!["answered 200 [content-length=1] [1]"].assert_eq(&second);
    assert_eq!(endpoint.reads(), 2);
}

#[test]
fn does_not_retry_when_a_reused_connection_breaks() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
    let endpoint = ScriptedEndpoint::start(&[
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
        Step::Read,
        Step::Close,
    ]);
    let client = client();
    send_get(&client, &endpoint, LONG_TIMEOUT);
    let second = send_get(&client, &endpoint, LONG_TIMEOUT);
    assert_eq!(second, SendOutcome::Broken(Refusal::AnswerCut));
    assert_eq!(endpoint.reads(), 2);
}

#[test]
fn reports_requests_that_were_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused_address = listener.local_addr().unwrap();
    drop(listener);
    let client = client();
    let get = request(Method::Get);
    let deadline = Instant::now() + LONG_TIMEOUT;
    let long = "a".repeat(20_000);
    let folded = [Header::new("x", "1\r\ny: 2")];
    let endpoint = ScriptedEndpoint::start(&[]);
    let cases = [
        client.send(unused_address, &get, deadline, Reuse::Fresh),
        client.send(endpoint.address, &get, Instant::now(), Reuse::Fresh),
        client.send(
            endpoint.address,
            &OutgoingRequest {
                target: &long,
                ..get
            },
            deadline,
            Reuse::Fresh,
        ),
        client.send(
            endpoint.address,
            &OutgoingRequest {
                target: "/a b",
                ..get
            },
            deadline,
            Reuse::Fresh,
        ),
        client.send(
            endpoint.address,
            &OutgoingRequest {
                headers: &folded,
                ..get
            },
            deadline,
            Reuse::Fresh,
        ),
    ];
    let outcomes = cases.map(|outcome| describe(&outcome) + "\n");
    expect![[r"
        not sent: connection refused
        not sent: deadline passed
        not sent: request not in a form that can be sent
        not sent: request not in a form that can be sent
        not sent: request not in a form that can be sent
    "]]
    .assert_eq(&outcomes.concat());
    assert_eq!(endpoint.reads(), 0);
}

#[test]
fn reports_a_connect_timeout() {
    // A listener with a full accept queue completes no more connections.
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _held = TcpStream::connect(address).unwrap();
    let outcome = client().send(
        address,
        &request(Method::Get),
        Instant::now() + SHORT_TIMEOUT,
        Reuse::Fresh,
    );
    assert_eq!(outcome, SendOutcome::NotSent(NotSent::ConnectTimeout));
}

#[test]
fn sends_the_request_unchanged_except_for_connection_headers() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let endpoint = ScriptedEndpoint::start(&[
        Step::Accept,
        Step::Read,
        Step::Write(ANSWER),
        Step::Read,
        Step::Write(ANSWER),
        Step::Read,
        Step::Write(ANSWER),
        Step::Read,
        Step::Write(ANSWER),
    ]);
    let client = client();
    let headers = [
        ("Host", "quoting.example"),
        ("Connection", "keep-alive, Mine"),
        ("Keep-Alive", "5"),
        ("Mine", "1"),
        ("Content-Length", "99"),
        ("Expect", "100-continue"),
        ("TE", "trailers"),
        ("Transfer-Encoding", "chunked"),
        ("Cornelpoint-Request", "forged"),
        ("Accept-Encoding", "br"),
        ("Cookie", "a=1"),
        ("X", "1"),
        ("X", "2"),
    ]
    .map(|(name, value)| Header::new(name, value));
    let bodies: [(Method, &[u8]); 4] = [
        (Method::Post, b"hi"),
        (Method::Post, b""),
        (Method::Get, b"hi"),
        (Method::Delete, b""),
    ];
    for (method, body) in bodies {
        let outgoing = OutgoingRequest {
            headers: &headers,
            body,
            target: "/a!$%22&'()*+,-./:;=@[]^_{|}~?a=b/?&c",
            ..request(method)
        };
        let deadline = Instant::now() + LONG_TIMEOUT;
        let sent = client.send(endpoint.address, &outgoing, deadline, Reuse::Pooled);
        expect!["answered 200 [content-length=0] []"].assert_eq(&describe(&sent));
    }
    let seen = endpoint
        .requests
        .lock()
        .unwrap()
        .join("\n--\n")
        .replace('\r', "");
    expect![[r"
        POST /a!$%22&'()*+,-./:;=@[]^_{|}~?a=b/?&c HTTP/1.1
        content-length: 2
        host: quoting.example
        accept-encoding: br
        cookie: a=1
        x: 1
        x: 2
        cornelpoint-request: id-1

        hi
        --
        POST /a!$%22&'()*+,-./:;=@[]^_{|}~?a=b/?&c HTTP/1.1
        content-length: 0
        host: quoting.example
        accept-encoding: br
        cookie: a=1
        x: 1
        x: 2
        cornelpoint-request: id-1


        --
        GET /a!$%22&'()*+,-./:;=@[]^_{|}~?a=b/?&c HTTP/1.1
        content-length: 2
        host: quoting.example
        accept-encoding: br
        cookie: a=1
        x: 1
        x: 2
        cornelpoint-request: id-1

        hi
        --
        DELETE /a!$%22&'()*+,-./:;=@[]^_{|}~?a=b/?&c HTTP/1.1
        host: quoting.example
        accept-encoding: br
        cookie: a=1
        x: 1
        x: 2
        cornelpoint-request: id-1

    "]]
    .assert_eq(&seen);
}
