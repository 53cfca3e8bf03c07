use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::connection_budget::Held;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::task::yield_now;

use super::body_reader::BodyError;
use super::connection_limits::Port;
use super::connection_limits::READ_BUFFER_BYTES;
use super::connection_limits::ServerLimits;
use super::connections::Connections;
use super::connections::OnRefusal;
use super::connections::OpenConnection;

/// Timeout for reading a request's header; the operator's default limit.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, so that a shortage of file descriptors does not
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response to a request.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Limits what a process's servers hold, and shuts their connections down after their
/// current requests.
#[derive(Debug)]
pub(crate) struct ServerControl {
    closing: Cell<bool>,
    changed: Notify,
    connections: Rc<Connections>,
}

impl ServerControl {
    /// Creates servers with shares of the process's memory and descriptors.
    pub(crate) fn new(limits: &ServerLimits, on_refusal: OnRefusal) -> Self {
        let connections = Connections::new(limits, on_refusal);
        Self {
            closing: Cell::new(false),
            changed: Notify::new(),
            connections: Rc::new(connections),
        }
    }

    /// Closes each connection once its current request has been answered.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Returns the number of connections that are still open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.open_count()
    }

    /// Returns what the connections of a listener hold.
    pub(crate) fn held(&self, port: Port) -> Held {
        self.connections.held(port)
    }

    /// Reads a request's body, of at most `max_bytes` and as far as there is room.
    pub(crate) async fn read_body(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        self.connections.read_body(request, max_bytes).await
    }
}

/// Serves connections until the task is dropped.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    port: Port,
    control: Rc<ServerControl>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (open, has_closed_others) = control.connections.open(port);
        if let Some(open) = open {
            let control = Rc::clone(&control);
            spawn_local(serve_connection(stream, open, control, handler.clone()));
        }
        if has_closed_others {
            // Lets the tasks of the closed connections end, which frees their descriptors.
            yield_now().await;
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: OpenConnection,
    control: Rc<ServerControl>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    // Responses are small; with Nagle's algorithm they would only be delayed.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let key = open.key;
    let connections = Rc::clone(&control.connections);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(key);
        connections.begin_request(key);
        let connections = Rc::clone(&connections);
        let answer = handler(request);
        async move {
            let answer = answer.await;
            connections.end_request(key);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let changed = control.changed.notified();
    if !control.closing.get() {
        tokio::select! {
            biased;
            () = open.handle.closed.notified() => return,
            // Errors of a single connection need no handling.
            _ = connection.as_mut() => return,
            () = changed => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = open.handle.closed.notified() => {}
        _ = connection => {}
    }
}

/// Builds a response; a body is sent as JSON.
pub(crate) fn reply(status: u16, body: impl Into<Bytes>) -> Reply {
    let body = body.into();
    let mut response = Response::builder().status(status);
    if !body.is_empty() {
        response = response.header("content-type", "application/json");
    }
    response
        .body(Full::new(body))
        .unwrap_or_else(|error| unreachable!("response of valid parts can't be built: {error}"))
}

/// Binds a listener to an `IP:PORT` address.
pub(crate) async fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address
        .parse()
        .map_err(|error| std::io::Error::new(std::io::ErrorKind::InvalidInput, error))?;
    TcpListener::bind(address).await
}
