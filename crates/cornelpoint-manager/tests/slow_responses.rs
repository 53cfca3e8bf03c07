//! Large responses over slow links, and responses that stop in the middle.

#[path = "../src/http/mod.rs"]
#[expect(dead_code, unused_imports, reason = "the server side is not used here")]
mod http;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cornelpoint_platform::store::read_call;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use self::http::CallError;
use self::http::HttpEndpoint;
use self::http::Response;

const TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two parts of a response, well below the timeout.
const PAUSE: Duration = Duration::from_millis(100);
const PART: &[u8] = &[b'x'; 1000];
/// Parts of a response; together they take twice the timeout.
const PARTS: usize = 8;

/// Starts a server that sends so many parts of a response and then nothing more; returns
/// its address.
fn server(sent_parts: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        let length = PART.len() * PARTS;
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"
        )
        .unwrap();
        send_parts(&mut stream, sent_parts);
        // Until the client gives up.
        let _ = stream.read(&mut request);
    });
    address
}

fn send_parts(stream: &mut TcpStream, count: usize) {
    for _ in 0..count {
        thread::sleep(PAUSE);
        stream.write_all(PART).unwrap();
    }
}

fn download(address: &str) -> Result<Response, CallError> {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let endpoint = HttpEndpoint::new(address, 1);
        let call = read_call("rows", "", "", 500);
        endpoint.download(&call, TIMEOUT, TIMEOUT).await
    })
}

/// Guards against rows that never arrive: a page that takes longer than the timeout of a
/// call was broken off, and requested again from its beginning.
#[test]
fn a_response_may_take_longer_than_the_timeout_while_it_arrives() {
    let response = download(&server(PARTS)).unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.body.len(), PART.len() * PARTS);
}

/// A connection may go silent for good in the middle of a response.
#[test]
fn a_response_that_stops_in_the_middle_is_given_up() {
    let outcome = download(&server(PARTS / 2));
    assert_eq!(outcome.err(), Some(CallError::NoAnswer));
}
