use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::client_settings::ClientSettings;
use super::connection::Connection;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

#[derive(Debug)]
struct State {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    swept_at: Instant,
}

/// The idle connections to all endpoints.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    state: Mutex<State>,
    max_idle_per_endpoint: usize,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// An empty pool.
    pub(super) fn new(settings: &ClientSettings) -> Self {
        let state = State {
            idle: HashMap::new(),
            swept_at: Instant::now(),
        };
        Self {
            state: Mutex::new(state),
            max_idle_per_endpoint: settings.max_idle_per_endpoint,
            idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
        }
    }

    /// Takes the connection that became idle last, unless it has been idle for
    /// too long.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.lock();
        let idle = state.idle.get_mut(&address)?;
        let found = idle.pop()?;
        (found.since.elapsed() < self.idle_timeout).then_some(found.connection)
    }

    /// Puts a connection back, or closes it if enough are idle.
    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut state = self.lock();
        if now.duration_since(state.swept_at) >= self.idle_timeout {
            self.sweep(&mut state, now);
        }
        let idle = state.idle.entry(address).or_default();
        if idle.len() < self.max_idle_per_endpoint {
            idle.push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(super) fn close_idle_connections(&self, address: SocketAddr) {
        self.lock().idle.remove(&address);
    }

    /// Returns the number of idle connections to an endpoint.
    pub(super) fn len(&self, address: SocketAddr) -> usize {
        self.lock().idle.get(&address).map_or(0, Vec::len)
    }

    fn sweep(&self, state: &mut State, now: Instant) {
        state.swept_at = now;
        state.idle.retain(|_, idle| {
            idle.retain(|idle| now.duration_since(idle.since) < self.idle_timeout);
            !idle.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
