use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Records what happened on one connection; shared by the transport and the
/// client.
#[derive(Debug, Default)]
pub(super) struct ConnectionWatch {
    open: AtomicBool,
    sent: AtomicBool,
    ended: AtomicBool,
    surplus: AtomicBool,
}

impl ConnectionWatch {
    /// Resets what was recorded for an earlier request.
    pub(super) fn start_request(&self) {
        self.sent.store(false, Ordering::SeqCst);
        self.ended.store(false, Ordering::SeqCst);
        self.surplus.store(false, Ordering::SeqCst);
    }

    /// Records that the connection was established. Surplus bytes on a previous
    /// connection no longer count.
    pub(super) fn record_open(&self) {
        self.surplus.store(false, Ordering::SeqCst);
        self.open.store(true, Ordering::SeqCst);
    }

    /// Records that the client closed the connection.
    pub(super) fn record_closed(&self) {
        self.open.store(false, Ordering::SeqCst);
    }

    /// Records that bytes of the request are about to be sent.
    pub(super) fn record_sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    /// Records that the endpoint closed the connection, or that it broke.
    pub(super) fn record_ended(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Records that bytes arrived after the end of the answer.
    pub(super) fn record_surplus(&self) {
        self.surplus.store(true, Ordering::SeqCst);
    }

    /// Whether bytes arrived after the end of the answer, so that its stated
    /// length can't be trusted.
    pub(super) fn has_surplus(&self) -> bool {
        self.surplus.load(Ordering::SeqCst)
    }

    /// Whether the connection can take another request.
    pub(super) fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
    }

    /// Whether a byte of the request may have been sent.
    pub(super) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Whether the connection ended before the answer was complete according to
    /// its own length or chunks.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}
