//! A holder's state of one endpoint.

use super::holder_endpoint::HolderEndpoint;

/// Time for which a leaving endpoint is remembered, in milliseconds.
pub(super) const LEAVING_RETENTION_MS: u64 = 600_000;

/// Epoch, slots and drain state of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    epoch: u64,
    slots: u32,
    leaving_since_ms: Option<u64>,
    peak_adopted: u32,
}

impl EndpointState {
    pub(super) fn new(endpoint: &HolderEndpoint) -> Self {
        Self {
            epoch: endpoint.epoch,
            slots: endpoint.slots,
            leaving_since_ms: None,
            peak_adopted: 0,
        }
    }

    /// Applies an update, unless its epoch is outdated.
    pub(super) fn update(&mut self, reported: &HolderEndpoint, now_ms: u64) {
        if reported.epoch < self.epoch {
            return;
        }
        if reported.epoch > self.epoch {
            self.leaving_since_ms = None;
        }
        if !reported.accepts_work {
            self.mark_leaving(now_ms);
        }
        self.epoch = reported.epoch;
        self.slots = reported.slots;
    }

    /// Stops new work at the current epoch.
    pub(super) fn mark_leaving(&mut self, now_ms: u64) {
        self.leaving_since_ms.get_or_insert(now_ms);
    }

    /// Records how many slots gateways hold at the same time.
    pub(super) fn record_adopted(&mut self, lent: u32) {
        self.peak_adopted = self.peak_adopted.max(lent);
    }

    /// Returns the maximum number of slots that may be lent in total.
    pub(super) fn lendable(&self, adopting: bool) -> u32 {
        match (self.accepts_work(), adopting) {
            (false, _) => 0,
            (true, true) => self.peak_adopted.min(self.slots),
            (true, false) => self.slots,
        }
    }

    /// Returns whether the endpoint has been leaving for long enough to be
    /// forgotten.
    pub(super) fn is_retention_over(&self, now_ms: u64) -> bool {
        self.leaving_since_ms
            .is_some_and(|leaving_since_ms| leaving_since_ms + LEAVING_RETENTION_MS <= now_ms)
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn leaving_since_ms(&self) -> Option<u64> {
        self.leaving_since_ms
    }

    pub(super) fn accepts_work(&self) -> bool {
        self.leaving_since_ms.is_none()
    }
}
