use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::request::Refusal;
use error_stack::Report;
use error_stack::ResultExt;
use socket2::SockRef;

use super::caller_handler::CallerHandler;
use super::connection::Connection;
use super::drain_outcome::DrainOutcome;
use super::edge_error::EdgeError;
use super::edge_settings::EdgeSettings;
use super::open_connections::ConnectionHandle;
use super::open_connections::OpenConnections;
use super::open_connections::Opened;
use super::reject_connections;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;
/// Connect timeout of the connection that wakes the accepting thread.
const WAKE_TIMEOUT_MS: u64 = 200;
/// Buffers of a connection in the operating system, which doubles these sizes. Without a limit
/// they grow up to megabytes for clients that send without reading.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// An HTTP/1.1 server for callers.
///
/// ```
/// use std::io::Read;
/// use std::io::Write;
/// use std::net::TcpStream;
/// use std::sync::Arc;
///
/// use cornelpoint_daemon::caller_edge::Answer;
/// use cornelpoint_daemon::caller_edge::BodyLimit;
/// use cornelpoint_daemon::caller_edge::CallerEdge;
/// use cornelpoint_daemon::caller_edge::CallerHandler;
/// use cornelpoint_daemon::caller_edge::CallerRequest;
/// use cornelpoint_daemon::caller_edge::EdgeSettings;
/// use cornelpoint_daemon::caller_edge::RequestHead;
///
/// struct Echo;
///
/// impl CallerHandler for Echo {
///     fn admit(&self, _: &RequestHead) -> Result<BodyLimit, Answer> {
///         Ok(BodyLimit { max_bytes: 100 })
///     }
///
///     fn handle(&self, request: CallerRequest) -> Answer {
///         Answer { status: 200, headers: vec![], body: request.body }
///     }
/// }
///
/// let settings = EdgeSettings::new("127.0.0.1:0".parse().unwrap());
/// let edge = CallerEdge::start(settings, Arc::new(Echo)).unwrap();
/// let mut stream = TcpStream::connect(edge.address()).unwrap();
/// stream
///     .write_all(b"POST / HTTP/1.0\r\ncontent-length: 2\r\n\r\nhi")
///     .unwrap();
/// let mut answer = String::new();
/// stream.read_to_string(&mut answer).unwrap();
/// assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"));
/// assert!(answer.ends_with("\r\n\r\nhi"));
/// ```
pub struct CallerEdge {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    settings: EdgeSettings,
    handler: Arc<dyn CallerHandler>,
    connections: Arc<OpenConnections>,
}

impl CallerEdge {
    /// Starts to listen and serve; returns once the address is bound.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or a thread can't be started.
    pub fn start(
        settings: EdgeSettings,
        handler: Arc<dyn CallerHandler>,
    ) -> Result<Self, Report<EdgeError>> {
        let listen_error = EdgeError::Listen {
            address: settings.listen,
        };
        let listener = TcpListener::bind(settings.listen).change_context(listen_error)?;
        let address = listener.local_addr().change_context(listen_error)?;
        let socket = SockRef::from(&listener);
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES))
            .change_context(listen_error)?;
        let recorder = Arc::clone(&handler);
        let on_closed = Box::new(move |reason| recorder.record_closed(reason));
        let shared = Arc::new(Shared {
            settings,
            handler,
            connections: Arc::new(OpenConnections::new(settings.limits, on_closed)),
        });
        let acceptor = start_threads(listener, &shared).change_context(EdgeError::Thread)?;
        Ok(Self {
            address,
            shared,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// The address listened on, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.len()
    }

    /// Stops accepting connections. Idle connections are closed at once, others
    /// after their current answer. Returns once the address is free; further
    /// calls do nothing.
    pub fn stop_accepting(&self) {
        self.shared.connections.stop();
        let mut acceptor = self.acceptor.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(thread) = acceptor.take() else {
            return;
        };
        let timeout = Duration::from_millis(WAKE_TIMEOUT_MS);
        while !thread.is_finished() {
            // The accepting thread checks for a stop after each connection.
            let _ = TcpStream::connect_timeout(&reachable(self.address), timeout);
            thread::sleep(Duration::from_millis(1));
        }
        // A panic there has already been printed.
        let _ = thread.join();
    }

    /// Waits until all connections are closed or the deadline passes; called
    /// after `stop_accepting`.
    #[must_use]
    pub fn wait_idle(&self, deadline: Instant) -> DrainOutcome {
        self.shared.connections.wait_idle(deadline)
    }
}

impl fmt::Debug for CallerEdge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerEdge")
            .field("address", &self.address)
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

/// Returns an address to connect to: loopback in place of an unspecified IP
/// number.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}

fn start_threads(listener: TcpListener, shared: &Arc<Shared>) -> io::Result<JoinHandle<()>> {
    let (sender, receiver) = sync_channel(reject_connections::QUEUE_LENGTH);
    let max_connections = shared.settings.limits.connections.max_connections;
    thread::Builder::new()
        .name("turn-away".to_owned())
        .stack_size(shared.settings.stack_bytes)
        .spawn(move || reject_connections::run(&receiver, max_connections))?;
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name("accept".to_owned())
        .spawn(move || accept(&listener, &shared, &sender))
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, over_limit: &SyncSender<TcpStream>) {
    while !shared.connections.is_stopping() {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, shared, over_limit),
            Err(_) => thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)),
        }
    }
}

fn admit(stream: TcpStream, shared: &Arc<Shared>, over_limit: &SyncSender<TcpStream>) {
    match shared.connections.open(stream) {
        Opened::Added(id, handle) => spawn(handle, id, shared),
        Opened::Refused(stream) => {
            shared.handler.record_rejection(Refusal::Overloaded);
            // When the queue is full too, the connection is closed without an answer.
            drop(over_limit.try_send(stream));
        }
        Opened::Stopping => {}
    }
}

fn spawn(handle: Arc<ConnectionHandle>, id: ConnectionId, shared: &Arc<Shared>) {
    let guard = ConnectionGuard {
        id,
        shared: Arc::clone(shared),
    };
    let spawned = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(shared.settings.stack_bytes)
        .spawn(move || guard.serve(handle));
    // When no thread starts, dropping the closure closes the connection and
    // removes it from the open ones.
    drop(spawned);
}

/// Removes a connection from the open ones when its thread ends, also by a panic.
struct ConnectionGuard {
    id: ConnectionId,
    shared: Arc<Shared>,
}

impl ConnectionGuard {
    fn serve(&self, handle: Arc<ConnectionHandle>) {
        // With Nagle's algorithm an answer could wait for the previous one's
        // acknowledgement.
        let _ = handle.stream.set_nodelay(true);
        let shared = &self.shared;
        let handler = shared.handler.as_ref();
        Connection::new(
            handle,
            self.id,
            &shared.connections,
            &shared.settings,
            handler,
        )
        .serve();
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.connections.remove(self.id);
    }
}
