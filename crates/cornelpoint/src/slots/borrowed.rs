//! The endpoints that a gateway may use, with its limits and uses.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::borrower_dump::BorrowedEndpoint;
use super::slot_reply::LentSlots;
use super::slot_request::HeldSlots;

/// Limit and uses at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Borrowed {
    /// Most requests to run there at once.
    pub(super) limit: u32,
    /// Requests that run there.
    pub(super) in_use: u32,
    /// The endpoint's epoch as the holder told it.
    pub(super) epoch: u64,
}

impl Borrowed {
    /// Slots in which a request may be started.
    pub(super) fn free(self) -> u32 {
        self.limit.saturating_sub(self.in_use)
    }

    /// Slots in which a request runs or may be started.
    pub(super) fn held(self) -> u32 {
        self.limit.max(self.in_use)
    }
}

/// Limits and uses at all endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowedSlots {
    endpoints: BTreeMap<InstanceId, Borrowed>,
}

impl BorrowedSlots {
    /// Sets the limits; an endpoint that is not named gets none.
    pub(super) fn set_limits(&mut self, lent: &[LentSlots]) {
        self.clear_limits();
        for slots in lent {
            let borrowed = self.endpoints.entry(slots.endpoint.clone()).or_default();
            borrowed.limit = slots.count;
            borrowed.epoch = slots.epoch;
        }
        self.endpoints.retain(|_, borrowed| borrowed.held() > 0);
    }

    /// Sets all limits to zero.
    pub(super) fn clear_limits(&mut self) {
        for borrowed in self.endpoints.values_mut() {
            borrowed.limit = 0;
        }
    }

    /// Sets one endpoint's limit to zero.
    pub(super) fn clear_limit(&mut self, endpoint: &InstanceId) {
        if let Some(borrowed) = self.endpoints.get_mut(endpoint) {
            borrowed.limit = 0;
        }
    }

    /// Sets the limits of the endpoints chosen by name and epoch to zero.
    pub(super) fn clear_limits_where(&mut self, chosen: impl Fn(&InstanceId, u64) -> bool) {
        for (endpoint, borrowed) in &mut self.endpoints {
            if chosen(endpoint, borrowed.epoch) {
                borrowed.limit = 0;
            }
        }
    }

    /// Gives up unused slots, from the endpoint with the most first.
    pub(super) fn give_up(&mut self, count: u32) {
        for _ in 0..count {
            let most = self.endpoints.values_mut().max_by_key(|b| b.free());
            match most {
                Some(borrowed) if borrowed.free() > 0 => borrowed.limit -= 1,
                _ => return,
            }
        }
    }

    /// Notes a request started at an endpoint.
    pub(super) fn start(&mut self, endpoint: &InstanceId) {
        if let Some(borrowed) = self.endpoints.get_mut(endpoint) {
            borrowed.in_use += 1;
        }
    }

    /// Notes the end of a request at an endpoint.
    pub(super) fn end(&mut self, endpoint: &InstanceId) {
        if let Some(borrowed) = self.endpoints.get_mut(endpoint) {
            borrowed.in_use = borrowed.in_use.saturating_sub(1);
        }
    }

    /// The endpoint with the most free slots among those allowed; equal ones
    /// take turns by `turn`.
    pub(super) fn best(
        &self,
        allowed: impl Fn(&InstanceId) -> bool,
        turn: u64,
    ) -> Option<&InstanceId> {
        let candidates: Vec<(&InstanceId, u32)> = self
            .endpoints
            .iter()
            .filter(|(_, borrowed)| borrowed.free() > 0)
            .filter(|(endpoint, _)| allowed(endpoint))
            .map(|(endpoint, borrowed)| (endpoint, borrowed.free()))
            .collect();
        let most = candidates.iter().map(|(_, free)| *free).max()?;
        let equal: Vec<&InstanceId> = candidates
            .iter()
            .filter(|(_, free)| *free == most)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        let index = usize::try_from(turn).unwrap_or(0) % equal.len();
        Some(equal[index])
    }

    pub(super) fn epoch(&self, endpoint: &InstanceId) -> u64 {
        self.endpoints.get(endpoint).map_or(0, |b| b.epoch)
    }

    /// Slots in which requests may be started.
    pub(super) fn free(&self) -> u32 {
        self.endpoints.values().map(|b| b.free()).sum()
    }

    /// Slots in which requests may be started, at the endpoints chosen.
    pub(super) fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.endpoints
            .iter()
            .filter(|(endpoint, _)| chosen(endpoint))
            .map(|(_, borrowed)| borrowed.free())
            .sum()
    }

    /// Requests that run.
    pub(super) fn in_use(&self) -> u32 {
        self.endpoints.values().map(|b| b.in_use).sum()
    }

    /// Slots in which requests run or may be started.
    pub(super) fn held(&self) -> u32 {
        self.endpoints.values().map(|b| b.held()).sum()
    }

    /// The limits and uses, for operators.
    pub(super) fn dump(&self) -> Vec<BorrowedEndpoint> {
        self.endpoints
            .iter()
            .map(|(endpoint, borrowed)| BorrowedEndpoint {
                endpoint: endpoint.clone(),
                limit: borrowed.limit,
                in_use: borrowed.in_use,
            })
            .collect()
    }

    /// The slots in which requests run or may be started, for the holder.
    pub(super) fn report(&self) -> Vec<HeldSlots> {
        self.endpoints
            .iter()
            .filter(|(_, borrowed)| borrowed.held() > 0)
            .map(|(endpoint, borrowed)| HeldSlots {
                endpoint: endpoint.clone(),
                count: borrowed.held(),
                in_use: borrowed.in_use,
            })
            .collect()
    }
}
