use std::cell::RefCell;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::call_error::CallError;
use super::peer_check::Admission;
use super::peer_check::CheckedResponse;
use super::peer_check::PeerCheck;

/// Timeout for opening a connection. One way within a region takes about 1 ms; a
/// lost first packet is retransmitted only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time since its last response up to which a connection is kept when a call on another one
/// gets none.
const MAX_UNVERIFIED: Duration = Duration::from_millis(500);

/// A response to a call.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// How long the body of a response may take once its head has arrived.
#[derive(Clone, Copy, Debug)]
enum BodyTimeout {
    /// As long as the head.
    Deadline,
    /// As long as some of it arrives each time within this: a large body on a slow link
    /// takes seconds.
    Idle(Duration),
}

/// A connection that no call uses.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// A remote server with a pool of persistent connections.
#[derive(Debug)]
pub(crate) struct HttpEndpoint {
    address: String,
    idle: RefCell<Vec<IdleConnection>>,
    permits: Semaphore,
    /// Whether connections are reset when they are closed.
    resets: bool,
}

impl HttpEndpoint {
    /// Creates a pool of at most `max_connections` connections; each is opened on
    /// demand.
    pub(crate) fn new(address: &str, max_connections: usize) -> Self {
        Self {
            address: address.to_owned(),
            idle: RefCell::new(Vec::new()),
            permits: Semaphore::new(max_connections),
            resets: false,
        }
    }

    /// Creates a pool whose connections are reset when they are closed. What was sent on one
    /// without a response is then discarded; otherwise the operating system delivers it once a
    /// partition ends, seconds after the caller has given up.
    pub(crate) fn resetting(address: &str, max_connections: usize) -> Self {
        Self {
            resets: true,
            ..Self::new(address, max_connections)
        }
    }

    /// Sends a call and reads the whole response, within a timeout that includes
    /// the wait for a free connection.
    pub(crate) async fn send(&self, call: &Call, timeout: Duration) -> Result<Response, CallError> {
        self.exchange(call, timeout, BodyTimeout::Deadline, &|| true)
            .await
    }

    /// Sends a call like [`Self::send`], unless `may_send` returns `false` when it is
    /// about to be written. The process may have been paused since the call was made,
    /// or the call have waited for a connection.
    pub(crate) async fn send_while(
        &self,
        call: &Call,
        timeout: Duration,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, CallError> {
        self.exchange(call, timeout, BodyTimeout::Deadline, may_send)
            .await
    }

    /// Sends a call whose response may be large. Its head has to arrive within a timeout
    /// that includes the wait for a free connection; the body may take longer, as long
    /// as it doesn't pause for the idle timeout.
    pub(crate) async fn download(
        &self,
        call: &Call,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<Response, CallError> {
        let body = BodyTimeout::Idle(idle_timeout);
        self.exchange(call, head_timeout, body, &|| true).await
    }

    /// Sends a call like [`Self::send_while`], to one process only: each new connection is
    /// checked before the call is sent. A connection that has been checked stays with its
    /// process.
    pub(crate) async fn send_checked(
        &self,
        call: &Call,
        timeout: Duration,
        may_send: &dyn Fn() -> bool,
        check: PeerCheck<'_>,
    ) -> Result<CheckedResponse, CallError> {
        let deadline = Instant::now() + timeout;
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(CallError::Busy);
        };
        let body = BodyTimeout::Deadline;
        while let Some(mut sender) = self.take_idle() {
            if !may_send() {
                return Err(CallError::Busy);
            }
            let response = self.converse(&mut sender, call, deadline, body).await?;
            if let Some(response) = response {
                self.keep(sender);
                return Ok(CheckedResponse::Answered(response));
            }
        }
        let mut sender = self.connect(deadline).await?;
        if !may_send() {
            return Err(CallError::Busy);
        }
        let asked = self.converse(&mut sender, check.question, deadline, body);
        let is_question = call == check.question;
        let answer = match asked.await {
            Ok(Some(answer)) => answer,
            Err(error) if is_question => return Err(error),
            Ok(None) | Err(_) => return Err(CallError::NotSent),
        };
        let admission = (check.admit)(&answer);
        let call = match &admission {
            Admission::Intended if is_question => {
                self.keep(sender);
                return Ok(CheckedResponse::Answered(answer));
            }
            Admission::Intended => call,
            Admission::Instead(call) => call,
            Admission::Refused => return Ok(CheckedResponse::Refused(answer)),
        };
        if !may_send() {
            return Err(CallError::Busy);
        }
        let response = self.converse(&mut sender, call, deadline, body).await?;
        let response = response.ok_or(CallError::NotSent)?;
        if matches!(admission, Admission::Intended) {
            self.keep(sender);
        }
        Ok(CheckedResponse::Answered(response))
    }

    /// Sends a call on a connection; `None` if it was closed before the call was written.
    async fn converse(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        call: &Call,
        deadline: Instant,
        body_timeout: BodyTimeout,
    ) -> Result<Option<Response>, CallError> {
        let Some(request) = self.request(call) else {
            return Err(CallError::NotSent);
        };
        let sent = Instant::now();
        let response = match timeout_at(deadline, sender.send_request(request)).await {
            Ok(Err(error)) if error.is_canceled() => return Ok(None),
            Err(_) | Ok(Err(_)) => {
                self.drop_idle(sent);
                return Err(CallError::NoAnswer);
            }
            Ok(Ok(response)) => response,
        };
        let status = response.status().as_u16();
        let body = response.into_body();
        let body = match body_timeout {
            BodyTimeout::Deadline => timeout_at(deadline, read_body(body, None)).await,
            BodyTimeout::Idle(idle) => Ok(read_body(body, Some(idle)).await),
        };
        let Ok(Some(body)) = body else {
            self.drop_idle(sent);
            return Err(CallError::NoAnswer);
        };
        Ok(Some(Response { status, body }))
    }

    /// Sends a call. The head of the response has to arrive within `head_timeout`.
    async fn exchange(
        &self,
        call: &Call,
        head_timeout: Duration,
        body_timeout: BodyTimeout,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + head_timeout;
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(CallError::Busy);
        };
        loop {
            let (mut sender, reused) = match self.take_idle() {
                Some(sender) => (sender, true),
                None => (self.connect(deadline).await?, false),
            };
            if !may_send() {
                return Err(CallError::Busy);
            }
            let response = self.converse(&mut sender, call, deadline, body_timeout);
            match response.await? {
                Some(response) => {
                    self.keep(sender);
                    return Ok(response);
                }
                None if reused => {}
                None => return Err(CallError::NotSent),
            }
        }
    }

    /// Keeps a connection for the next call, unless the server has closed it.
    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        if !sender.is_closed() {
            let since = Instant::now();
            self.idle
                .borrow_mut()
                .push(IdleConnection { sender, since });
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Closes the connections that have been idle since before `sent`, when a call
    /// was sent that got no response: the network may have forgotten them, too. After a long
    /// wait, that holds for those as well that were used in between.
    fn drop_idle(&self, sent: Instant) {
        let now = Instant::now();
        let since = now
            .checked_sub(MAX_UNVERIFIED)
            .map_or(sent, |at| at.max(sent));
        self.idle
            .borrow_mut()
            .retain(|connection| connection.since >= since);
    }

    async fn connect(&self, deadline: Instant) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let opening = TcpStream::connect(&self.address);
        let stream = timeout(left.min(CONNECT_TIMEOUT), opening).await;
        let Ok(Ok(stream)) = stream else {
            return Err(CallError::NotSent);
        };
        // With Nagle's algorithm, small requests would wait for an
        // acknowledgement.
        stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
        if self.resets {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .map_err(|_| CallError::NotSent)?;
        }
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallError::NotSent)?;
        // Drives the connection; when it ends, the sender reports closed.
        spawn_local(async move { drop(connection.await) });
        sender.ready().await.map_err(|_| CallError::NotSent)?;
        Ok(sender)
    }

    /// Builds a request; `None` if the address, the path or a header can't be sent.
    fn request(&self, call: &Call) -> Option<Request<Full<Bytes>>> {
        let method = match call.method {
            Method::Get => "GET",
            Method::Post => "POST",
        };
        let mut request = Request::builder()
            .method(method)
            .uri(&call.path)
            .header("host", &self.address);
        if !call.body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(call.body.clone()));
        request.body(body).ok()
    }
}

/// Reads a body; `None` if the connection breaks, or delivers nothing for the idle
/// timeout.
async fn read_body(mut body: Incoming, idle_timeout: Option<Duration>) -> Option<Bytes> {
    let mut chunks: Vec<Bytes> = Vec::new();
    loop {
        let frame = match idle_timeout {
            Some(idle) => timeout(idle, body.frame()).await.ok()?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Some(match chunks.as_slice() {
                [single] => single.clone(),
                _ => chunks.concat().into(),
            });
        };
        // Trailers carry no data.
        chunks.extend(frame.ok()?.into_data());
    }
}
