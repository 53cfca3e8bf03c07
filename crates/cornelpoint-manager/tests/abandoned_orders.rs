//! Orders that get no response.

#[path = "../src/http/mod.rs"]
#[expect(
    dead_code,
    unused_imports,
    reason = "only the client side is used here"
)]
mod http;

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use self::http::CallError;
use self::http::HttpEndpoint;

const TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against an order to the machine API that is delivered when a partition ends, after
/// the next owner has given orders: its connection was closed, not reset, so that the operating
/// system went on sending it.
#[test]
fn an_order_without_a_response_is_discarded_with_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        // Ends when the client closes the connection.
        while stream.read(&mut request).is_ok_and(|length| length > 0) {}
        thread::sleep(TIMEOUT);
        // Fails at once only if the connection was reset.
        stream.write(b"late").map_err(|error| error.kind())
    });
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let answer = local.block_on(&runtime, async {
        let endpoint = HttpEndpoint::resetting(&address, 1);
        let call = Call {
            method: Method::Post,
            path: "/order".to_owned(),
            headers: Vec::new(),
            body: b"{}".to_vec(),
        };
        let answer = endpoint.send(&call, TIMEOUT).await;
        // The task of the connection ends.
        tokio::time::sleep(TIMEOUT).await;
        answer
    });
    assert_eq!(answer.unwrap_err(), CallError::NoAnswer);
    let written = server.join().unwrap();
    let is_reset = matches!(
        written,
        Err(ErrorKind::BrokenPipe | ErrorKind::ConnectionReset)
    );
    assert!(is_reset, "{written:?}");
}
