use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::machine::Machine;
use super::machine::MachineAnswer;
use super::machine::MachineState;
use super::pool_report::PoolReport;
use super::settings::FleetSettings;
use super::wave::WaveOrder;
use super::wave::WaveProgress;

/// An action that the caller has to carry out for the manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Order the platform to move a machine to a pool.
    Move {
        /// Name of the machine.
        machine: String,
        /// Name of the pool.
        pool: String,
    },
    /// Order the platform to take a machine down for maintenance.
    Maintain {
        /// Name of the machine.
        machine: String,
        /// Number of the wave that the maintenance belongs to.
        wave: u64,
    },
    /// Store and publish the progress of a wave.
    Progress {
        /// Number of the wave.
        wave: u64,
        /// Machines whose maintenance has begun.
        begun: BTreeSet<String>,
        /// Whether the maintenance of all listed machines has begun.
        completed: bool,
    },
}

/// The last order given for a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Order {
    Move { pool: String },
    Maintain { wave: u64 },
}

/// A listed machine with its pending order.
#[derive(Clone, Debug)]
pub(super) struct MachineEntry {
    pub(super) machine: Machine,
    pub(super) order: Option<Order>,
    pub(super) sent_ms: u64,
    /// When the order was confirmed. Only listings requested after this time
    /// show its effect.
    pub(super) confirmed_ms: Option<u64>,
    /// Why the machine is being vacated; `None` if it is not.
    pub(super) vacating: Option<VacateReason>,
    /// Since when the machine has been listed as down.
    pub(super) down_since_ms: Option<u64>,
}

/// Why a machine is being vacated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VacateReason {
    /// For maintenance in the wave of this number.
    Wave(u64),
    /// For a move to another pool or to the spare pool.
    Move { pool: String },
}

/// Decides which machines move between pools and which are taken down for
/// maintenance, for one term of ownership.
#[derive(Debug)]
pub struct FleetManager {
    pub(super) settings: FleetSettings,
    pub(super) first_order_ms: u64,
    pub(super) spare_pool: Option<String>,
    pub(super) machines: BTreeMap<String, MachineEntry>,
    /// Machines that the last listing did not contain, but the one before it.
    /// The pages of a listing are read one after another, so one that moves may
    /// be missing.
    pub(super) missing_once: BTreeSet<String>,
    pub(super) waves: BTreeMap<u64, WaveProgress>,
    pub(super) reports: BTreeMap<String, ReportEntry>,
    pub(super) actions: Vec<FleetAction>,
    fenced: bool,
}

/// The last report received from a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportEntry {
    pub(super) report: PoolReport,
    pub(super) received_ms: u64,
    /// Since when the pool has had more capacity than it needs.
    pub(super) surplus_since_ms: Option<u64>,
}

impl FleetManager {
    /// Creates a manager whose term begins at `now_ms`.
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
            missing_once: BTreeSet::new(),
            waves: BTreeMap::new(),
            reports: BTreeMap::new(),
            actions: Vec::new(),
            fenced: false,
        }
    }

    /// Allows orders at once, for an owner without a predecessor.
    pub fn skip_takeover_delay(&mut self) {
        self.first_order_ms = 0;
    }

    /// Sets the spare pool, whose machines are switched off.
    pub fn set_spare_pool(&mut self, pool: Option<&str>) {
        self.spare_pool = pool.map(str::to_owned);
    }

    /// Whether the platform has rejected the fencing token of this term.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Adds a wave that an operator has ordered, with those of its machines
    /// whose maintenance is known to have begun.
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

    /// Replaces a pool's report, received at `received_ms`.
    pub fn pool_reported(&mut self, pool: &str, report: &PoolReport, received_ms: u64) {
        let entry = self.reports.entry(pool.to_owned()).or_default();
        entry.report.clone_from(report);
        entry.received_ms = received_ms;
    }

    /// Applies a full listing of the machines, requested at `requested_ms`.
    pub fn machines_listed(&mut self, machines: Vec<Machine>, requested_ms: u64) {
        let names: BTreeSet<String> = machines
            .iter()
            .map(|machine| machine.name.clone())
            .collect();
        let missing = self.machines.keys().filter(|name| !names.contains(*name));
        self.missing_once = missing.cloned().collect();
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
                    vacating: None,
                    down_since_ms: None,
                });
            entry.down_since_ms = match machine.state {
                MachineState::Down => Some(entry.down_since_ms.unwrap_or(requested_ms)),
                _ => None,
            };
            let settled = entry
                .confirmed_ms
                .is_some_and(|confirmed_ms| confirmed_ms < requested_ms);
            if settled && machine.state == MachineState::Up {
                entry.order = None;
                entry.confirmed_ms = None;
            }
            entry.machine = machine;
        }
    }

    /// Applies the platform's answer to a machine's order.
    pub fn order_replied(&mut self, machine: &str, answer: MachineAnswer, now_ms: u64) {
        let Some(entry) = self.machines.get_mut(machine) else {
            return;
        };
        let order = entry.order.clone();
        match answer {
            MachineAnswer::Done => {
                entry.confirmed_ms = Some(now_ms);
                entry.vacating = None;
                match order {
                    Some(Order::Maintain { wave }) => {
                        entry.machine.state = MachineState::Maintenance;
                        self.mark_begun(wave, machine);
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
                entry.vacating = None;
                if let Some(Order::Maintain { wave }) = order {
                    self.mark_begun(wave, machine);
                }
            }
            // The order is retried; orders are idempotent.
            MachineAnswer::NoAnswer => {}
        }
    }

    fn mark_begun(&mut self, wave: u64, machine: &str) {
        if let Some(progress) = self.waves.get_mut(&wave) {
            progress.begun.insert(machine.to_owned());
            progress.published = false;
        }
    }

    /// Returns the workers that their pools have to vacate.
    #[must_use]
    pub fn to_vacate(&self) -> BTreeSet<String> {
        let vacating = self
            .machines
            .values()
            .filter(|entry| entry.vacating.is_some());
        vacating
            .filter_map(|entry| entry.machine.worker.clone())
            .collect()
    }

    /// Whether a wave is incomplete, or a machine is ordered or being vacated.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let waves = self.waves.values().any(|wave| !wave.completed);
        let mut machines = self.machines.values();
        waves || machines.any(|entry| entry.order.is_some() || entry.vacating.is_some())
    }

    /// Returns the actions that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Vec<FleetAction> {
        if self.fenced || now_ms < self.first_order_ms {
            return Vec::new();
        }
        self.retry_orders(now_ms);
        self.advance_waves(now_ms);
        self.plan_moves(now_ms);
        self.order_vacated(now_ms);
        self.publish_waves();
        std::mem::take(&mut self.actions)
    }

    fn retry_orders(&mut self, now_ms: u64) {
        for (name, entry) in &mut self.machines {
            let overdue = entry.sent_ms + self.settings.order_retry_ms <= now_ms;
            if entry.confirmed_ms.is_some() || !overdue {
                continue;
            }
            let Some(order) = &entry.order else { continue };
            entry.sent_ms = now_ms;
            self.actions.push(action(name, order));
        }
    }

    /// Orders the move or maintenance of machines that have been vacated.
    fn order_vacated(&mut self, now_ms: u64) {
        let ready: Vec<(String, VacateReason)> = self
            .machines
            .iter()
            .filter(|(_, entry)| entry.order.is_none() && self.is_vacant(entry, now_ms))
            .filter_map(|(name, entry)| Some((name.clone(), entry.vacating.clone()?)))
            .collect();
        for (name, vacating) in ready {
            match vacating {
                VacateReason::Wave(wave) => {
                    let limit = self
                        .waves
                        .get(&wave)
                        .map_or(0, |wave| wave.order.most_at_once);
                    if self.down_for(wave) < limit {
                        self.order(&name, Order::Maintain { wave }, now_ms);
                    }
                }
                VacateReason::Move { pool } => self.order(&name, Order::Move { pool }, now_ms),
            }
        }
    }

    /// Whether nothing runs on a machine, because it is in the spare pool or
    /// because its pool's owner reports its worker as vacated.
    pub(super) fn is_vacant(&self, entry: &MachineEntry, now_ms: u64) -> bool {
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
            pool.received_ms + self.settings.max_report_age_ms >= now_ms
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

    /// Returns the number of machines that are or may be down for a wave, also
    /// by a predecessor's orders.
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
