use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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

/// Timeout for reading a request's header; the operator's default limit.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, so that a shortage of file descriptors does not
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response to a request.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Shuts down a server's connections after their current requests.
#[derive(Debug, Default)]
pub(crate) struct ServerControl {
    closing: Cell<bool>,
    changed: Notify,
    connections: Cell<usize>,
}

impl ServerControl {
    /// Closes each connection once its current request has been answered.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Returns the number of connections that are still open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Counts a connection until it is dropped.
struct OpenConnection(Rc<ServerControl>);

impl OpenConnection {
    fn new(control: &Rc<ServerControl>) -> Self {
        control.connections.set(control.connections.get() + 1);
        Self(Rc::clone(control))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Serves connections until the task is dropped.
pub(crate) async fn serve<H, F>(listener: TcpListener, control: Rc<ServerControl>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(
                    stream,
                    Rc::clone(&control),
                    handler.clone(),
                ));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, control: Rc<ServerControl>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    // Responses are small; with Nagle's algorithm they would only be delayed.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let _open = OpenConnection::new(&control);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let changed = control.changed.notified();
    if !control.closing.get() {
        tokio::select! {
            // Errors of a single connection need no handling.
            _ = connection.as_mut() => return,
            () = changed => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    drop(connection.await);
}

/// Reads a request's body; `None` if it exceeds the limit or the connection
/// breaks.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let collected = Limited::new(body, max_bytes).collect().await.ok()?;
    Some(collected.to_bytes())
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
