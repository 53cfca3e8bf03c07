use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use super::control_error::ControlError;
use super::reply::text_reply;

/// Longest pause between requests before the stop flag is looked at.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// Longest wait for the answers in work when told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A running control interface.
///
/// The server's own stop waits for a whole second without a request, which
/// never comes while others ask several times a second. Here requests that
/// come after the stop are refused, and the wait has a bound.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl ControlServer {
    /// Listens and answers with a bounded number of threads.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> Result<Self, ControlError> {
        let stopping = Arc::new(AtomicBool::new(false));
        let refuses = Arc::clone(&stopping);
        let server = Server::new(listen, move |request| {
            if refuses.load(Ordering::Acquire) {
                return text_reply(503, "stopping").with_unique_header("Connection", "close");
            }
            handler(request)
        })
        .map_err(|error| ControlError::Listen {
            found: error.to_string(),
        })?
        .pool_size(threads);
        let address = server.server_addr();
        let stop = Arc::clone(&stopping);
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(STOP_CHECK);
            }
        });
        Ok(Self {
            address,
            stopping,
            thread,
        })
    }

    /// Address that is listened on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses further requests and stops listening.
    pub fn stop(self) {
        self.stopping.store(true, Ordering::Release);
        let limit = Instant::now() + STOP_LIMIT;
        while !self.thread.is_finished() && Instant::now() < limit {
            thread::sleep(STOP_CHECK);
        }
    }
}
