use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::client_settings::ClientSettings;
use super::link::Link;

#[derive(Debug)]
struct IdleLink {
    link: Link,
    since: Instant,
}

#[derive(Debug)]
struct State {
    idle: HashMap<SocketAddr, Vec<IdleLink>>,
    swept_at: Instant,
}

/// The idle connections to all endpoints.
#[derive(Debug)]
pub(super) struct LinkPool {
    state: Mutex<State>,
    max_idle_per_endpoint: usize,
    idle_timeout: Duration,
}

impl LinkPool {
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

    /// Takes the link that became idle last.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Link> {
        let mut state = self.lock();
        let idle = state.idle.get_mut(&address)?;
        let found = idle.pop()?;
        (found.since.elapsed() < self.idle_timeout).then_some(found.link)
    }

    /// Puts a link back, or closes it when enough are idle.
    pub(super) fn put(&self, address: SocketAddr, link: Link) {
        let now = Instant::now();
        let mut state = self.lock();
        if now.duration_since(state.swept_at) >= self.idle_timeout {
            self.sweep(&mut state, now);
        }
        let idle = state.idle.entry(address).or_default();
        if idle.len() < self.max_idle_per_endpoint {
            idle.push(IdleLink { link, since: now });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(super) fn close_idle_connections(&self, address: SocketAddr) {
        self.lock().idle.remove(&address);
    }

    /// Number of idle connections to an endpoint.
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
