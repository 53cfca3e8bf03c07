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

/// Longest pause between requests before the stop flag is looked at.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// Longest wait for the server's thread when told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A running platform stand-in; dropping it stops it.
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
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let server = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(STOP_CHECK);
            }
        });
        Ok(Self {
            address,
            state,
            stopping,
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

    /// Stops the server and waits for its thread, for two seconds at most.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // Clients that ask without a pause can keep the server busy for ever.
        let limit = Instant::now() + STOP_LIMIT;
        let Some(server) = self.server.take() else {
            return;
        };
        while !server.is_finished() && Instant::now() < limit {
            thread::sleep(STOP_CHECK);
        }
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.end();
    }
}
