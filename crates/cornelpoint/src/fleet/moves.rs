use super::fleet_manager::Emptying;
use super::fleet_manager::FleetManager;
use super::fleet_manager::Order;
use super::machine::MachineState;
use super::pool_report::PoolReport;

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
    /// a time.
    fn wanted_millicores(&self, within_ms: u64) -> u64 {
        let work = self.backlog_core_ms + self.refused_core_ms;
        self.lasting_millicores + work * 1000 / within_ms.max(1)
    }
}

impl FleetManager {
    /// Moves machines to pools whose work waits, from the spare pool and from
    /// pools that have been calm for a while; and to the spare pool what
    /// nobody needs.
    ///
    /// Each queue in its turn asks several times its mean for some seconds: a
    /// pool keeps what its long-running tasks need and borrows the rest.
    pub(super) fn plan_moves(&mut self, now_ms: u64) {
        let Some(spare) = self.spare_pool.clone() else {
            return;
        };
        self.note_calm(now_ms);
        let machine_millicores = self.machine_millicores();
        if machine_millicores == 0 {
            return;
        }
        let mut needs: Vec<(u64, String)> = self
            .reports
            .iter()
            .filter(|(pool, _)| **pool != spare)
            .filter_map(|(pool, entry)| {
                let fresh = entry.heard_ms + self.settings.report_age_ms >= now_ms;
                let need = self.machines_needed(pool, &entry.report, machine_millicores);
                (fresh && need > 0).then(|| (need, pool.clone()))
            })
            .collect();
        needs.sort_unstable_by(|left, right| right.cmp(left));
        for (need, pool) in &needs {
            self.bring(pool, *need, &spare, now_ms);
        }
        let needy = needs.first().map(|(_, pool)| pool.clone());
        self.give_up_surplus(
            needy.as_deref().unwrap_or(&spare),
            machine_millicores,
            now_ms,
        );
    }

    fn machine_millicores(&self) -> u64 {
        let machines = self.machines.values();
        machines
            .map(|entry| entry.machine.capacity.cpu_millicores)
            .max()
            .unwrap_or(0)
    }

    /// Machines that a pool lacks beyond those on their way to it.
    fn machines_needed(&self, pool: &str, report: &PoolReport, machine_millicores: u64) -> u64 {
        let wanted = report.wanted_millicores(self.settings.drain_target_ms);
        let lacking = wanted.saturating_sub(report.capacity_millicores);
        let for_load = lacking / machine_millicores;
        let for_places = u64::from(report.least_workers.saturating_sub(report.workers));
        let coming = self.machines.values().filter(|entry| match &entry.order {
            Some(Order::Move { pool: to }) => to == pool,
            _ => matches!(&entry.emptying, Some(Emptying::Move { pool: to }) if to == pool),
        });
        for_load
            .max(for_places)
            .saturating_sub(coming.count() as u64)
    }

    /// Sends spare machines to a pool.
    fn bring(&mut self, pool: &str, need: u64, spare: &str, now_ms: u64) {
        let under_way = self
            .machines
            .values()
            .filter(|entry| entry.order.is_some())
            .count();
        let room = self.settings.orders_at_once.saturating_sub(under_way);
        let need = usize::try_from(need).unwrap_or(usize::MAX).min(room);
        let idle = self.machines.iter().filter(|(_, entry)| {
            entry.machine.pool == spare
                && entry.machine.state == MachineState::Up
                && entry.order.is_none()
                && entry.emptying.is_none()
        });
        let chosen: Vec<String> = idle.take(need).map(|(name, _)| name.clone()).collect();
        for name in chosen {
            let pool = pool.to_owned();
            self.order(&name, Order::Move { pool }, now_ms);
        }
    }

    fn note_calm(&mut self, now_ms: u64) {
        let machine_millicores = self.machine_millicores();
        let within_ms = self.settings.drain_target_ms;
        for entry in self.reports.values_mut() {
            let wanted = entry.report.wanted_millicores(within_ms) + machine_millicores * 2;
            let calm = wanted <= entry.report.capacity_millicores;
            entry.calm_since_ms = match (calm, entry.calm_since_ms) {
                (false, _) => None,
                (true, None) => Some(now_ms),
                (true, since) => since,
            };
        }
    }

    /// Takes back what a pool was to give up: its work waits again.
    fn keep_machines(&mut self, pool: &str) {
        for entry in self.machines.values_mut() {
            let giving = matches!(entry.emptying, Some(Emptying::Move { .. }));
            if entry.machine.pool == pool && giving && entry.order.is_none() {
                entry.emptying = None;
            }
        }
    }

    /// Lets calm pools empty their cheapest machines for another pool.
    fn give_up_surplus(&mut self, to: &str, machine_millicores: u64, now_ms: u64) {
        let pools: Vec<String> = self.reports.keys().cloned().collect();
        for pool in pools.iter().filter(|pool| *pool != to) {
            let giving = self.machines.values().filter(|entry| {
                entry.machine.pool == *pool && matches!(entry.emptying, Some(Emptying::Move { .. }))
            });
            let giving = giving.count();
            let Some(entry) = self.reports.get(pool) else {
                continue;
            };
            let fresh = entry.heard_ms + self.settings.report_age_ms >= now_ms;
            let calm = entry
                .calm_since_ms
                .is_some_and(|since_ms| since_ms + self.settings.calm_ms <= now_ms);
            if entry.calm_since_ms.is_none() {
                self.keep_machines(pool);
                continue;
            }
            if !fresh || !calm {
                continue;
            }
            let report = &entry.report;
            let wanted = report.wanted_millicores(self.settings.drain_target_ms);
            let surplus = report.capacity_millicores.saturating_sub(wanted) / machine_millicores;
            let surplus = usize::try_from(surplus.saturating_sub(1)).unwrap_or(usize::MAX);
            let places = (report.workers as usize).saturating_sub(report.least_workers as usize);
            let more = self.settings.giving_at_once.saturating_sub(giving);
            let count = surplus.min(places).min(more);
            let chosen: Vec<String> = report.cheapest.iter().take(count).cloned().collect();
            for worker in chosen {
                let entry = self.machines.values_mut().find(|entry| {
                    entry.machine.worker.as_ref() == Some(&worker)
                        && entry.machine.state == MachineState::Up
                        && entry.order.is_none()
                        && entry.emptying.is_none()
                });
                if let Some(entry) = entry {
                    entry.emptying = Some(Emptying::Move {
                        pool: to.to_owned(),
                    });
                }
            }
        }
    }
}
