//! Workers that restart and are cut off before the answer to their first start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::scheduler::Action;
use cornelpoint::worker::RegistryEntry;
use rand::RngExt;

use super::World;
use super::event::Event;
use super::event::no_answer;

#[derive(Debug, Default)]
pub(super) struct Cuts {
    /// Workers that have restarted and started nothing since, by number.
    restarted: BTreeSet<usize>,
    until_ms: BTreeMap<usize, u64>,
}

impl World {
    pub(super) fn cut_at_next_start(&mut self, worker: usize) {
        if let Some(cuts) = &mut self.cuts {
            cuts.restarted.insert(worker);
        }
    }

    /// Leaves the registry entries of workers that are cut off as they were.
    pub(super) fn keep_entries_of_cut_workers(&mut self, before: &[RegistryEntry]) {
        let Some(cuts) = &self.cuts else { return };
        for (worker, until_ms) in &cuts.until_ms {
            if *until_ms > self.now_ms
                && let Some(entry) = before.get(*worker)
            {
                self.listed[*worker] = entry.clone();
            }
        }
    }

    /// Sends an action to a worker that is cut off, or is from now on. Returns whether that
    /// is so.
    pub(super) fn send_into_cut(&mut self, owner: usize, worker: usize, action: &Action) -> bool {
        let now_ms = self.now_ms;
        let cut_ms = self.random.random_range(4000..9000);
        let Some(cuts) = &mut self.cuts else {
            return false;
        };
        let is_cut_off = cuts.until_ms.get(&worker).is_some_and(|end| *end > now_ms);
        let is_first_start =
            matches!(action, Action::Start { .. }) && cuts.restarted.remove(&worker);
        if !is_cut_off && !is_first_start {
            return false;
        }
        if !is_cut_off {
            cuts.until_ms.insert(worker, now_ms + cut_ms);
            self.carry_out(owner, action);
        }
        self.push(300, Event::Reply(owner, no_answer(action)));
        true
    }
}
