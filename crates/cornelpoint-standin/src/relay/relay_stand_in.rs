use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

use super::direction::Direction;
use super::relay_faults::RelayFaults;
use super::relayed_connection::RelayedConnection;
use super::shared::Shared;
use crate::lock::lock;
use crate::reopening_listener;
use crate::reopening_listener::ListenerState;
use crate::start_error::StartError;

/// Stack size of the relay's threads.
const STACK_BYTES: usize = 64 * 1024;

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// A running relay; it stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    listener: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay from a listen address to a target.
    ///
    /// ```
    /// use std::net::SocketAddr;
    ///
    /// use cornelpoint_standin::relay::Relay;
    /// use cornelpoint_standin::relay::RelayFaults;
    ///
    /// let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    /// let target = SocketAddr::from(([127, 0, 0, 1], 1));
    /// let relay = Relay::start(any_port, target).unwrap();
    /// relay.set_faults(RelayFaults { refuse: true, ..RelayFaults::default() });
    /// relay.heal();
    /// relay.stop();
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, StartError> {
        let to_start_error = |error: std::io::Error| StartError {
            listen,
            found: error.to_string(),
        };
        let listener = TcpListener::bind(listen).map_err(to_start_error)?;
        let address = listener.local_addr().map_err(to_start_error)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let state = Arc::clone(&shared);
        let listener = Builder::new()
            .name("relay-accept".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept_all(&state, listener, address, target))
            .map_err(to_start_error)?;
        Ok(Self {
            address,
            shared,
            listener: Some(listener),
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> RelayFaults {
        lock(&self.shared).faults
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.shared).connection_count()
    }

    /// Replaces the faults in force. Connections that lost bytes are closed as
    /// soon as no direction is cut.
    pub fn set_faults(&self, faults: RelayFaults) {
        let mut locked = lock(&self.shared);
        locked.faults = faults;
        if faults.cut == super::Cut::None {
            locked.close_broken();
        }
        drop(locked);
        if faults.refuse {
            reopening_listener::wake(self.address);
        }
    }

    /// Clears all faults.
    pub fn heal(&self) {
        self.set_faults(RelayFaults::default());
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        lock(&self.shared).close_all();
    }

    /// Stops the relay and closes all connections.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        lock(&self.shared).stopping = true;
        reopening_listener::wake(self.address);
        // The panic hook has already printed a panic of the thread.
        let _ = listener.join();
        self.close_connections();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end();
    }
}

fn accept_all(
    shared: &Arc<Mutex<Shared>>,
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
) {
    reopening_listener::accept_all(
        listener,
        address,
        || listener_state(shared),
        |source| serve(shared, source, target),
    );
}

fn listener_state(shared: &Mutex<Shared>) -> ListenerState {
    let locked = lock(shared);
    if locked.stopping {
        ListenerState::Stopping
    } else if locked.faults.refuse {
        ListenerState::Closed
    } else {
        ListenerState::Open
    }
}

fn serve(shared: &Arc<Mutex<Shared>>, source: TcpStream, target: SocketAddr) {
    let cut = lock(shared).faults.cut;
    let target = if cut.discards(Direction::ToTarget) {
        None
    } else {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let Ok(target) = TcpStream::connect_timeout(&target, timeout) else {
            return;
        };
        Some(target)
    };
    let connection = Arc::new(RelayedConnection::new(source, target));
    let id = lock(shared).add(Arc::clone(&connection));
    let from_target = start_forwarding(shared, &connection, Direction::FromTarget, None);
    let to_target = start_forwarding(shared, &connection, Direction::ToTarget, Some(id));
    if from_target.is_none() || to_target.is_none() {
        connection.close();
        lock(shared).remove(id);
    }
}

/// Starts the thread of one direction; when it ends, it removes the connection
/// `id`, if given.
fn start_forwarding(
    shared: &Arc<Mutex<Shared>>,
    connection: &Arc<RelayedConnection>,
    direction: Direction,
    id: Option<u64>,
) -> Option<()> {
    let shared = Arc::clone(shared);
    let connection = Arc::clone(connection);
    Builder::new()
        .name("relay-pump".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            connection.forward(&shared, direction);
            if let Some(id) = id {
                lock(&shared).remove(id);
            }
        })
        .ok()
        .map(drop)
}
