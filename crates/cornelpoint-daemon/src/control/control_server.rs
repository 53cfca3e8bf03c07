use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use super::control_error::ControlError;

/// A running control interface.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    stop: Sender<()>,
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
        let server = Server::new(listen, handler)
            .map_err(|error| ControlError::Listen {
                found: error.to_string(),
            })?
            .pool_size(threads);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread,
        })
    }

    /// Address that is listened on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits for the answers in work.
    pub fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}
