use std::collections::BTreeMap;
use std::collections::VecDeque;

use cornelpoint::name::InstanceId;
use cornelpoint::platform::InstanceList;
use cornelpoint::platform::ListedInstance;

/// A change that is not yet visible in the list.
#[derive(Debug)]
struct Pending {
    due_ms: u64,
    instance: ListedInstance,
}

/// The instance list as it was `lag_ms` ago.
#[derive(Debug, Default)]
pub(super) struct LaggingList {
    lag_ms: u64,
    shown: BTreeMap<InstanceId, ListedInstance>,
    pending: VecDeque<Pending>,
}

impl LaggingList {
    pub(super) fn new(lag_ms: u64, instances: &[ListedInstance]) -> Self {
        let shown = instances
            .iter()
            .map(|listed| (listed.instance.clone(), listed.clone()))
            .collect();
        Self {
            lag_ms,
            shown,
            pending: VecDeque::new(),
        }
    }

    pub(super) fn set(&mut self, instance: ListedInstance, now_ms: u64) {
        self.pending.push_back(Pending {
            due_ms: now_ms + self.lag_ms,
            instance,
        });
    }

    /// Makes the changes visible whose lag has elapsed.
    pub(super) fn advance(&mut self, now_ms: u64) {
        while self.pending.front().is_some_and(|p| p.due_ms <= now_ms) {
            if let Some(due) = self.pending.pop_front() {
                self.shown
                    .insert(due.instance.instance.clone(), due.instance);
            }
        }
    }

    pub(super) fn list(&self) -> InstanceList {
        InstanceList {
            instances: self.shown.values().cloned().collect(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.shown.len()
    }
}
