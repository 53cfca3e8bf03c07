//! Calls to a process whose address passes to another one.

#[path = "../src/http/mod.rs"]
#[expect(dead_code, unused_imports, reason = "the server side is not used here")]
mod http;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use self::http::Admission;
use self::http::CheckedResponse;
use self::http::HttpEndpoint;
use self::http::PeerCheck;
use self::http::Response;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a closed connection is noticed.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// A process that answers each call with its name.
struct Process {
    listener: TcpListener,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn start(name: char, address: SocketAddr) -> Self {
        let process = Self {
            listener: TcpListener::bind(address).unwrap(),
            streams: Arc::default(),
            calls: Arc::default(),
        };
        let listener = process.listener.try_clone().unwrap();
        let (streams, calls) = (Arc::clone(&process.streams), Arc::clone(&process.calls));
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                streams.lock().unwrap().push(stream.try_clone().unwrap());
                let calls = Arc::clone(&calls);
                thread::spawn(move || answer(stream, name, &calls));
            }
        });
        process
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }

    /// Ends the process and returns its address.
    fn kill(self) -> SocketAddr {
        let address = self.address();
        // Accepting fails from now on, so that the port is closed.
        rustix::net::shutdown(&self.listener, rustix::net::Shutdown::Both).unwrap();
        for stream in self.streams.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        address
    }
}

fn answer(mut stream: TcpStream, name: char, calls: &Mutex<Vec<String>>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while let Some(Ok(line)) = lines.next() {
        if let Some(path) = line.split(' ').nth(1).filter(|path| path.starts_with('/')) {
            calls.lock().unwrap().push(path.to_owned());
        }
        let sent = match line.as_str() {
            "" => write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{name}"),
            _ => Ok(()),
        };
        if sent.is_err() {
            return;
        }
    }
}

fn call(path: &str) -> Call {
    Call {
        method: Method::Get,
        path: path.to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

/// Guards against orders that are carried out by a process whose clock and state are not
/// known, since it has the address of the one that they are meant for.
#[test]
fn a_call_is_sent_to_a_process_that_has_not_been_identified() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let first = Process::start('1', SocketAddr::from(([127, 0, 0, 1], 0)));
        let endpoint = HttpEndpoint::new(&first.address().to_string(), 1);
        let question = call("/who");
        let (order, translated) = (call("/order"), call("/translated"));
        let send = async |other: Admission| {
            let admit = |answer: &Response| match answer.body.as_ref() {
                b"1" => Admission::Intended,
                _ => other.clone(),
            };
            let check = PeerCheck {
                question: &question,
                admit: &admit,
            };
            endpoint
                .send_checked(&order, TIMEOUT, &|| true, check)
                .await
        };
        for _ in 0..2 {
            let response = send(Admission::Refused).await;
            assert!(matches!(response, Ok(CheckedResponse::Answered(_))));
        }
        assert_eq!(first.calls(), ["/who", "/order", "/order"]);
        let second = Process::start('2', first.kill());
        // A call that is written before the connection is seen closed gets no answer.
        tokio::time::sleep(CLOSE_TIME).await;
        let response = send(Admission::Refused).await;
        assert!(matches!(response, Ok(CheckedResponse::Refused(_))));
        assert_eq!(second.calls(), ["/who"]);
        for _ in 0..2 {
            let response = send(Admission::Instead(translated.clone())).await;
            assert!(matches!(response, Ok(CheckedResponse::Answered(_))));
        }
        let expected = ["/who", "/who", "/translated", "/who", "/translated"];
        assert_eq!(second.calls(), expected);
    });
}
