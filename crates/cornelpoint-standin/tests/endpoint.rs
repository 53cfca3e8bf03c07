//! Answers and records of the endpoint stand-in, with and without faults.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread;

use cornelpoint_standin::endpoint::EndpointFault;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::endpoint::FaultRule;
use cornelpoint_standin::endpoint::FaultScope;
use cornelpoint_standin::endpoint::pattern;
use expect_test::Expect;
use expect_test::expect;

use self::support::exchange;
use self::support::post;
use self::support::read_to_end;
use self::support::settings;

/// Starts an endpoint with one fault on all requests.
fn faulty_endpoint(fault: EndpointFault) -> EndpointStandIn {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    endpoint.set_faults(vec![FaultRule {
        fault,
        scope: FaultScope::UntilCleared,
    }]);
    endpoint
}

/// Checks the answer to one request, and the number of recorded runs.
fn check(fault: EndpointFault, runs: u64, expected: &Expect) {
    let endpoint = faulty_endpoint(fault);
    let answer = exchange(endpoint.address(), &post("r1", "?work_ms=0"));
    expected.assert_eq(&answer);
    assert_eq!(endpoint.dump().runs, runs);
    assert_eq!(endpoint.history().len() as u64, runs);
}

#[test]
fn answers_with_an_echo() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let answer = exchange(endpoint.address(), &post("r1", ""));
    expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: 409a99b89c14d6f8
        cornelpoint-instance: quoting-1
        content-length: 119

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders","body_hash":9437077191126090280,"run_number":1}"#]].assert_eq(&answer);
    let record = endpoint.history().remove(0);
    assert_eq!(record.request.as_deref(), Some("r1"));
    assert!(record.ended_ms.is_some());
}

#[test]
fn answers_with_a_pattern_of_the_requested_size() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let mut answer = ureq::post(format!("http://{}/orders?size=70000", endpoint.address()))
        .header("cornelpoint-request", "r1")
        .send("slab1")
        .unwrap();
    let body = answer.body_mut().read_to_vec().unwrap();
    assert_eq!(body, pattern("r1", 70_000));
}

#[test]
fn reads_chunked_bodies() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let request = "PUT /a HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
                   3\r\nsla\r\n2\r\nb1\r\n0\r\n\r\n";
    exchange(endpoint.address(), request);
    exchange(endpoint.address(), &post("r1", ""));
    let history = endpoint.history();
    assert_eq!(history[0].body_hash, history[1].body_hash);
}

#[test]
fn serves_several_requests_on_one_connection() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let mut stream = TcpStream::connect(endpoint.address()).unwrap();
    stream
        .write_all(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nconnection: close\r\n\r\n")
        .unwrap();
    let answers = read_to_end(&mut stream);
    assert_eq!(answers.matches("HTTP/1.1 200 OK").count(), 2);
    assert_eq!(endpoint.dump().peak_connections, 1);
}

#[test]
fn does_not_run_an_incomplete_request() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let mut request = post("r1", "");
    request.pop();
    let stream = TcpStream::connect(endpoint.address()).unwrap();
    (&stream).write_all(request.as_bytes()).unwrap();
    while endpoint.dump().connections == 0 {
        thread::yield_now();
    }
    drop(stream);
    while endpoint.dump().connections > 0 {
        thread::yield_now();
    }
    assert_eq!(endpoint.dump().runs, 0);
}

#[test]
fn counts_requests_over_its_slots() {
    let mut settings = settings();
    settings.slots = 1;
    let endpoint = EndpointStandIn::start(settings).unwrap();
    endpoint.set_faults(vec![FaultRule {
        fault: EndpointFault::Hang,
        scope: FaultScope::UntilCleared,
    }]);
    let callers: Vec<_> = (1..=2)
        .map(|running| {
            let mut caller = TcpStream::connect(endpoint.address()).unwrap();
            caller.write_all(post("r1", "").as_bytes()).unwrap();
            while endpoint.dump().running < running {
                thread::yield_now();
            }
            caller
        })
        .collect();
    let dump = endpoint.dump();
    assert_eq!((dump.runs, dump.over_slots, dump.peak_running), (2, 1, 2));
    drop(callers);
}

#[test]
fn closes_connections_over_its_limit() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let open: Vec<_> = (0..5)
        .map(|_| TcpStream::connect(endpoint.address()).unwrap())
        .collect();
    assert_eq!(exchange(endpoint.address(), &post("r1", "")), "");
    let dump = endpoint.dump();
    assert_eq!((dump.connections, dump.over_connections), (5, 1));
    drop(open);
}

#[test]
fn runs_no_new_requests_while_leaving() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    endpoint.set_leaving(true);
    expect![[r"
        HTTP/1.1 503 Service Unavailable
        cornelpoint-request: r1
        cornelpoint-run: no
        cornelpoint-leaving: yes
        content-length: 8

        leaving
    "]]
    .assert_eq(&exchange(endpoint.address(), &post("r1", "")));
    assert_eq!(endpoint.dump().runs, 0);
}

#[test]
fn stop_waits_for_requests_in_flight() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    let address = endpoint.address();
    let caller = thread::spawn(move || exchange(address, &post("r1", "?work_ms=200")));
    while endpoint.dump().running == 0 {
        thread::yield_now();
    }
    endpoint.stop();
    assert!(caller.join().unwrap().starts_with("HTTP/1.1 200 OK"));
}

#[test]
fn refuses_connections_until_cleared() {
    let endpoint = faulty_endpoint(EndpointFault::RefuseConnections);
    while TcpStream::connect(endpoint.address()).is_ok() {
        thread::yield_now();
    }
    endpoint.set_faults(Vec::new());
    while TcpStream::connect(endpoint.address()).is_err() {
        thread::yield_now();
    }
}

#[test]
fn applies_a_fault_only_to_the_next_requests() {
    let endpoint = EndpointStandIn::start(settings()).unwrap();
    endpoint.set_faults(vec![FaultRule {
        fault: EndpointFault::FailFast,
        scope: FaultScope::Next { requests: 1 },
    }]);
    let first = exchange(endpoint.address(), &post("r1", ""));
    let second = exchange(endpoint.address(), &post("r2", ""));
    assert!(first.starts_with("HTTP/1.1 500"));
    assert!(second.starts_with("HTTP/1.1 200"));
}

#[test]
fn hangs_until_the_connection_closes() {
    let endpoint = faulty_endpoint(EndpointFault::Hang);
    let mut stream = TcpStream::connect(endpoint.address()).unwrap();
    stream.write_all(post("r1", "").as_bytes()).unwrap();
    while endpoint.dump().running == 0 {
        thread::yield_now();
    }
    drop(stream);
    while endpoint.dump().running > 0 {
        thread::yield_now();
    }
}

#[test]
fn fails_fast() {
    check(
        EndpointFault::FailFast,
        1,
        &expect![[r#"
            HTTP/1.1 500 Internal Server Error
            cornelpoint-request: r1
            cornelpoint-body-hash: c34c33583432a196
            cornelpoint-instance: quoting-1
            content-length: 129

            {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn closes_before_the_run() {
    check(EndpointFault::CloseBeforeRun, 0, &expect![[r""]]);
}

#[test]
fn closes_after_the_run() {
    check(EndpointFault::CloseAfterRun, 1, &expect![[r""]]);
}

#[test]
fn truncates_the_answer() {
    let fault = EndpointFault::CutAnswer { after_bytes: 20 };
    check(
        fault,
        1,
        &expect![[r"
        HTTP/1.1 200 OK
        cor"]],
    );
}

#[test]
fn announces_too_long_a_body() {
    let fault = EndpointFault::LengthTooLarge { excess_bytes: 7 };
    check(
        fault,
        1,
        &expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        content-length: 136

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn announces_too_short_a_body() {
    let fault = EndpointFault::LengthTooSmall { excess_bytes: 7 };
    check(
        fault,
        1,
        &expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        content-length: 122

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn sends_the_answer_byte_by_byte() {
    check(
        EndpointFault::Drip { pause_ms: 0 },
        1,
        &expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        content-length: 129

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn sends_the_answer_of_another_request() {
    check(
        EndpointFault::WrongAnswer,
        1,
        &expect![[r#"
            HTTP/1.1 200 OK
            cornelpoint-request: another-request
            cornelpoint-body-hash: 2da29f78725f3736
            cornelpoint-instance: quoting-1
            content-length: 133

            {"instance":"quoting-1","request":"another-request","method":"POST","path":"/another","body_hash":9437077191126090280,"run_number":0}"#]],
    );
}

#[test]
fn sends_the_answer_of_another_request_first() {
    check(
        EndpointFault::StaleAnswerFirst,
        1,
        &expect![[r#"
            HTTP/1.1 200 OK
            cornelpoint-request: another-request
            cornelpoint-body-hash: 2da29f78725f3736
            cornelpoint-instance: quoting-1
            content-length: 133

            {"instance":"quoting-1","request":"another-request","method":"POST","path":"/another","body_hash":9437077191126090280,"run_number":0}HTTP/1.1 200 OK
            cornelpoint-request: r1
            cornelpoint-body-hash: c34c33583432a196
            cornelpoint-instance: quoting-1
            content-length: 129

            {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn sends_the_answer_twice() {
    check(
        EndpointFault::AnswerTwice,
        1,
        &expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        content-length: 129

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        content-length: 129

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}

#[test]
fn sends_garbage() {
    let endpoint = faulty_endpoint(EndpointFault::Garbage);
    let answer = exchange(endpoint.address(), &post("r1", ""));
    assert_eq!(answer, "\u{0}\u{fffd}no answer\n\n\u{fffd}");
    assert_eq!(endpoint.dump().runs, 1);
}

#[test]
fn sends_huge_headers() {
    let fault = EndpointFault::HugeHeaders { header_bytes: 30 };
    check(
        fault,
        1,
        &expect![[r#"
        HTTP/1.1 200 OK
        cornelpoint-request: r1
        cornelpoint-body-hash: c34c33583432a196
        cornelpoint-instance: quoting-1
        cornelpoint-filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx
        content-length: 129

        {"instance":"quoting-1","request":"r1","method":"POST","path":"/orders?work_ms=0","body_hash":9437077191126090280,"run_number":1}"#]],
    );
}
