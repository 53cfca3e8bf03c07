//! Endpoint state that a gateway tracks independently of its limits.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::endpoint_state::LEAVING_RETENTION_MS;
use super::holder_endpoint::HolderEndpoint;
use super::slot_reply::LentSlots;

/// When the gateway last learned that an endpoint leaves, and the highest epoch
/// reported.
#[derive(Clone, Copy, Debug)]
struct LeavingRecord {
    epoch: u64,
    received_ms: u64,
}

/// Endpoints in the gateway's view, and endpoints that leave.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownEndpoints {
    view: BTreeMap<InstanceId, u64>,
    leaving: BTreeMap<InstanceId, LeavingRecord>,
}

impl KnownEndpoints {
    /// Replaces the view by the endpoints that accept work, and marks the others
    /// as leaving.
    pub(super) fn set_view(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.view.clear();
        for endpoint in endpoints {
            if endpoint.accepts_work {
                self.view.insert(endpoint.instance.clone(), endpoint.epoch);
            } else {
                self.mark_leaving(&endpoint.instance, endpoint.epoch, now_ms);
            }
        }
    }

    /// Marks an endpoint as leaving at an epoch.
    pub(super) fn mark_leaving(&mut self, endpoint: &InstanceId, epoch: u64, now_ms: u64) {
        let epoch = match self.leaving.get(endpoint) {
            Some(leaving) => leaving.epoch.max(epoch),
            None => epoch,
        };
        let leaving = LeavingRecord {
            epoch,
            received_ms: now_ms,
        };
        self.leaving.insert(endpoint.clone(), leaving);
        self.leaving
            .retain(|_, leaving| leaving.received_ms + LEAVING_RETENTION_MS > now_ms);
    }

    /// Returns whether an endpoint accepts new work at an epoch.
    pub(super) fn accepts_work(&self, endpoint: &InstanceId, epoch: u64) -> bool {
        self.leaving
            .get(endpoint)
            .is_none_or(|leaving| leaving.epoch < epoch)
    }

    /// Returns the endpoint's epoch in the view, or zero if it is not there.
    pub(super) fn epoch(&self, endpoint: &InstanceId) -> u64 {
        self.view.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns `count` slots at each endpoint in the view that accepts work.
    pub(super) fn uniform_slots(&self, count: u32) -> Vec<LentSlots> {
        self.view
            .iter()
            .filter(|(endpoint, epoch)| self.accepts_work(endpoint, **epoch))
            .map(|(endpoint, epoch)| LentSlots {
                endpoint: endpoint.clone(),
                epoch: *epoch,
                count,
            })
            .collect()
    }
}
