use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::fleet_manager::Emptying;
use super::fleet_manager::FleetAction;
use super::fleet_manager::FleetManager;
use super::fleet_manager::MachineEntry;
use super::machine::MachineState;

/// An operator's order to maintain machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveOrder {
    /// Number.
    pub number: u64,
    /// Machines to maintain.
    pub machines: BTreeSet<String>,
    /// Time for all of them.
    pub duration_ms: u64,
    /// Machines that may be down for it at the same time.
    pub most_at_once: usize,
}

/// How far a wave is.
#[derive(Clone, Debug)]
pub(super) struct WaveProgress {
    pub(super) order: WaveOrder,
    pub(super) begun: BTreeSet<String>,
    pub(super) ordered_ms: u64,
    pub(super) completed: bool,
    pub(super) published: bool,
}

/// Time that a machine of a busy pool is given to become empty, from which the
/// time is reckoned when busy pools can wait no longer.
const EMPTYING_MS: u64 = 3000;
/// Share of a wave's time that is planned with, in percent.
const PLANNED_PERCENT: u64 = 60;
/// Wait of a pool from which it counts as busy.
const BUSY_WAIT_MS: u64 = 400;

impl FleetManager {
    /// Chooses machines of each wave to be emptied next: those that are off,
    /// then those of calm pools, then of busy pools once time runs short.
    pub(super) fn advance_waves(&mut self, now_ms: u64) {
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now_ms);
        }
    }

    fn advance_wave(&mut self, number: u64, now_ms: u64) {
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        if wave.completed {
            return;
        }
        let left = wave.order.machines.iter().filter(|machine| {
            !wave.begun.contains(*machine) && self.machines.contains_key(*machine)
        });
        let left: Vec<String> = left.cloned().collect();
        if left.is_empty() && !self.machines.is_empty() {
            let wave = self.waves.get_mut(&number);
            if let Some(wave) = wave {
                wave.completed = true;
                wave.published = false;
            }
            return;
        }
        let most = wave.order.most_at_once;
        let short_of_time = {
            let planned_ms = wave.order.duration_ms * PLANNED_PERCENT / 100;
            let ends_ms = wave.ordered_ms + planned_ms;
            let rounds = left.len().div_ceil(most.max(1)) as u64;
            now_ms + rounds * (EMPTYING_MS + self.settings.maintenance_ms) >= ends_ms
        };
        let emptying = self.machines.values().filter(|entry| {
            entry.order.is_none() && entry.emptying == Some(Emptying::Wave(number))
        });
        let mut room = most.saturating_sub(self.down_for(number) + emptying.count());
        let mut candidates: Vec<(u64, String)> = left
            .into_iter()
            .filter_map(|name| {
                let entry = self.machines.get(&name)?;
                let free = entry.emptying.is_none()
                    && entry.order.is_none()
                    && entry.machine.state == MachineState::Up;
                free.then(|| (self.cost(entry), name))
            })
            .collect();
        candidates.sort_unstable();
        let mut places: BTreeMap<String, u32> = BTreeMap::new();
        for (cost_ms, name) in candidates {
            if room == 0 || (cost_ms >= BUSY_WAIT_MS && !short_of_time) {
                break;
            }
            let Some(pool) = self
                .machines
                .get(&name)
                .map(|entry| entry.machine.pool.clone())
            else {
                continue;
            };
            let spare_places = self.spare_places(&pool);
            let left = places.entry(pool).or_insert(spare_places);
            if *left == 0 {
                continue;
            }
            *left -= 1;
            if let Some(entry) = self.machines.get_mut(&name) {
                entry.emptying = Some(Emptying::Wave(number));
                room -= 1;
            }
        }
    }

    /// Whether machines of a pool are still to be maintained.
    pub(super) fn has_due_machines(&self, pool: &str) -> bool {
        let open = self.waves.values().filter(|wave| !wave.completed);
        let mut due = open.flat_map(|wave| wave.order.machines.difference(&wave.begun));
        due.any(|name| {
            let entry = self.machines.get(name);
            entry.is_some_and(|entry| entry.machine.pool == pool)
        })
    }

    /// Machines that a pool may empty for maintenance beside those it does.
    fn spare_places(&self, pool: &str) -> u32 {
        if self.spare_pool.as_deref() == Some(pool) {
            return u32::MAX;
        }
        let Some(entry) = self.reports.get(pool) else {
            return 1;
        };
        (entry.report.workers + 1).saturating_sub(entry.report.least_workers)
    }

    /// How much a machine is missed: nothing when it is off, else the wait of
    /// its pool.
    fn cost(&self, entry: &MachineEntry) -> u64 {
        if self.spare_pool.as_deref() == Some(&entry.machine.pool) {
            return 0;
        }
        let Some(pool) = self.reports.get(&entry.machine.pool) else {
            return 1;
        };
        let cheap = entry
            .machine
            .worker
            .as_ref()
            .is_some_and(|worker| pool.report.cheapest.contains(worker));
        2 - u64::from(cheap) + pool.report.wait_ms()
    }

    /// Keeps and publishes what has changed.
    pub(super) fn publish_waves(&mut self) {
        for (&number, wave) in &mut self.waves {
            if !wave.published {
                wave.published = true;
                self.actions.push(FleetAction::Progress {
                    wave: number,
                    begun: wave.begun.clone(),
                    completed: wave.completed,
                });
            }
        }
    }
}
