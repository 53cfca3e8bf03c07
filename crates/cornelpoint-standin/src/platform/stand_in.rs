use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use cornelpoint::platform::ListedInstance;
use rouille::Server;

use super::api;
use super::dump::PlatformDump;
use super::faults::PlatformFaults;
use super::settings::PlatformSettings;
use super::state::State;
use crate::clock::now_ms;
use crate::lock::lock;
use crate::start_error::StartError;

/// A running platform stand-in; dropping it stops it.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Sender<()>,
    server: Option<JoinHandle<()>>,
}

impl PlatformStandIn {
    /// Starts the stand-in and its threads.
    ///
    /// ```
    /// use cornelpoint_standin::platform::PlatformSettings;
    /// use cornelpoint_standin::platform::PlatformStandIn;
    ///
    /// let platform = PlatformStandIn::start(&PlatformSettings::default()).unwrap();
    /// assert_ne!(platform.address().port(), 0);
    /// platform.stop();
    /// ```
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn start(settings: &PlatformSettings) -> Result<Self, StartError> {
        let state = Arc::new(Mutex::new(State::new(settings)));
        let shared = Arc::clone(&state);
        let server = Server::new(settings.listen, move |request| {
            api::answer(&shared, request)
        })
        .map_err(|error| StartError {
            listen: settings.listen,
            found: error.to_string(),
        })?
        .pool_size(settings.threads);
        let address = server.server_addr();
        let (server, stop) = server.stoppable();
        Ok(Self {
            address,
            state,
            stop,
            server: Some(server),
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State and counters.
    #[must_use]
    pub fn dump(&self) -> PlatformDump {
        lock(&self.state).dump()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).set_faults(faults, now_ms());
    }

    /// Changes an entry of the instance list; it shows after the lag.
    pub fn list_instance(&self, instance: ListedInstance) {
        lock(&self.state).list_instance(instance, now_ms());
    }

    /// Stops the server and waits for its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // The server thread may be gone already; then there is none to tell.
        let _ = self.stop.send(());
        if let Some(server) = self.server.take() {
            // A panic of the server thread was printed by the thread itself.
            let _ = server.join();
        }
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.end();
    }
}
