use std::collections::BTreeMap;

use super::fleet_manager::FleetManager;
use super::fleet_manager::MachineEntry;
use super::fleet_manager::Order;
use super::fleet_manager::VacateReason;
use super::machine::MachineState;
use super::pool_demand::Work;
use super::pool_report::PoolReport;
use super::shares::Demand;
use super::shares::shares;

/// Idle machines that a donor pool keeps, because a replacement takes three
/// seconds to arrive.
const DONOR_RESERVE_MACHINES: usize = 3;
/// Machines above its share that a pool keeps, because a machine that moves
/// serves no pool for at least two seconds.
const SHARE_RESERVE_MACHINES: u64 = 1;
/// Smallest difference in idle machines between two pools that justifies a
/// move.
const MIN_BALANCE_GAP_MACHINES: u64 = 4;
/// The same limit relative to the smaller of the two idle counts: a difference
/// below half of it justifies no move.
const BALANCE_GAP_DIVISOR: u64 = 2;
/// How long a machine that is down still counts for its pool: machines that
/// start are listed as down at first.
const RESTART_GRACE_MS: u64 = 6000;

impl FleetManager {
    /// Moves machines to pools that lack capacity, first from the spare pool
    /// and then from pools with a surplus. Returns machines to the spare pool
    /// once no pool has needed them for a long time.
    ///
    /// Surges hit the queues in turn and reach several times the mean load for
    /// some seconds. A machine that serves a surge is worth many times what an
    /// idle one costs, so machines move to a surge at once and return late. One
    /// surge begins while jobs of the last one are late: they are worth little, and
    /// hold no machine that work in time needs.
    pub(super) fn plan_moves(&mut self, now_ms: u64) {
        let Some(spare) = self.spare_pool.clone() else {
            return;
        };
        let machine_millicores = self.machine_millicores();
        if machine_millicores == 0 {
            return;
        }
        let shares = self.shares(&spare, machine_millicores, now_ms);
        self.track_load(&shares, machine_millicores, now_ms);
        let in_time = self.needs(Work::InTime, &spare, &shares, now_ms);
        for (need, pool) in &in_time {
            let left = need - self.assign_spares(pool, *need, &spare, now_ms);
            self.vacate_surplus(pool, left, Work::InTime, &shares, now_ms);
        }
        let all = self.needs(Work::All, &spare, &shares, now_ms);
        if in_time.is_empty() {
            for (need, pool) in &all {
                let left = need - self.assign_spares(pool, *need, &spare, now_ms);
                self.vacate_surplus(pool, left, Work::All, &shares, now_ms);
            }
        }
        if all.is_empty() {
            self.balance(machine_millicores, now_ms);
            self.return_idle(&spare, machine_millicores, now_ms);
        }
    }

    /// Returns the machines that pools lack for their work, most first.
    fn needs(
        &self,
        work: Work,
        spare: &str,
        shares: &BTreeMap<String, u64>,
        now_ms: u64,
    ) -> Vec<(u64, String)> {
        let machine_millicores = self.machine_millicores().max(1);
        let pools = self.reports.iter().filter(|(pool, _)| *pool != spare);
        let needs = pools.filter_map(|(pool, entry)| {
            let fresh = entry.received_ms + self.settings.max_report_age_ms >= now_ms;
            let mut need = self.machines_needed(pool, &entry.report, work);
            if let Some(share) = shares.get(pool) {
                let have = entry.report.capacity_millicores / machine_millicores;
                need = need.min(share.saturating_sub(have + self.incoming(pool)));
            }
            (fresh && need > 0).then(|| (need, pool.clone()))
        });
        let mut needs: Vec<(u64, String)> = needs.collect();
        needs.sort_unstable_by(|left, right| right.cmp(left));
        needs
    }

    /// Returns each pool's share of the machines while the pools want more
    /// machines than there are; empty otherwise.
    fn shares(&self, spare: &str, machine_millicores: u64, now_ms: u64) -> BTreeMap<String, u64> {
        let age_ms = self.settings.max_report_age_ms;
        let fresh = self
            .reports
            .iter()
            .filter(|(pool, entry)| pool.as_str() != spare && entry.received_ms + age_ms >= now_ms);
        let demands: Vec<(&String, Demand)> = fresh
            .map(|(pool, entry)| {
                let report = &entry.report;
                let lasting = report.lasting_millicores.div_ceil(machine_millicores);
                let wanted = report.wanted_in_time_millicores(self.settings.backlog_target_ms);
                let demand = Demand {
                    floor: lasting.max(u64::from(report.least_workers)),
                    wanted: wanted.div_ceil(machine_millicores),
                };
                (pool, demand)
            })
            .collect();
        let machines = self
            .machines
            .values()
            .filter(|entry| matches!(entry.machine.state, MachineState::Up | MachineState::Moving));
        let wanted: Vec<Demand> = demands.iter().map(|(_, demand)| *demand).collect();
        let shares = shares(&wanted, machines.count() as u64);
        let named = demands.iter().zip(shares.unwrap_or_default());
        named
            .map(|((pool, _), share)| ((*pool).clone(), share))
            .collect()
    }

    fn machine_millicores(&self) -> u64 {
        let machines = self.machines.values();
        let millicores = machines.map(|entry| entry.machine.capacity.cpu_millicores);
        millicores.max().unwrap_or(0)
    }

    /// Returns the number of machines that a pool lacks, not counting those
    /// already on their way to it.
    fn machines_needed(&self, pool: &str, report: &PoolReport, work: Work) -> u64 {
        let machine_millicores = self.machine_millicores().max(1);
        let wanted = work.wanted_millicores(report, self.settings.backlog_target_ms);
        let lacking = wanted.saturating_sub(report.capacity_millicores);
        let for_load = (lacking + machine_millicores / 2) / machine_millicores;
        // A pool with machines due for maintenance needs one more, to which
        // their tasks can move.
        let due = u32::from(self.has_due_machines(pool));
        let min_workers = report.least_workers + due;
        let for_min_workers = u64::from(min_workers.saturating_sub(report.workers));
        for_load
            .max(for_min_workers)
            .saturating_sub(self.incoming(pool))
    }

    /// Moves up to `need` machines from the spare pool to a pool and returns
    /// their number.
    fn assign_spares(&mut self, pool: &str, need: u64, spare: &str, now_ms: u64) -> u64 {
        let need = usize::try_from(need).unwrap_or(usize::MAX);
        let idle = self
            .machines
            .iter()
            .filter(|(_, entry)| entry.machine.pool == spare && is_assignable(entry));
        let chosen: Vec<String> = idle.take(need).map(|(name, _)| name.clone()).collect();
        for name in &chosen {
            let pool = pool.to_owned();
            self.order(name, Order::Move { pool }, now_ms);
        }
        chosen.len() as u64
    }

    /// Starts to vacate machines of pools with a surplus, the largest surplus
    /// first, for the pool `to`.
    fn vacate_surplus(
        &mut self,
        to: &str,
        need: u64,
        work: Work,
        shares: &BTreeMap<String, u64>,
        now_ms: u64,
    ) {
        let machine_millicores = self.machine_millicores().max(1);
        let mut need = usize::try_from(need).unwrap_or(usize::MAX);
        let mut donors: Vec<(usize, String)> = self
            .reports
            .iter()
            .filter(|(pool, entry)| {
                *pool != to && entry.received_ms + self.settings.max_report_age_ms >= now_ms
            })
            .map(|(pool, _)| {
                let surplus = match shares.get(pool) {
                    Some(&share) => self.excess_over_share(pool, share, machine_millicores),
                    None => self.surplus(pool, work, machine_millicores),
                };
                (surplus, pool.clone())
            })
            .collect();
        donors.sort_unstable_by(|left, right| right.cmp(left));
        for (surplus, donor) in donors {
            need -= self.vacate_cheapest(&donor, to, surplus.min(need));
        }
    }

    /// Moves machines from the pool with the most idle machines to the one
    /// with the fewest. The next surge may hit any pool, and a machine that is
    /// already there serves it three seconds longer than one that has to move.
    fn balance(&mut self, machine_millicores: u64, now_ms: u64) {
        let age_ms = self.settings.max_report_age_ms;
        let fresh = self
            .reports
            .iter()
            .filter(|(_, entry)| entry.received_ms + age_ms >= now_ms);
        // Counts machines by the listing, not by the pool's report: a machine
        // that has just arrived is not usable yet and is missing from the
        // report, so that a second one would be requested.
        let mut idle: Vec<(u64, String)> = fresh
            .map(|(pool, entry)| {
                let wanted = entry
                    .report
                    .wanted_millicores(self.settings.backlog_target_ms);
                let wanted = wanted.div_ceil(machine_millicores);
                let have = self.assigned_machines(pool, now_ms);
                (have.saturating_sub(wanted), pool.clone())
            })
            .collect();
        idle.sort_unstable();
        let (Some((fewest, receiver)), Some((most, donor))) = (idle.first(), idle.last()) else {
            return;
        };
        let gap = most - fewest;
        if gap < MIN_BALANCE_GAP_MACHINES.max(fewest / BALANCE_GAP_DIVISOR) {
            return;
        }
        let count = usize::try_from(gap / 2).unwrap_or(usize::MAX);
        let count = count.min(self.surplus(donor, Work::All, machine_millicores));
        self.vacate_cheapest(donor, receiver, count);
    }

    /// Returns the number of machines on their way to a pool, or being vacated
    /// for it.
    fn incoming(&self, pool: &str) -> u64 {
        let incoming = self.machines.values().filter(|entry| match &entry.order {
            Some(Order::Move { pool: to }) => to == pool,
            _ => matches!(&entry.vacating, Some(VacateReason::Move { pool: to }) if to == pool),
        });
        incoming.count() as u64
    }

    /// Returns the number of machines that serve a pool or will do so soon.
    fn assigned_machines(&self, pool: &str, now_ms: u64) -> u64 {
        let machines = self.machines.values().filter(|entry| {
            let to = match (&entry.order, &entry.vacating) {
                (Some(Order::Move { pool }), _) | (_, Some(VacateReason::Move { pool })) => pool,
                _ => &entry.machine.pool,
            };
            let lost = entry
                .down_since_ms
                .is_some_and(|since_ms| since_ms + RESTART_GRACE_MS <= now_ms);
            to == pool && !lost
        });
        machines.count() as u64
    }

    /// Returns the number of machines above its share that a pool can give up,
    /// beside those that it is giving up already.
    fn excess_over_share(&self, pool: &str, share: u64, machine_millicores: u64) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let report = &entry.report;
        let have = report.capacity_millicores / machine_millicores;
        let above = have.saturating_sub(share + SHARE_RESERVE_MACHINES);
        let removable = report.workers.saturating_sub(report.least_workers) as usize;
        usize::try_from(above).unwrap_or(usize::MAX).min(removable)
    }

    /// Returns the number of machines that a pool can give up, beside those that
    /// it is giving up already: what is left after its work, its minimum number
    /// of workers and a reserve for the next surge.
    fn surplus(&self, pool: &str, work: Work, machine_millicores: u64) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let report = &entry.report;
        let wanted = work.wanted_millicores(report, self.settings.backlog_target_ms);
        let free = report.capacity_millicores.saturating_sub(wanted) / machine_millicores;
        let free = usize::try_from(free).unwrap_or(usize::MAX);
        let removable = report.workers.saturating_sub(report.least_workers) as usize;
        free.saturating_sub(DONOR_RESERVE_MACHINES).min(removable)
    }

    /// Starts to vacate up to `count` of a pool's cheapest machines for the
    /// pool `to` and returns their number.
    fn vacate_cheapest(&mut self, pool: &str, to: &str, count: usize) -> usize {
        let Some(entry) = self.reports.get(pool) else {
            return 0;
        };
        let chosen: Vec<String> = entry.report.cheapest.iter().take(count).cloned().collect();
        let mut chosen_count = 0;
        for worker in chosen {
            let entry = self.machines.values_mut().find(|entry| {
                entry.machine.worker.as_ref() == Some(&worker) && is_assignable(entry)
            });
            if let Some(entry) = entry {
                entry.vacating = Some(VacateReason::Move {
                    pool: to.to_owned(),
                });
                chosen_count += 1;
            }
        }
        chosen_count
    }

    /// Records since when each pool has had a surplus, and stops vacating
    /// machines of pools that need them again.
    fn track_load(&mut self, shares: &BTreeMap<String, u64>, machine_millicores: u64, now_ms: u64) {
        let within_ms = self.settings.backlog_target_ms;
        let mut short_of_capacity = Vec::new();
        let mut below_min_workers = Vec::new();
        for (pool, entry) in &mut self.reports {
            let wanted = entry.report.wanted_millicores(within_ms) + machine_millicores * 2;
            let has_surplus = wanted <= entry.report.capacity_millicores;
            let in_time = entry.report.wanted_in_time_millicores(within_ms);
            let is_short = in_time + machine_millicores * 2 > entry.report.capacity_millicores;
            entry.surplus_since_ms = match (has_surplus, entry.surplus_since_ms) {
                (false, _) => None,
                (true, None) => Some(now_ms),
                (true, since) => since,
            };
            let have = entry.report.capacity_millicores / machine_millicores;
            let has_share = shares.get(pool).is_some_and(|&share| have >= share);
            if is_short && !has_share {
                short_of_capacity.push(pool.clone());
            }
            if entry.report.workers + 1 < entry.report.least_workers {
                below_min_workers.push(pool.clone());
            }
        }
        for pool in short_of_capacity {
            self.cancel_vacating(&pool, false);
        }
        for pool in below_min_workers {
            self.cancel_vacating(&pool, true);
        }
    }

    /// Stops vacating a pool's machines. With `include_maintenance`, when the
    /// pool has too few workers for one of its steps, this includes machines
    /// that are vacated for maintenance.
    fn cancel_vacating(&mut self, pool: &str, include_maintenance: bool) {
        for entry in self.machines.values_mut() {
            let cancelled = match entry.vacating {
                Some(VacateReason::Move { .. }) => true,
                Some(VacateReason::Wave(_)) => include_maintenance,
                None => false,
            };
            if entry.machine.pool == pool && cancelled && entry.order.is_none() {
                entry.vacating = None;
            }
        }
    }

    /// Starts to vacate machines of pools with a long-lasting surplus for the
    /// spare pool. Each pool keeps an even share of half of all machines.
    fn return_idle(&mut self, spare: &str, machine_millicores: u64, now_ms: u64) {
        let pools: Vec<String> = self.reports.keys().cloned().collect();
        let kept = self.machines.len() / 2 / pools.len().max(1);
        for pool in pools {
            let Some(entry) = self.reports.get(&pool) else {
                continue;
            };
            let fresh = entry.received_ms + self.settings.max_report_age_ms >= now_ms;
            let surplus_held = entry
                .surplus_since_ms
                .is_some_and(|since_ms| since_ms + self.settings.surplus_hold_ms <= now_ms);
            if !fresh || !surplus_held {
                continue;
            }
            let beyond = (entry.report.workers as usize).saturating_sub(kept);
            let vacating = self.machines.values().filter(|entry| {
                entry.machine.pool == pool
                    && matches!(entry.vacating, Some(VacateReason::Move { .. }))
            });
            let more = self
                .settings
                .max_vacating_per_pool
                .saturating_sub(vacating.count());
            let count = self
                .surplus(&pool, Work::All, machine_millicores)
                .min(beyond)
                .min(more);
            self.vacate_cheapest(&pool, spare, count);
        }
    }
}

/// Whether a machine is up and neither ordered nor being vacated.
fn is_assignable(entry: &MachineEntry) -> bool {
    entry.machine.state == MachineState::Up && entry.order.is_none() && entry.vacating.is_none()
}
