use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

use super::direction::Direction;
use super::link::Link;
use super::relay_faults::RelayFaults;
use super::shared::Shared;
use crate::lock::lock;
use crate::reopening_listener;
use crate::reopening_listener::Gate;
use crate::start_error::StartError;

/// Stack of a thread that passes data on.
const STACK_BYTES: usize = 64 * 1024;

/// Longest time to connect to the target.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// A running relay; dropping it stops it.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    listener: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay from one address to another.
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
    /// When the address can't be listened on.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, StartError> {
        let refused = |error: std::io::Error| StartError {
            listen,
            found: error.to_string(),
        };
        let listener = TcpListener::bind(listen).map_err(refused)?;
        let address = listener.local_addr().map_err(refused)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let state = Arc::clone(&shared);
        let listener = Builder::new()
            .name("relay-accept".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept_all(&state, listener, address, target))
            .map_err(refused)?;
        Ok(Self {
            address,
            shared,
            listener: Some(listener),
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> RelayFaults {
        lock(&self.shared).faults
    }

    /// Connections open.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.shared).link_count()
    }

    /// Replaces the faults in force; connections that lost bytes are closed
    /// when nothing is cut any more.
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

    /// Takes all faults away.
    pub fn heal(&self) {
        self.set_faults(RelayFaults::default());
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        lock(&self.shared).close_all();
    }

    /// Closes all connections and stops.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        lock(&self.shared).stopping = true;
        reopening_listener::wake(self.address);
        // A panic of the thread was printed by the thread itself.
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
        || gate(shared),
        |source| serve(shared, source, target),
    );
}

fn gate(shared: &Mutex<Shared>) -> Gate {
    let locked = lock(shared);
    if locked.stopping {
        Gate::Stopping
    } else if locked.faults.refuse {
        Gate::Closed
    } else {
        Gate::Open
    }
}

fn serve(shared: &Arc<Mutex<Shared>>, source: TcpStream, target: SocketAddr) {
    let cut = lock(shared).faults.cut;
    let target = if cut.swallows(Direction::ToTarget) {
        None
    } else {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let Ok(target) = TcpStream::connect_timeout(&target, timeout) else {
            return;
        };
        Some(target)
    };
    let link = Arc::new(Link::new(source, target));
    let id = lock(shared).add(Arc::clone(&link));
    let back = start_pump(shared, &link, Direction::FromTarget, None);
    let forth = start_pump(shared, &link, Direction::ToTarget, Some(id));
    if back.is_none() || forth.is_none() {
        link.close();
        lock(shared).remove(id);
    }
}

/// Starts a thread for one direction; it takes the link with `id` away when
/// it ends.
fn start_pump(
    shared: &Arc<Mutex<Shared>>,
    link: &Arc<Link>,
    direction: Direction,
    id: Option<u64>,
) -> Option<()> {
    let shared = Arc::clone(shared);
    let link = Arc::clone(link);
    Builder::new()
        .name("relay-pump".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            link.pump(&shared, direction);
            if let Some(id) = id {
                lock(&shared).remove(id);
            }
        })
        .ok()
        .map(drop)
}
