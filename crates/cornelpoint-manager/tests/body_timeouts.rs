//! Bodies that end late or not at all, at a server in the test's own process.

#[path = "../src/http/mod.rs"]
#[expect(dead_code, unused_imports, reason = "the client side is not used here")]
mod http;

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use self::http::BodyTimeouts;
use self::http::Port;
use self::http::ServerControl;
use self::http::ServerLimits;
use self::http::listen;
use self::http::reply;
use self::http::serve;

const MAX_BODY_BYTES: usize = 262_144;
const MEMORY_BYTES: u64 = 64_000_000;
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(60);

/// A server that answers a request with 200 once it has read its body.
struct Server {
    address: SocketAddr,
    control: Rc<ServerControl>,
    refusals: Rc<RefCell<Vec<&'static str>>>,
}

impl Server {
    async fn start(body_timeouts: BodyTimeouts) -> Self {
        Self::start_with_memory(body_timeouts, MEMORY_BYTES).await
    }

    async fn start_with_memory(body_timeouts: BodyTimeouts, memory_bytes: u64) -> Self {
        let limits = ServerLimits {
            memory_bytes,
            max_descriptors: 500,
            body_timeouts,
        };
        let refusals = Rc::new(RefCell::new(Vec::new()));
        let recorded = Rc::clone(&refusals);
        let on_refusal = Box::new(move |_, reason| recorded.borrow_mut().push(reason));
        let control = Rc::new(ServerControl::new(&limits, on_refusal));
        let listener = listen("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let reader = Rc::clone(&control);
        let server = serve(
            listener,
            Port::Callers,
            Rc::clone(&control),
            move |request| {
                let reader = Rc::clone(&reader);
                async move {
                    match reader.read_body(request, MAX_BODY_BYTES).await {
                        Ok(_) => reply(200, ""),
                        Err(error) => error.reply(),
                    }
                }
            },
        );
        spawn_local(server);
        Self {
            address,
            control,
            refusals,
        }
    }

    async fn connect(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Returns the head of the answer.
async fn answer(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 1024];
    let length = stream.read(&mut head).await.unwrap();
    String::from_utf8_lossy(&head[..length]).to_ascii_lowercase()
}

/// Guards against a body that holds its room for ever.
#[test]
fn a_body_without_progress_is_refused() {
    run(async {
        let server = Server::start(BodyTimeouts {
            idle: SHORT,
            total: LONG,
        });
        let server = server.await;
        let request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nab";
        let mut stream = server.connect(request).await;
        let head = answer(&mut stream).await;
        assert!(head.starts_with("http/1.1 408"), "{head}");
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(*server.refusals.borrow(), ["late"]);
    });
}

/// Guards against a client that holds a body open by a byte now and then.
#[test]
fn a_body_that_trickles_is_refused() {
    run(async {
        let server = Server::start(BodyTimeouts {
            idle: LONG,
            total: SHORT,
        });
        let server = server.await;
        let request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999\r\n\r\n";
        let (mut reader, mut writer) = server.connect(request).await.into_split();
        spawn_local(async move {
            while writer.write_all(b"a").await.is_ok() {
                tokio::time::sleep(SHORT / 10).await;
            }
        });
        let mut head = [0; 12];
        reader.read_exact(&mut head).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&head), "HTTP/1.1 408");
        assert_eq!(*server.refusals.borrow(), ["late"]);
    });
}

/// Guards against a planned stop that cuts off a request whose body is under way.
#[test]
fn a_body_under_way_is_answered_after_the_servers_are_told_to_close() {
    run(async {
        let server = Server::start(BodyTimeouts::default()).await;
        let request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nab";
        let mut stream = server.connect(request).await;
        while server.control.held(Port::Callers).bytes < 80_000 {
            tokio::task::yield_now().await;
        }
        server.control.close();
        tokio::task::yield_now().await;
        stream.write_all(b"c").await.unwrap();
        let head = answer(&mut stream).await;
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert_eq!(server.refusals.borrow().len(), 0);
    });
}

/// Guards against connections that can't be used again, and against a limit below that of
/// the largest head, 16,384 bytes.
#[test]
fn a_connection_stays_open_after_a_largest_head() {
    run(async {
        let server = Server::start(BodyTimeouts::default()).await;
        let long = "a".repeat(16_384 - 60);
        let request =
            format!("POST / HTTP/1.1\r\nhost: a\r\nx: {long}\r\ncontent-length: 3\r\n\r\n");
        let mut stream = server.connect(&request).await;
        for _ in 0..2 {
            stream.write_all(b"abc").await.unwrap();
            let head = answer(&mut stream).await;
            assert!(head.starts_with("http/1.1 200"), "{head}");
            stream.write_all(request.as_bytes()).await.unwrap();
        }
        assert_eq!(server.control.held(Port::Callers).connections, 1);
        let longer = request.replace("x: ", &format!("y: {long}\r\nx: "));
        let mut stream = server.connect(&longer).await;
        let head = answer(&mut stream).await;
        assert!(head.starts_with("http/1.1 431"), "{head}");
    });
}

/// Guards against a refusal that doesn't say when to come again, or that leaves the rest of
/// the body on the connection.
#[test]
fn a_body_without_room_is_refused_before_it_is_read() {
    run(async {
        // The share of callers is one connection without a body.
        let memory_bytes = 200_000;
        let server = Server::start_with_memory(BodyTimeouts::default(), memory_bytes).await;
        let request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab";
        let mut stream = server.connect(request).await;
        let head = answer(&mut stream).await;
        assert!(head.starts_with("http/1.1 503"), "{head}");
        assert!(head.contains("retry-after: 1"), "{head}");
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(*server.refusals.borrow(), ["no_room"]);
    });
}
