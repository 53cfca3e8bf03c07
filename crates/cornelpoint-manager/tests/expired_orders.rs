//! Orders whose permission runs out before they are sent.

#[path = "../src/http/mod.rs"]
#[expect(dead_code, unused_imports, reason = "the server side is not used here")]
mod http;

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use self::http::CallError;
use self::http::HttpEndpoint;

/// Time that the server takes for a response.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers each request on one connection after some time, and
/// counts the requests.
fn slow_server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
            counted.fetch_add(1, Ordering::SeqCst);
            thread::sleep(RESPONSE_TIME);
            let sent = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            if sent.is_err() {
                return;
            }
        }
    });
    (address, requests)
}

/// Guards against a process that was paused, or busy, between its decision and the
/// write, and then orders what its successor may have ordered meanwhile.
#[test]
fn an_order_is_not_sent_once_its_permission_has_run_out() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (address, requests) = slow_server();
        let endpoint = Rc::new(HttpEndpoint::new(&address, 1));
        let confirmed = Rc::new(Cell::new(true));
        let order = |endpoint: &Rc<HttpEndpoint>| {
            let endpoint = Rc::clone(endpoint);
            let confirmed = Rc::clone(&confirmed);
            spawn_local(async move {
                let call = Call {
                    method: Method::Post,
                    path: "/order".to_owned(),
                    headers: Vec::new(),
                    body: Vec::new(),
                };
                let may_send = || confirmed.get();
                endpoint.send_while(&call, TIMEOUT, &may_send).await
            })
        };
        let first = order(&endpoint);
        let second = order(&endpoint);
        tokio::time::sleep(RESPONSE_TIME / 2).await;
        confirmed.set(false);
        assert_eq!(first.await.unwrap().unwrap().status, 200);
        assert_eq!(second.await.unwrap().unwrap_err(), CallError::Busy);
        assert_eq!(requests.load(Ordering::SeqCst), 1);
    });
}
