use std::collections::BTreeMap;

use crate::job::Resources;
use crate::job::StepId;

use super::action::IncarnationIndex;

/// Time for which a task that lasts waits before a worker is held for it. Short tasks
/// usually leave room for a small one before.
pub(super) const WAIT_MS: u64 = 500;
/// Interval at which workers are chosen to be held.
const CHOICE_INTERVAL_MS: u64 = 100;
/// Longest time for which a worker is held: its tasks take longer than expected, so that
/// another one may have room sooner.
const MAX_HOLD_MS: u64 = 10_000;
/// Share of a pool's workers that may be held at the same time, and their largest number.
/// What a held worker has free is idle.
const WORKERS_PER_HOLD: usize = 8;
const MAX_HOLDS: usize = 4;

/// Workers that get no tasks but those of a step that lasts, until one of these fits.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldWorkers {
    holds: BTreeMap<IncarnationIndex, Hold>,
    chosen_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    step: StepId,
    since_ms: u64,
}

/// A worker that could run one more task of a step once others have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomSoon {
    pub(super) incarnation: IncarnationIndex,
    /// When the task is expected to fit.
    pub(super) at_ms: u64,
}

impl HeldWorkers {
    pub(super) fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Whether a worker is held for another step.
    pub(super) fn keeps_out(&self, incarnation: IncarnationIndex, step: StepId) -> bool {
        let hold = self.holds.get(&incarnation);
        hold.is_some_and(|hold| hold.step != step)
    }

    /// Releases the workers that are no longer of use to their steps, or were held for too
    /// long, and returns them.
    pub(super) fn release(
        &mut self,
        now_ms: u64,
        is_useful: impl Fn(IncarnationIndex, StepId) -> bool,
    ) -> Vec<IncarnationIndex> {
        let mut released = Vec::new();
        self.holds.retain(|incarnation, hold| {
            let is_kept =
                now_ms < hold.since_ms + MAX_HOLD_MS && is_useful(*incarnation, hold.step);
            if !is_kept {
                released.push(*incarnation);
            }
            is_kept
        });
        released
    }

    /// Whether workers may be chosen now; not again for some time if so.
    pub(super) fn begin_choice(&mut self, now_ms: u64) -> bool {
        let is_due = self.chosen_ms + CHOICE_INTERVAL_MS <= now_ms;
        if is_due {
            self.chosen_ms = now_ms;
        }
        is_due
    }

    /// Holds the workers that will have room soonest, one for each task of the step that
    /// waits, as far as the pool's number of workers allows.
    pub(super) fn hold(
        &mut self,
        step: StepId,
        tasks: usize,
        mut rooms: Vec<RoomSoon>,
        workers: usize,
        now_ms: u64,
    ) {
        let most = (workers / WORKERS_PER_HOLD).clamp(1, MAX_HOLDS);
        let holds = self.holds.values();
        let missing = tasks.saturating_sub(holds.filter(|hold| hold.step == step).count());
        let free = most.saturating_sub(self.holds.len());
        rooms.retain(|room| !self.holds.contains_key(&room.incarnation));
        rooms.sort_by_key(|room| (room.at_ms, room.incarnation));
        for room in rooms.into_iter().take(missing.min(free)) {
            let hold = Hold {
                step,
                since_ms: now_ms,
            };
            self.holds.insert(room.incarnation, hold);
        }
    }
}

/// Returns when a need fits beside what is used, as runs end that use these resources, or
/// `None` if it never does.
pub(super) fn fits_at_ms(
    capacity: Resources,
    mut used: Resources,
    need: Resources,
    mut ends: Vec<(u64, Resources)>,
) -> Option<u64> {
    ends.sort_by_key(|(at_ms, _)| *at_ms);
    let mut fits_ms = 0;
    for (at_ms, freed) in ends {
        if capacity.fits(used, need) {
            break;
        }
        used = used.minus(freed);
        fits_ms = at_ms;
    }
    capacity.fits(used, need).then_some(fits_ms)
}
