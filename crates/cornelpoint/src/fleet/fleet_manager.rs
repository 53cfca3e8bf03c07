use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::machine::Machine;
use super::machine::MachineAnswer;
use super::machine::MachineState;
use super::pool_report::PoolReport;
use super::settings::FleetSettings;
use super::wave::WaveOrder;
use super::wave::WaveProgress;

/// What the manager wants carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Move a machine to a pool.
    Move {
        /// Machine.
        machine: String,
        /// Pool.
        pool: String,
    },
    /// Take a machine down for its maintenance.
    Maintain {
        /// Machine.
        machine: String,
        /// Wave that asks for it.
        wave: u64,
    },
    /// Keep and publish how far a wave is.
    Progress {
        /// Wave.
        wave: u64,
        /// Machines that have begun their maintenance.
        begun: BTreeSet<String>,
        /// Whether all have.
        completed: bool,
    },
}

/// What a machine was last ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Order {
    Move { pool: String },
    Maintain { wave: u64 },
}

/// A machine and what is under way with it.
#[derive(Clone, Debug)]
pub(super) struct MachineEntry {
    pub(super) machine: Machine,
    pub(super) order: Option<Order>,
    pub(super) sent_ms: u64,
    /// When the order was confirmed; the listing is believed only from then on.
    pub(super) confirmed_ms: Option<u64>,
    /// Why it is being emptied.
    pub(super) emptying: Option<Emptying>,
    /// Since when it is listed as gone or broken.
    pub(super) down_since_ms: Option<u64>,
}

/// Why a machine is being emptied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Emptying {
    /// For a wave.
    Wave(u64),
    /// For a pool that needs it more, or the spare one.
    Move { pool: String },
}

/// Decides which machines move and which are maintained, for one term of
/// ownership.
#[derive(Debug)]
pub struct FleetManager {
    pub(super) settings: FleetSettings,
    pub(super) first_order_ms: u64,
    pub(super) spare_pool: Option<String>,
    pub(super) machines: BTreeMap<String, MachineEntry>,
    pub(super) waves: BTreeMap<u64, WaveProgress>,
    pub(super) reports: BTreeMap<String, ReportEntry>,
    pub(super) actions: Vec<FleetAction>,
    fenced: bool,
}

/// A pool's last report.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportEntry {
    pub(super) report: PoolReport,
    pub(super) heard_ms: u64,
    /// Since when the pool has had more than it needs.
    pub(super) calm_since_ms: Option<u64>,
}

impl FleetManager {
    /// A manager whose term begins now.
    ///
    /// ```
    /// use cornelpoint::fleet::FleetManager;
    /// use cornelpoint::fleet::FleetSettings;
    ///
    /// let mut manager = FleetManager::new(0, FleetSettings::default());
    /// assert!(manager.tick(10).is_empty());
    /// ```
    #[must_use]
    pub fn new(now_ms: u64, settings: FleetSettings) -> Self {
        Self {
            first_order_ms: now_ms + settings.takeover_delay_ms,
            settings,
            spare_pool: None,
            machines: BTreeMap::new(),
            waves: BTreeMap::new(),
            reports: BTreeMap::new(),
            actions: Vec::new(),
            fenced: false,
        }
    }

    /// Allows orders at once: no predecessor can have given any.
    pub fn skip_takeover_delay(&mut self) {
        self.first_order_ms = 0;
    }

    /// Names the pool whose machines are off.
    pub fn set_spare_pool(&mut self, pool: Option<&str>) {
        self.spare_pool = pool.map(str::to_owned);
    }

    /// Whether the platform has refused the fencing token.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes an operator's order for a wave, and the machines of it that are
    /// known to have begun.
    pub fn wave_ordered(&mut self, order: &WaveOrder, begun: &BTreeSet<String>, now_ms: u64) {
        if let Some(wave) = self.waves.get_mut(&order.number) {
            wave.begun.extend(begun.iter().cloned());
            return;
        }
        let progress = WaveProgress {
            order: order.clone(),
            begun: begun.clone(),
            ordered_ms: now_ms,
            completed: false,
            published: false,
        };
        self.waves.insert(order.number, progress);
    }

    /// Takes a pool's report.
    pub fn pool_reported(&mut self, pool: &str, report: &PoolReport, heard_ms: u64) {
        let entry = self.reports.entry(pool.to_owned()).or_default();
        entry.report.clone_from(report);
        entry.heard_ms = heard_ms;
    }

    /// Takes a full listing that was asked for at a time.
    pub fn machines_listed(&mut self, machines: Vec<Machine>, asked_ms: u64) {
        let names: BTreeSet<String> = machines
            .iter()
            .map(|machine| machine.name.clone())
            .collect();
        self.machines.retain(|name, _| names.contains(name));
        for machine in machines {
            let entry = self
                .machines
                .entry(machine.name.clone())
                .or_insert_with(|| MachineEntry {
                    machine: machine.clone(),
                    order: None,
                    sent_ms: 0,
                    confirmed_ms: None,
                    emptying: None,
                    down_since_ms: None,
                });
            entry.down_since_ms = match machine.state {
                MachineState::Down => Some(entry.down_since_ms.unwrap_or(asked_ms)),
                _ => None,
            };
            let settled = entry
                .confirmed_ms
                .is_some_and(|confirmed_ms| confirmed_ms < asked_ms);
            if settled && machine.state == MachineState::Up {
                entry.order = None;
                entry.confirmed_ms = None;
            }
            entry.machine = machine;
        }
    }

    /// Takes the answer to an order.
    pub fn order_replied(&mut self, machine: &str, answer: MachineAnswer, now_ms: u64) {
        let Some(entry) = self.machines.get_mut(machine) else {
            return;
        };
        let order = entry.order.clone();
        match answer {
            MachineAnswer::Done => {
                entry.confirmed_ms = Some(now_ms);
                entry.emptying = None;
                match order {
                    Some(Order::Maintain { wave }) => {
                        entry.machine.state = MachineState::Maintenance;
                        self.begun(wave, machine);
                    }
                    Some(Order::Move { pool }) => {
                        entry.machine.state = MachineState::Moving;
                        entry.machine.pool = pool;
                    }
                    None => {}
                }
            }
            MachineAnswer::Fence => self.fenced = true,
            MachineAnswer::Busy | MachineAnswer::Later => entry.order = None,
            MachineAnswer::NotOfWave | MachineAnswer::Impossible => {
                entry.order = None;
                entry.emptying = None;
                if let Some(Order::Maintain { wave }) = order {
                    self.begun(wave, machine);
                }
            }
            // The order is repeated: doing it twice is doing it once.
            MachineAnswer::NoAnswer => {}
        }
    }

    fn begun(&mut self, wave: u64, machine: &str) {
        if let Some(progress) = self.waves.get_mut(&wave) {
            progress.begun.insert(machine.to_owned());
            progress.published = false;
        }
    }

    /// Workers that are to be emptied.
    #[must_use]
    pub fn to_vacate(&self) -> BTreeSet<String> {
        let emptying = self
            .machines
            .values()
            .filter(|entry| entry.emptying.is_some());
        emptying
            .filter_map(|entry| entry.machine.worker.clone())
            .collect()
    }

    /// Whether machines are under way or about to be.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let waves = self.waves.values().any(|wave| !wave.completed);
        let mut machines = self.machines.values();
        waves || machines.any(|entry| entry.order.is_some() || entry.emptying.is_some())
    }

    /// Decides what to order now.
    pub fn tick(&mut self, now_ms: u64) -> Vec<FleetAction> {
        if self.fenced || now_ms < self.first_order_ms {
            return Vec::new();
        }
        self.repeat_orders(now_ms);
        self.advance_waves(now_ms);
        self.plan_moves(now_ms);
        self.order_emptied(now_ms);
        self.publish_waves();
        std::mem::take(&mut self.actions)
    }

    fn repeat_orders(&mut self, now_ms: u64) {
        for (name, entry) in &mut self.machines {
            let late = entry.sent_ms + self.settings.repeat_ms <= now_ms;
            if entry.confirmed_ms.is_some() || !late {
                continue;
            }
            let Some(order) = &entry.order else { continue };
            entry.sent_ms = now_ms;
            self.actions.push(action(name, order));
        }
    }

    /// Orders away the machines that have been emptied.
    fn order_emptied(&mut self, now_ms: u64) {
        let ready: Vec<(String, Emptying)> = self
            .machines
            .iter()
            .filter(|(_, entry)| entry.order.is_none() && self.is_empty(entry, now_ms))
            .filter_map(|(name, entry)| Some((name.clone(), entry.emptying.clone()?)))
            .collect();
        for (name, emptying) in ready {
            match emptying {
                Emptying::Wave(wave) => {
                    let most = self
                        .waves
                        .get(&wave)
                        .map_or(0, |wave| wave.order.most_at_once);
                    if self.down_for(wave) < most {
                        self.order(&name, Order::Maintain { wave }, now_ms);
                    }
                }
                Emptying::Move { pool } => self.order(&name, Order::Move { pool }, now_ms),
            }
        }
    }

    /// Whether nothing runs on a machine: it is off, or its pool's owner says
    /// so.
    pub(super) fn is_empty(&self, entry: &MachineEntry, now_ms: u64) -> bool {
        if entry.machine.state != MachineState::Up {
            return false;
        }
        if self.spare_pool.as_deref() == Some(&entry.machine.pool) {
            return true;
        }
        let Some(worker) = &entry.machine.worker else {
            return false;
        };
        self.reports.get(&entry.machine.pool).is_some_and(|pool| {
            pool.heard_ms + self.settings.report_age_ms >= now_ms
                && pool.report.vacated.contains(worker)
        })
    }

    pub(super) fn order(&mut self, machine: &str, order: Order, now_ms: u64) {
        let Some(entry) = self.machines.get_mut(machine) else {
            return;
        };
        self.actions.push(action(machine, &order));
        entry.order = Some(order);
        entry.sent_ms = now_ms;
        entry.confirmed_ms = None;
    }

    /// Machines that are down for a wave, or may be: also by a predecessor's
    /// orders.
    pub(super) fn down_for(&self, number: u64) -> usize {
        let down = self.machines.iter().filter(|(name, entry)| {
            let listed = entry.machine.state == MachineState::Maintenance
                && self
                    .waves
                    .get(&number)
                    .is_some_and(|wave| wave.order.machines.contains(*name));
            listed || entry.order == Some(Order::Maintain { wave: number })
        });
        down.count()
    }
}

fn action(machine: &str, order: &Order) -> FleetAction {
    match order {
        Order::Move { pool } => FleetAction::Move {
            machine: machine.to_owned(),
            pool: pool.clone(),
        },
        Order::Maintain { wave } => FleetAction::Maintain {
            machine: machine.to_owned(),
            wave: *wave,
        },
    }
}
