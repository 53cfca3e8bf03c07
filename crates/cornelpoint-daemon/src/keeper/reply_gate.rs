use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Lets one thread at a time build a reply that may hold the whole state. Such a reply takes
/// several times its size until it is encoded, and nothing counts it before.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyGate {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    is_taken: Mutex<bool>,
    freed: Condvar,
}

/// Permission to build a reply, until it is dropped.
#[derive(Debug)]
pub(super) struct ReplyPermit<'a> {
    shared: &'a Shared,
}

impl ReplyGate {
    /// Waits for the permission; `None` after the timeout.
    pub(super) fn enter(&self, timeout: Duration) -> Option<ReplyPermit<'_>> {
        let waited =
            self.shared
                .freed
                .wait_timeout_while(self.shared.lock(), timeout, |is_taken| *is_taken);
        let (mut is_taken, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if *is_taken {
            return None;
        }
        *is_taken = true;
        drop(is_taken);
        let shared = &self.shared;
        Some(ReplyPermit { shared })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.is_taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ReplyPermit<'_> {
    fn drop(&mut self) {
        *self.shared.lock() = false;
        self.shared.freed.notify_one();
    }
}
