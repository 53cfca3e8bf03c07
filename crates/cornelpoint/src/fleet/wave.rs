use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::fleet_manager::FleetAction;
use super::fleet_manager::FleetManager;
use super::fleet_manager::MachineEntry;
use super::fleet_manager::VacateReason;
use super::machine::MachineState;

/// An operator's order to take a set of machines down for maintenance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveOrder {
    /// Number that identifies the wave.
    pub number: u64,
    /// Machines to maintain.
    pub machines: BTreeSet<String>,
    /// Time within which all of them are to be maintained.
    pub duration_ms: u64,
    /// Maximum number of the wave's machines that are down at the same time.
    pub most_at_once: usize,
}

/// Progress of a wave.
#[derive(Clone, Debug)]
pub(super) struct WaveProgress {
    pub(super) order: WaveOrder,
    pub(super) begun: BTreeSet<String>,
    pub(super) ordered_ms: u64,
    pub(super) completed: bool,
    pub(super) published: bool,
}

/// Time allowed for vacating a machine of a busy pool. It determines when
/// maintenance of busy pools can no longer be postponed.
const VACATE_TIME_MS: u64 = 3000;
/// Share of a wave's duration in which its maintenance is planned to finish, in
/// percent.
const PLANNED_PERCENT: u64 = 60;
/// A pool counts as busy if completing its backlog takes at least this long.
const BUSY_POOL_WAIT_MS: u64 = 400;

impl FleetManager {
    /// Chooses the machines of each wave to vacate next: first those of the
    /// spare pool, then those of pools that are not busy, and those of busy
    /// pools only when time runs short.
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
        let may_stay =
            wave.order.machines.iter().any(|machine| {
                !wave.begun.contains(machine) && self.missing_once.contains(machine)
            });
        if left.is_empty() && may_stay {
            return;
        }
        if left.is_empty() && !self.machines.is_empty() {
            let wave = self.waves.get_mut(&number);
            if let Some(wave) = wave {
                wave.completed = true;
                wave.published = false;
            }
            return;
        }
        let limit = wave.order.most_at_once;
        let short_of_time = {
            let planned_ms = wave.order.duration_ms * PLANNED_PERCENT / 100;
            let ends_ms = wave.ordered_ms + planned_ms;
            let rounds = left.len().div_ceil(limit.max(1)) as u64;
            now_ms + rounds * (VACATE_TIME_MS + self.settings.maintenance_ms) >= ends_ms
        };
        let vacating = self.machines.values().filter(|entry| {
            entry.order.is_none() && entry.vacating == Some(VacateReason::Wave(number))
        });
        let mut budget = limit.saturating_sub(self.down_for(number) + vacating.count());
        let mut candidates: Vec<(u64, String)> = left
            .into_iter()
            .filter_map(|name| {
                let entry = self.machines.get(&name)?;
                let free = entry.vacating.is_none()
                    && entry.order.is_none()
                    && entry.machine.state == MachineState::Up;
                free.then(|| (self.maintenance_cost_ms(entry), name))
            })
            .collect();
        candidates.sort_unstable();
        let mut allowances: BTreeMap<String, u32> = BTreeMap::new();
        for (cost_ms, name) in candidates {
            if budget == 0 || (cost_ms >= BUSY_POOL_WAIT_MS && !short_of_time) {
                break;
            }
            let Some(pool) = self
                .machines
                .get(&name)
                .map(|entry| entry.machine.pool.clone())
            else {
                continue;
            };
            let vacate_allowance = self.vacate_allowance(&pool);
            let left = allowances.entry(pool).or_insert(vacate_allowance);
            if *left == 0 {
                continue;
            }
            *left -= 1;
            if let Some(entry) = self.machines.get_mut(&name) {
                entry.vacating = Some(VacateReason::Wave(number));
                budget -= 1;
            }
        }
    }

    /// Whether a pool has machines whose maintenance has not begun.
    pub(super) fn has_due_machines(&self, pool: &str) -> bool {
        let open = self.waves.values().filter(|wave| !wave.completed);
        let mut due = open.flat_map(|wave| wave.order.machines.difference(&wave.begun));
        due.any(|name| {
            let entry = self.machines.get(name);
            entry.is_some_and(|entry| entry.machine.pool == pool)
        })
    }

    /// Returns the workers of the machines whose maintenance has not begun. Tasks that
    /// last should not start there, since they would have to move again.
    #[must_use]
    pub fn due_workers(&self) -> BTreeSet<String> {
        let open = self.waves.values().filter(|wave| !wave.completed);
        let due = open.flat_map(|wave| wave.order.machines.difference(&wave.begun));
        let workers = due.filter_map(|name| self.machines.get(name)?.machine.worker.clone());
        workers.collect()
    }

    /// Returns the number of machines that a pool may start to vacate for
    /// maintenance.
    fn vacate_allowance(&self, pool: &str) -> u32 {
        if self.spare_pool.as_deref() == Some(pool) {
            return u32::MAX;
        }
        let Some(entry) = self.reports.get(pool) else {
            return 1;
        };
        (entry.report.workers + 1).saturating_sub(entry.report.least_workers)
    }

    /// Returns the cost of taking a machine down: 0 in the spare pool, otherwise
    /// the time to complete its pool's backlog, slightly less for the pool's
    /// cheapest workers.
    fn maintenance_cost_ms(&self, entry: &MachineEntry) -> u64 {
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

    /// Emits an action for each wave whose progress has changed.
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
