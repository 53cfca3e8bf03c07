//! One endpoint as its holder knows it.

use super::holder_endpoint::HolderEndpoint;

/// Time for which an endpoint that left is remembered, in milliseconds.
pub(super) const LEFT_KEPT_MS: u64 = 600_000;

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointUse {
    epoch: u64,
    slots: u32,
    left_ms: Option<u64>,
    most_adopted: u32,
}

impl EndpointUse {
    pub(super) fn new(endpoint: &HolderEndpoint) -> Self {
        Self {
            epoch: endpoint.epoch,
            slots: endpoint.slots,
            left_ms: None,
            most_adopted: 0,
        }
    }

    /// Takes in news, unless it is out of date.
    pub(super) fn update(&mut self, news: &HolderEndpoint, now_ms: u64) {
        if news.epoch < self.epoch {
            return;
        }
        if news.epoch > self.epoch {
            self.left_ms = None;
        }
        if !news.accepts_work {
            self.leave(now_ms);
        }
        self.epoch = news.epoch;
        self.slots = news.slots;
    }

    /// Ends new work at this epoch.
    pub(super) fn leave(&mut self, now_ms: u64) {
        self.left_ms.get_or_insert(now_ms);
    }

    /// Notes how many slots gateways were seen to have at once.
    pub(super) fn note_adopted(&mut self, lent: u32) {
        self.most_adopted = self.most_adopted.max(lent);
    }

    /// Slots that may be lent in all.
    pub(super) fn lendable(&self, adopting: bool) -> u32 {
        match (self.accepts_work(), adopting) {
            (false, _) => 0,
            (true, true) => self.most_adopted.min(self.slots),
            (true, false) => self.slots,
        }
    }

    /// Whether it left so long ago that it can be forgotten.
    pub(super) fn is_old(&self, now_ms: u64) -> bool {
        self.left_ms
            .is_some_and(|left_ms| left_ms + LEFT_KEPT_MS <= now_ms)
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn left_ms(&self) -> Option<u64> {
        self.left_ms
    }

    pub(super) fn accepts_work(&self) -> bool {
        self.left_ms.is_none()
    }
}
