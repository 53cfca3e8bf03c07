use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// What was seen at one connection; shared by the socket and the client.
#[derive(Debug, Default)]
pub(super) struct ConnectionWatch {
    open: AtomicBool,
    sent: AtomicBool,
    ended: AtomicBool,
    surplus: AtomicBool,
}

impl ConnectionWatch {
    /// Forgets what an earlier request did.
    pub(super) fn start_request(&self) {
        self.sent.store(false, Ordering::SeqCst);
        self.ended.store(false, Ordering::SeqCst);
        self.surplus.store(false, Ordering::SeqCst);
    }

    /// Notes that the connection was made; what came on one before it no
    /// longer counts.
    pub(super) fn note_open(&self) {
        self.surplus.store(false, Ordering::SeqCst);
        self.open.store(true, Ordering::SeqCst);
    }

    /// Notes that the connection was closed from here.
    pub(super) fn note_closed(&self) {
        self.open.store(false, Ordering::SeqCst);
    }

    /// Notes that bytes of the request are about to leave.
    pub(super) fn note_sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    /// Notes that the endpoint ended the connection, or that it broke.
    pub(super) fn note_ended(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Notes that bytes came behind the end of the answer.
    pub(super) fn note_surplus(&self) {
        self.surplus.store(true, Ordering::SeqCst);
    }

    /// Whether bytes came behind the end of the answer, so that its stated
    /// length can't be believed.
    pub(super) fn has_surplus(&self) -> bool {
        self.surplus.load(Ordering::SeqCst)
    }

    /// Whether the connection can take a further request.
    pub(super) fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
    }

    /// Whether a byte of the request can have left.
    pub(super) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Whether the connection ended before the answer was whole by its own
    /// length or chunks.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}
