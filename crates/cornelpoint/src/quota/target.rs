/// Part of a limit that the pools hold at rest, one in this many.
const REST_PARTS: u64 = 2;
/// Part of a limit that the pools keep at least between them while others want more, one
/// in this many: a pool's first task starts without a write.
const KEPT_PARTS: u64 = 16;
/// Part of the demand that is allotted beyond it, one in this many. Less takes more
/// writes while demand grows, more keeps from other pools what isn't used.
const HEADROOM_PARTS: u64 = 4;
/// Difference to the target from which an idle allotment is reduced, in parts of the limit:
/// smaller steps would take more writes than they are worth.
const STEP_PARTS: u64 = 32;

/// One resource of one tenant, as a pool sees it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact about other pools that is independent of the rest"
)]
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    pub(super) limit: u64,
    pub(super) allotted: u64,
    pub(super) others_allotted: u64,
    /// What is used or may be.
    pub(super) held: u64,
    /// What is used or needed.
    pub(super) demand: u64,
    pub(super) pools: u64,
    pub(super) others_want: bool,
    /// Whether a pool wants more that has less than its share at rest.
    pub(super) others_lack_share: bool,
    /// Need of a step that waits for the limit; 0 if none does.
    pub(super) blocked: u64,
    /// Whether a pool claims all that others don't use.
    pub(super) others_claim: bool,
    /// Whether a pool does that goes before this one.
    pub(super) earlier_claims: bool,
    /// Whether the allotment has exceeded the demand for the hold time.
    pub(super) idle: bool,
}

/// What a pool should have in its entry for one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) allotted: u64,
    /// What the pool lacks. The whole limit claims all that others don't use.
    pub(super) wanted: u64,
    /// Whether the allotment exceeds what a pool keeps without demand.
    pub(super) exceeds: bool,
}

impl Situation {
    /// Returns a pool's share of the limit at rest.
    pub(super) fn rest_share(limit: u64, pools: u64) -> u64 {
        limit / (REST_PARTS * pools.max(1))
    }

    /// Decides what the pool should hold. A raise never makes the sum exceed the limit, and
    /// a reduction never takes what is held.
    pub(super) fn target(self) -> Target {
        let allotted = self.allotted;
        if allotted.saturating_add(self.others_allotted) > self.limit {
            return Target {
                allotted: allotted.min(self.held),
                wanted: 0,
                exceeds: false,
            };
        }
        let most = self.limit - self.others_allotted;
        let rest = Self::rest_share(self.limit, self.pools);
        // What runs makes room when it ends; pools that run nothing may wait for each other.
        let is_stuck = self.held == 0 && self.blocked > rest;
        if is_stuck && self.blocked > allotted && self.earlier_claims {
            return Target {
                allotted: 0,
                wanted: 0,
                exceeds: false,
            };
        }
        let kept = if self.others_claim {
            0
        } else {
            self.limit / (KEPT_PARTS * self.pools.max(1))
        };
        let generous = self.demand + self.demand / HEADROOM_PARTS;
        let resting = generous.max(rest);
        let exceeds = allotted > resting + self.limit / STEP_PARTS;
        let next = if self.demand > allotted {
            let cap = if self.others_lack_share {
                rest.max(allotted)
            } else {
                most
            };
            allotted.max(generous.min(cap).min(most))
        } else if self.others_lack_share {
            allotted.min(self.held.max(rest))
        } else if self.others_want {
            allotted.min(self.demand.max(kept))
        } else if exceeds && self.idle {
            resting + (allotted - resting) / 2
        } else if allotted + rest / 4 < rest.min(most) {
            rest.min(most)
        } else {
            allotted
        };
        let next = if self.others_lack_share && next > rest {
            next.min(self.held.max(rest))
        } else {
            next
        };
        let wanted = if is_stuck && self.blocked > next {
            self.limit
        } else {
            self.demand.saturating_sub(next).min(self.limit - 1)
        };
        Target {
            allotted: next,
            wanted,
            exceeds,
        }
    }
}
