use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

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

/// Interval at which the server checks the stop flag while it gets no requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that a stop waits for the server's thread.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running platform stand-in; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopping: Arc<AtomicBool>,
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
    /// Returns an error if the address cannot be listened on.
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
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let server = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
        });
        Ok(Self {
            address,
            state,
            stopping,
            server: Some(server),
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its state and counters.
    #[must_use]
    pub fn dump(&self) -> PlatformDump {
        lock(&self.state).dump()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).set_faults(faults, now_ms());
    }

    /// Sets an entry of the instance list; it becomes visible after the lag.
    pub fn list_instance(&self, instance: ListedInstance) {
        lock(&self.state).list_instance(instance, now_ms());
    }

    /// Stops the server and waits up to two seconds for its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // Clients that send requests without a pause can keep the server busy
        // forever.
        let limit = Instant::now() + STOP_TIMEOUT;
        let Some(server) = self.server.take() else {
            return;
        };
        while !server.is_finished() && Instant::now() < limit {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.end();
    }
}
