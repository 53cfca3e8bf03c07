//! Limits and running requests of a gateway at each endpoint.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::borrower_dump::BorrowedEndpoint;
use super::slot_reply::LentSlots;
use super::slot_request::HeldSlots;

/// Limit and running requests at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointSlots {
    /// Maximum number of concurrent requests there.
    pub(super) limit: u32,
    /// Requests that are running there.
    pub(super) in_use: u32,
    /// The endpoint's epoch at which the slots were lent.
    pub(super) epoch: u64,
}

impl EndpointSlots {
    /// Returns the slots in which a request may be started.
    pub(super) fn free(self) -> u32 {
        self.limit.saturating_sub(self.in_use)
    }

    /// Returns the slots in which a request is running or may be started.
    pub(super) fn held(self) -> u32 {
        self.limit.max(self.in_use)
    }
}

/// Limits and running requests at all endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowedSlots {
    endpoints: BTreeMap<InstanceId, EndpointSlots>,
}

impl BorrowedSlots {
    /// Sets the limits. The limit of an endpoint that is not listed becomes
    /// zero.
    pub(super) fn set_limits(&mut self, lent: &[LentSlots]) {
        self.clear_limits();
        for lent_slots in lent {
            let slots = self
                .endpoints
                .entry(lent_slots.endpoint.clone())
                .or_default();
            slots.limit = lent_slots.count;
            slots.epoch = lent_slots.epoch;
        }
        self.endpoints.retain(|_, slots| slots.held() > 0);
    }

    /// Sets all limits to zero.
    pub(super) fn clear_limits(&mut self) {
        for slots in self.endpoints.values_mut() {
            slots.limit = 0;
        }
    }

    /// Sets one endpoint's limit to zero.
    pub(super) fn clear_limit(&mut self, endpoint: &InstanceId) {
        if let Some(slots) = self.endpoints.get_mut(endpoint) {
            slots.limit = 0;
        }
    }

    /// Sets the limits of the endpoints that `chosen` accepts to zero, given
    /// their name and epoch.
    pub(super) fn clear_limits_where(&mut self, chosen: impl Fn(&InstanceId, u64) -> bool) {
        for (endpoint, slots) in &mut self.endpoints {
            if chosen(endpoint, slots.epoch) {
                slots.limit = 0;
            }
        }
    }

    /// Lowers the limits by up to `count` unused slots, one at a time at the
    /// endpoint with the most free slots.
    pub(super) fn reduce_limits(&mut self, count: u32) {
        for _ in 0..count {
            let most = self.endpoints.values_mut().max_by_key(|slots| slots.free());
            match most {
                Some(slots) if slots.free() > 0 => slots.limit -= 1,
                _ => return,
            }
        }
    }

    /// Records the start of a request at an endpoint.
    pub(super) fn record_start(&mut self, endpoint: &InstanceId) {
        if let Some(slots) = self.endpoints.get_mut(endpoint) {
            slots.in_use += 1;
        }
    }

    /// Records the end of a request at an endpoint.
    pub(super) fn record_end(&mut self, endpoint: &InstanceId) {
        if let Some(slots) = self.endpoints.get_mut(endpoint) {
            slots.in_use = slots.in_use.saturating_sub(1);
        }
    }

    /// Returns the endpoint with the most free slots among those allowed.
    /// `rotation` selects among endpoints with equally many.
    pub(super) fn most_free(
        &self,
        allowed: impl Fn(&InstanceId) -> bool,
        rotation: u64,
    ) -> Option<&InstanceId> {
        let candidates: Vec<(&InstanceId, u32)> = self
            .endpoints
            .iter()
            .filter(|(_, slots)| slots.free() > 0)
            .filter(|(endpoint, _)| allowed(endpoint))
            .map(|(endpoint, slots)| (endpoint, slots.free()))
            .collect();
        let most = candidates.iter().map(|(_, free)| *free).max()?;
        let equal: Vec<&InstanceId> = candidates
            .iter()
            .filter(|(_, free)| *free == most)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        let index = usize::try_from(rotation).unwrap_or(0) % equal.len();
        Some(equal[index])
    }

    pub(super) fn epoch(&self, endpoint: &InstanceId) -> u64 {
        self.endpoints.get(endpoint).map_or(0, |slots| slots.epoch)
    }

    /// Returns the slots in which requests may be started.
    pub(super) fn free(&self) -> u32 {
        self.endpoints.values().map(|slots| slots.free()).sum()
    }

    /// Returns the free slots at the endpoints that `chosen` accepts.
    pub(super) fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.endpoints
            .iter()
            .filter(|(endpoint, _)| chosen(endpoint))
            .map(|(_, slots)| slots.free())
            .sum()
    }

    /// Returns the number of running requests.
    pub(super) fn in_use(&self) -> u32 {
        self.endpoints.values().map(|slots| slots.in_use).sum()
    }

    /// Returns the slots in which requests are running or may be started.
    pub(super) fn held(&self) -> u32 {
        self.endpoints.values().map(|slots| slots.held()).sum()
    }

    /// Returns the limits and running requests, for operators.
    pub(super) fn dump(&self) -> Vec<BorrowedEndpoint> {
        self.endpoints
            .iter()
            .map(|(endpoint, slots)| BorrowedEndpoint {
                endpoint: endpoint.clone(),
                limit: slots.limit,
                in_use: slots.in_use,
            })
            .collect()
    }

    /// Returns the held slots at each endpoint, for the holder.
    pub(super) fn report(&self) -> Vec<HeldSlots> {
        self.endpoints
            .iter()
            .filter(|(_, slots)| slots.held() > 0)
            .map(|(endpoint, slots)| HeldSlots {
                endpoint: endpoint.clone(),
                count: slots.held(),
                in_use: slots.in_use,
            })
            .collect()
    }
}
