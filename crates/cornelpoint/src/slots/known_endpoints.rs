//! What a gateway has heard of endpoints from elsewhere than the holder.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::endpoint_use::LEFT_KEPT_MS;
use super::holder_endpoint::HolderEndpoint;
use super::slot_reply::LentSlots;

/// When and at which epoch an endpoint left.
#[derive(Clone, Copy, Debug)]
struct Left {
    epoch: u64,
    heard_ms: u64,
}

/// The endpoints of the gateway's own view, and those that leave.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownEndpoints {
    view: BTreeMap<InstanceId, u64>,
    left: BTreeMap<InstanceId, Left>,
}

impl KnownEndpoints {
    /// Sets the view.
    pub(super) fn set_view(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.view.clear();
        for endpoint in endpoints {
            if endpoint.accepts_work {
                self.view.insert(endpoint.instance.clone(), endpoint.epoch);
            } else {
                self.leave(&endpoint.instance, endpoint.epoch, now_ms);
            }
        }
    }

    /// Notes that an endpoint leaves at an epoch.
    pub(super) fn leave(&mut self, endpoint: &InstanceId, epoch: u64, now_ms: u64) {
        let epoch = match self.left.get(endpoint) {
            Some(left) => left.epoch.max(epoch),
            None => epoch,
        };
        let left = Left {
            epoch,
            heard_ms: now_ms,
        };
        self.left.insert(endpoint.clone(), left);
        self.left
            .retain(|_, left| left.heard_ms + LEFT_KEPT_MS > now_ms);
    }

    /// Whether an endpoint takes new work at an epoch.
    pub(super) fn accepts_work(&self, endpoint: &InstanceId, epoch: u64) -> bool {
        self.left
            .get(endpoint)
            .is_none_or(|left| left.epoch < epoch)
    }

    /// The endpoint's epoch in the view.
    pub(super) fn epoch(&self, endpoint: &InstanceId) -> u64 {
        self.view.get(endpoint).copied().unwrap_or(0)
    }

    /// The same number of slots at each endpoint of the view.
    pub(super) fn equal_slots(&self, count: u32) -> Vec<LentSlots> {
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
