use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use super::shutdown_error::ShutdownError;

#[derive(Debug, Default)]
struct State {
    raised: Mutex<bool>,
    changed: Condvar,
}

/// Flag that requests the shutdown of the process; clones share one state.
///
/// ```
/// use std::thread;
///
/// use cornelpoint_daemon::shutdown::ShutdownFlag;
///
/// let flag = ShutdownFlag::new();
/// let waiting = flag.clone();
/// let thread = thread::spawn(move || waiting.wait());
/// flag.raise();
/// thread.join().unwrap();
/// assert!(flag.is_raised());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ShutdownFlag {
    state: Arc<State>,
}

impl ShutdownFlag {
    /// Creates a flag that only [`ShutdownFlag::raise`] raises.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a flag that SIGTERM and SIGINT raise. Further signals have no
    /// effect, as a shutdown waits for requests in progress.
    ///
    /// # Errors
    ///
    /// When the handler can't be set or its thread can't be started.
    pub fn on_signals() -> Result<Self, Report<ShutdownError>> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).change_context(ShutdownError::Handler)?;
        let flag = Self::new();
        let raised = flag.clone();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || signals.forever().for_each(|_| raised.raise()))
            .change_context(ShutdownError::Thread)?;
        Ok(flag)
    }

    /// Requests the shutdown.
    pub fn raise(&self) {
        *self.lock() = true;
        self.state.changed.notify_all();
    }

    /// Whether shutdown was requested.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        *self.lock()
    }

    /// Waits until shutdown is requested.
    pub fn wait(&self) {
        let raised = self.lock();
        let waited = self.state.changed.wait_while(raised, |raised| !*raised);
        drop(waited);
    }

    /// Waits for at most `timeout_ms`; returns whether shutdown was requested.
    /// For threads with a periodic task.
    #[must_use]
    pub fn wait_for(&self, timeout_ms: u64) -> bool {
        let raised = self.lock();
        let timeout = Duration::from_millis(timeout_ms);
        let changed = &self.state.changed;
        let waited = changed.wait_timeout_while(raised, timeout, |raised| !*raised);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn lock(&self) -> MutexGuard<'_, bool> {
        let raised = self.state.raised.lock();
        raised.unwrap_or_else(PoisonError::into_inner)
    }
}
