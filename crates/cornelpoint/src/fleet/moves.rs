use std::collections::BTreeMap;

use super::fleet_manager::Emptying;
use super::fleet_manager::FleetManager;
use super::fleet_manager::MachineEntry;
use super::fleet_manager::Order;
use super::machine::MachineState;
use super::pool_report::PoolReport;
use super::shares::Ask;
use super::shares::shares;

/// Free machines that a pool keeps while it lends: others take three seconds
/// to come.
const KEPT_FREE: usize = 3;
/// Time in which work of jobs that are late anyway is to be done.
const LATE_WITHIN_MS: u64 = 4000;
/// Machines above its share that a pool keeps: a machine on its way serves
/// nobody for two seconds and more.
const KEPT_ABOVE_SHARE: u64 = 1;
/// Difference in idle machines between two pools that is not worth a move.
const BALANCED_GAP: u64 = 4;
/// The same as a share of what the poorer one has.
const BALANCED_SHARE: u64 = 2;
/// How long a machine that is down counts as coming back, as all do that start.
const COMES_BACK_MS: u64 = 6000;

impl PoolReport {
    /// Time in which the accepted work is done at full use.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        let free = self
            .capacity_millicores
            .saturating_sub(self.lasting_millicores);
        self.backlog_core_ms * 1000 / free.max(1)
    }

    /// Processor with which the backlog, and what was turned away, is done in
    /// a time; at least what keeps up with what comes in.
    fn wanted_millicores(&self, within_ms: u64) -> u64 {
        let work = self.backlog_core_ms + self.refused_core_ms;
        let late = self.late_core_ms * 1000 / LATE_WITHIN_MS;
        let waiting = work * 1000 / within_ms.max(1);
        self.lasting_millicores + late + waiting.max(self.offered_millicores)
    }
}

impl FleetManager {
    /// Moves machines to pools whose work waits: from the spare pool, then
    /// from pools that have more than they need; and to the spare pool what
    /// nobody has needed for long.
    ///
    /// Queues rise and fall by turns, to several times their mean for some
    /// seconds. A machine that serves a surge is worth many times what an idle
    /// one costs, so machines follow the surge at once, and rest late.
    pub(super) fn plan_moves(&mut self, now_ms: u64) {
        let Some(spare) = self.spare_pool.clone() else {
            return;
        };
        let machine_millicores = self.machine_millicores();
        if machine_millicores == 0 {
            return;
        }
        let shares = self.shares(&spare, machine_millicores, now_ms);
        self.note_calm(&shares, machine_millicores, now_ms);
        let mut needs: Vec<(u64, String)> = self
            .reports
            .iter()
            .filter(|(pool, _)| **pool != spare)
            .filter_map(|(pool, entry)| {
                let fresh = entry.heard_ms + self.settings.report_age_ms >= now_ms;
                let mut need = self.machines_needed(pool, &entry.report, machine_millicores);
                if let Some(share) = shares.get(pool) {
                    let have = entry.report.capacity_millicores / machine_millicores;
                    need = need.min(share.saturating_sub(have + self.coming(pool)));
                }
                (fresh && need > 0).then(|| (need, pool.clone()))
            })
            .collect();
        needs.sort_unstable_by(|left, right| right.cmp(left));
        for (need, pool) in &needs {
            let left = need - self.bring_spare(pool, *need, &spare, now_ms);
            self.borrow(pool, left, &shares, machine_millicores, now_ms);
        }
        if needs.is_empty() {
            self.balance(machine_millicores, now_ms);
            self.rest_idle(&spare, machine_millicores, now_ms);
        }
    }

    /// Each pool's share of the machines while there are too few for all.
    fn shares(&self, spare: &str, machine_millicores: u64, now_ms: u64) -> BTreeMap<String, u64> {
        let age_ms = self.settings.report_age_ms;
        let fresh = self
            .reports
            .iter()
            .filter(|(pool, entry)| pool.as_str() != spare && entry.heard_ms + age_ms >= now_ms);
        let asks: Vec<(&String, Ask)> = fresh
            .map(|(pool, entry)| {
                let report = &entry.report;
                let lasting = report.lasting_millicores.div_ceil(machine_millicores);
                let wanted = report.wanted_millicores(self.settings.drain_target_ms);
                let ask = Ask {
                    floor: lasting.max(u64::from(report.least_workers)),
                    wanted: wanted.div_ceil(machine_millicores),
                };
                (pool, ask)
            })
            .collect();
        let machines = self
            .machines
            .values()
            .filter(|entry| matches!(entry.machine.state, MachineState::Up | MachineState::Moving));
        let wanted: Vec<Ask> = asks.iter().map(|(_, ask)| *ask).collect();
        let shares = shares(&wanted, machines.count() as u64);
        let named = asks.iter().zip(shares.unwrap_or_default());
        named
            .map(|((pool, _), share)| ((*pool).clone(), share))
            .collect()
    }

    fn machine_millicores(&self) -> u64 {
        let machines = self.machines.values();
        let millicores = machines.map(|entry| entry.machine.capacity.cpu_millicores);
        millicores.max().unwrap_or(0)
    }

    /// Machines that a pool lacks beyond those on their way to it.
    fn machines_needed(&self, pool: &str, report: &PoolReport, machine_millicores: u64) -> u64 {
        let wanted = report.wanted_millicores(self.settings.drain_target_ms);
        let lacking = wanted.saturating_sub(report.capacity_millicores);
        let for_load = (lacking + machine_millicores / 2) / machine_millicores;
        // A pool with machines to maintain needs one more to move tasks to.
        let due = u32::from(self.has_due_machines(pool));
        let places = report.least_workers + due;
        let for_places = u64::from(places.saturating_sub(report.workers));
        for_load.max(for_places).saturating_sub(self.coming(pool))
    }

    /// Sends spare machines to a pool; tells how many.
    fn bring_spare(&mut self, pool: &str, need: u64, spare: &str, now_ms: u64) -> u64 {
        let need = usize::try_from(need).unwrap_or(usize::MAX);
        let idle = self
            .machines
            .iter()
            .filter(|(_, entry)| entry.machine.pool == spare && is_free(entry));
        let chosen: Vec<String> = idle.take(need).map(|(name, _)| name.clone()).collect();
        for name in &chosen {
            let pool = pool.to_owned();
            self.order(name, Order::Move { pool }, now_ms);
        }
        chosen.len() as u64
    }

    /// Lets pools with more than they need empty machines for another one.
    fn borrow(
        &mut self,
        to: &str,
        need: u64,
        shares: &BTreeMap<String, u64>,
        machine_millicores: u64,
        now_ms: u64,
    ) {
        let mut need = usize::try_from(need).unwrap_or(usize::MAX);
        let mut lenders: Vec<(usize, String)> = self
            .reports
            .iter()
            .filter(|(pool, entry)| {
                *pool != to && entry.heard_ms + self.settings.report_age_ms >= now_ms
            })
            .map(|(pool, _)| {
                let surplus = match shares.get(pool) {
                    Some(&share) => self.above_share(pool, share, machine_millicores),
                    None => self.surplus(pool, machine_millicores),
                };
                (surplus, pool.clone())
            })
            .collect();
        lenders.sort_unstable_by(|left, right| right.cmp(left));
        for (surplus, lender) in lenders {
            need -= self.empty(&lender, to, surplus.min(need));
        }
    }

    /// Lets the pool with the most idle machines lend to the one with the
    /// fewest: nobody knows whose surge comes next, and a machine that is there
    /// when it begins serves it three seconds longer.
    fn balance(&mut self, machine_millicores: u64, now_ms: u64) {
        let age_ms = self.settings.report_age_ms;
        let fresh = self
            .reports
            .iter()
            .filter(|(_, entry)| entry.heard_ms + age_ms >= now_ms);
        // Machines are counted by the listing: those that have just come are
        // not usable yet, and would be sent for twice.
        let mut idle: Vec<(u64, String)> = fresh
            .map(|(pool, entry)| {
                let wanted = entry
                    .report
                    .wanted_millicores(self.settings.drain_target_ms);
                let wanted = wanted.div_ceil(machine_millicores);
                let have = self.machines_of(pool, now_ms);
                (have.saturating_sub(wanted), pool.clone())
            })
            .collect();
        idle.sort_unstable();
        let (Some((fewest, poorest)), Some((most, richest))) = (idle.first(), idle.last()) else {
            return;
        };
        let gap = most - fewest;
        if gap < BALANCED_GAP.max(fewest / BALANCED_SHARE) {
            return;
        }
        let count = usize::try_from(gap / 2).unwrap_or(usize::MAX);
        let count = count.min(self.surplus(richest, machine_millicores));
        self.empty(richest, poorest, count);
    }

    /// Machines on their way to a pool.
    fn coming(&self, pool: &str) -> u64 {
        let coming = self.machines.values().filter(|entry| match &entry.order {
            Some(Order::Move { pool: to }) => to == pool,
            _ => matches!(&entry.emptying, Some(Emptying::Move { pool: to }) if to == pool),
        });
        coming.count() as u64
    }

    /// Machines that serve a pool, or will before long.
    fn machines_of(&self, pool: &str, now_ms: u64) -> u64 {
        let machines = self.machines.values().filter(|entry| {
            let to = match (&entry.order, &entry.emptying) {
                (Some(Order::Move { pool }), _) | (_, Some(Emptying::Move { pool })) => pool,
                _ => &entry.machine.pool,
            };
            let lost = entry
                .down_since_ms
                .is_some_and(|since_ms| since_ms + COMES_BACK_MS <= now_ms);
            to == pool && !lost
        });
        machines.count() as u64
    }

    /// Machines that a pool has beyond its share and does not give up already.
    fn above_share(&self, pool: &str, share: u64, machine_millicores: u64) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let report = &entry.report;
        let have = report.capacity_millicores / machine_millicores;
        let above = have.saturating_sub(share + KEPT_ABOVE_SHARE);
        let places = report.workers.saturating_sub(report.least_workers) as usize;
        usize::try_from(above).unwrap_or(usize::MAX).min(places)
    }

    /// Machines that a pool has beyond its work, its places and what it gives
    /// up already; one is kept for what comes next.
    fn surplus(&self, pool: &str, machine_millicores: u64) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let report = &entry.report;
        let wanted = report.wanted_millicores(self.settings.drain_target_ms);
        let free = report.capacity_millicores.saturating_sub(wanted) / machine_millicores;
        let free = usize::try_from(free).unwrap_or(usize::MAX);
        let places = report.workers.saturating_sub(report.least_workers) as usize;
        free.saturating_sub(KEPT_FREE).min(places)
    }

    /// Has a pool's cheapest machines emptied; tells how many.
    fn empty(&mut self, pool: &str, to: &str, count: usize) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let chosen: Vec<String> = entry.report.cheapest.iter().take(count).cloned().collect();
        let mut emptied = 0;
        for worker in chosen {
            let entry = self
                .machines
                .values_mut()
                .find(|entry| entry.machine.worker.as_ref() == Some(&worker) && is_free(entry));
            if let Some(entry) = entry {
                entry.emptying = Some(Emptying::Move {
                    pool: to.to_owned(),
                });
                emptied += 1;
            }
        }
        emptied
    }

    fn note_calm(&mut self, shares: &BTreeMap<String, u64>, machine_millicores: u64, now_ms: u64) {
        let within_ms = self.settings.drain_target_ms;
        let mut busy = Vec::new();
        let mut tight = Vec::new();
        for (pool, entry) in &mut self.reports {
            let wanted = entry.report.wanted_millicores(within_ms) + machine_millicores * 2;
            let calm = wanted <= entry.report.capacity_millicores;
            entry.calm_since_ms = match (calm, entry.calm_since_ms) {
                (false, _) => None,
                (true, None) => Some(now_ms),
                (true, since) => since,
            };
            let have = entry.report.capacity_millicores / machine_millicores;
            let has_share = shares.get(pool).is_some_and(|&share| have >= share);
            if !calm && !has_share {
                busy.push(pool.clone());
            }
            if entry.report.workers + 1 < entry.report.least_workers {
                tight.push(pool.clone());
            }
        }
        for pool in busy {
            self.keep_machines(&pool, false);
        }
        for pool in tight {
            self.keep_machines(&pool, true);
        }
    }

    /// Takes back what a pool was to give up: its work waits again, or a step
    /// of it no longer finds its places. The latter goes for maintenance, too.
    fn keep_machines(&mut self, pool: &str, also_maintained: bool) {
        for entry in self.machines.values_mut() {
            let giving = match entry.emptying {
                Some(Emptying::Move { .. }) => true,
                Some(Emptying::Wave(_)) => also_maintained,
                None => false,
            };
            if entry.machine.pool == pool && giving && entry.order.is_none() {
                entry.emptying = None;
            }
        }
    }

    /// Sends to the spare pool what calm pools have not needed for long,
    /// down to an even share of half the machines.
    fn rest_idle(&mut self, spare: &str, machine_millicores: u64, now_ms: u64) {
        let pools: Vec<String> = self.reports.keys().cloned().collect();
        let kept = self.machines.len() / 2 / pools.len().max(1);
        for pool in pools {
            let Some(entry) = self.reports.get(&pool) else {
                continue;
            };
            let fresh = entry.heard_ms + self.settings.report_age_ms >= now_ms;
            let calm = entry
                .calm_since_ms
                .is_some_and(|since_ms| since_ms + self.settings.calm_ms <= now_ms);
            if !fresh || !calm {
                continue;
            }
            let beyond = (entry.report.workers as usize).saturating_sub(kept);
            let giving = self.machines.values().filter(|entry| {
                entry.machine.pool == pool && matches!(entry.emptying, Some(Emptying::Move { .. }))
            });
            let more = self.settings.giving_at_once.saturating_sub(giving.count());
            let count = self
                .surplus(&pool, machine_millicores)
                .min(beyond)
                .min(more);
            self.empty(&pool, spare, count);
        }
    }
}

/// Whether a machine is up and nothing is under way with it.
fn is_free(entry: &MachineEntry) -> bool {
    entry.machine.state == MachineState::Up && entry.order.is_none() && entry.emptying.is_none()
}
