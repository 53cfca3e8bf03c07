use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Server;

use super::control;
use super::dump::EndpointDump;
use super::fault::FaultRule;
use super::listener;
use super::run_record::RunRecord;
use super::settings::EndpointSettings;
use super::state::State;
use crate::clock::now_ms;
use crate::lock::lock;
use crate::reopening_listener;
use crate::start_error::StartError;

/// Threads of the control server.
const CONTROL_THREADS: usize = 2;

/// Stack size of the thread that accepts connections.
const ACCEPT_STACK_BYTES: usize = 64 * 1024;

/// Interval at which a stop checks whether all requests are answered.
const DRAIN_POLL_MS: u64 = 5;

/// Maximum time that a stop waits for requests in flight.
const DRAIN_TIMEOUT_MS: u64 = 30_000;

/// The control server of an endpoint stand-in.
#[derive(Debug)]
struct Control {
    address: SocketAddr,
    stop: Sender<()>,
    server: JoinHandle<()>,
}

/// A running endpoint stand-in; dropping it stops it without waiting for
/// requests in flight.
#[derive(Debug)]
pub struct EndpointStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Option<JoinHandle<()>>,
    control: Option<Control>,
}

impl EndpointStandIn {
    /// Starts the stand-in and its threads.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint_standin::endpoint::EndpointSettings;
    /// use cornelpoint_standin::endpoint::EndpointStandIn;
    ///
    /// let instance = InstanceId::try_from("quoting-1").unwrap();
    /// let endpoint = EndpointStandIn::start(EndpointSettings::new(instance)).unwrap();
    /// assert_eq!(endpoint.dump().runs, 0);
    /// endpoint.stop();
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if one of its addresses cannot be listened on.
    pub fn start(settings: EndpointSettings) -> Result<Self, StartError> {
        let listen = settings.listen;
        let control_listen = settings.control_listen;
        let listener = TcpListener::bind(listen).map_err(|error| to_start_error(listen, &error))?;
        let address = listener
            .local_addr()
            .map_err(|error| to_start_error(listen, &error))?;
        let state = Arc::new(Mutex::new(State::new(settings)));
        let control = control_listen
            .map(|listen| start_control(&state, listen))
            .transpose()?;
        let shared = Arc::clone(&state);
        let listener = Builder::new()
            .name("endpoint-accept".to_owned())
            .stack_size(ACCEPT_STACK_BYTES)
            .spawn(move || listener::accept_all(&shared, listener, address))
            .map_err(|error| to_start_error(listen, &error))?;
        Ok(Self {
            address,
            state,
            listener: Some(listener),
            control,
        })
    }

    /// Returns the address that it serves requests on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of its control server.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(|control| control.address)
    }

    /// Returns its state and counters.
    #[must_use]
    pub fn dump(&self) -> EndpointDump {
        lock(&self.state).dump()
    }

    /// Returns the recorded runs, in the order in which they started.
    #[must_use]
    pub fn history(&self) -> Vec<RunRecord> {
        lock(&self.state).history().to_vec()
    }

    /// Replaces the fault rules in force.
    pub fn set_faults(&self, rules: Vec<FaultRule>) {
        lock(&self.state).rules.set(rules);
        if lock(&self.state).rules.refuses_all() {
            reopening_listener::wake(self.address);
        }
    }

    /// Stops all work for a while, on all connections.
    pub fn freeze(&self, freeze_ms: u64) {
        lock(&self.state).freeze(freeze_ms, now_ms());
    }

    /// Sets whether the endpoint is leaving; while it is, it runs no new
    /// requests.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).set_leaving(leaving, now_ms());
    }

    /// Starts to leave, waits for the requests in flight, and stops.
    pub fn stop(mut self) {
        self.set_leaving(true);
        let limit_ms = now_ms() + DRAIN_TIMEOUT_MS;
        while lock(&self.state).unanswered > 0 && now_ms() < limit_ms {
            thread::sleep(Duration::from_millis(DRAIN_POLL_MS));
        }
        self.end();
    }

    /// Stops at once and aborts the requests in flight.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        lock(&self.state).stopping = true;
        reopening_listener::wake(self.address);
        // The panic hook has already printed a panic of the thread.
        let _ = listener.join();
        lock(&self.state).open_connections.shut_down();
        if let Some(control) = self.control.take() {
            // Fails if the server thread has already ended.
            let _ = control.stop.send(());
            let _ = control.server.join();
        }
    }
}

impl Drop for EndpointStandIn {
    fn drop(&mut self) {
        self.end();
    }
}

fn start_control(state: &Arc<Mutex<State>>, listen: SocketAddr) -> Result<Control, StartError> {
    let shared = Arc::clone(state);
    let server = Server::new(listen, move |request| control::answer(&shared, request))
        .map_err(|error| to_start_error(listen, error.as_ref()))?
        .pool_size(CONTROL_THREADS);
    let address = server.server_addr();
    let (server, stop) = server.stoppable();
    Ok(Control {
        address,
        stop,
        server,
    })
}

fn to_start_error(listen: SocketAddr, error: &dyn std::error::Error) -> StartError {
    StartError {
        listen,
        found: error.to_string(),
    }
}
