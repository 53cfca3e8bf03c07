use crate::job::IndexSet;
use crate::job::Resources;
use crate::job::StepId;
use crate::quota::TenantIndex;

use super::worker_set::WorkerSet;

/// Tasks of a step that wait for workers.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub(super) tasks: IndexSet,
    /// Resources that one task takes.
    pub(super) need: Resources,
    /// Tenant of the step's job; `None` where limits of tenants aren't in force.
    pub(super) tenant: Option<TenantIndex>,
    /// Whether no worker could take a task at the last placement pass. Then only
    /// workers that have changed since can.
    pub(super) unplaceable: bool,
    /// Since when tasks of the step have been waiting.
    pub(super) since_ms: u64,
}

/// One pass over the steps that wait for workers.
pub(super) struct PlacementPass {
    /// Workers that may have room for steps that fitted none at the last pass.
    pub(super) changed_workers: WorkerSet,
    /// Needs that fit no worker, whatever the other conditions of a step are.
    pub(super) too_large: Vec<Resources>,
    /// Steps that need tickets and have none.
    pub(super) without_tickets: Vec<StepId>,
    /// Tenants whose limits have no room for a step, so that their later steps wait, too:
    /// small tasks would hold back large ones for as long as they come. With the need of
    /// the step.
    pub(super) held_tenants: Vec<(TenantIndex, Resources)>,
    /// Number of tasks that may be started for the first time.
    pub(super) free_records: usize,
    /// What runs of a predecessor may hold that aren't known.
    pub(super) unreported: Resources,
}

impl PlacementPass {
    /// Whether a need is at least as large as one that fits no worker.
    pub(super) fn is_too_large(&self, need: Resources) -> bool {
        let mut too_large = self.too_large.iter();
        too_large.any(|known| need.fits(Resources::default(), *known))
    }
}
