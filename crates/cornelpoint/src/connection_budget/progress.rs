/// Time after which a body or an answer that makes no progress, or a connection without a
/// whole head, may be closed where room is short. The pieces of a body on an open path follow each
/// other within milliseconds; a lost packet is sent again within 200 ms to 400 ms.
pub(super) const STALL_MS: u64 = 500;

/// Progress of a body or of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    started_ms: u64,
    /// When the latest part passed.
    pub(super) latest_ms: u64,
    bytes: u64,
}

impl Progress {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            latest_ms: now_ms,
            bytes: 0,
        }
    }

    pub(super) fn is_young(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.started_ms) < STALL_MS
    }

    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.latest_ms) >= STALL_MS
    }

    pub(super) fn bytes_per_s(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms).max(1);
        self.bytes * 1000 / elapsed_ms
    }

    /// Records that so many bytes have passed.
    pub(super) fn record(&mut self, bytes: usize, now_ms: u64) {
        self.latest_ms = now_ms;
        self.bytes += bytes as u64;
    }
}
