use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::fleet::FleetAction;
use cornelpoint::fleet::FleetManager;
use cornelpoint::fleet::FleetSettings;
use cornelpoint::fleet::Machine;
use cornelpoint::fleet::MachineAnswer;
use cornelpoint::ownership::Claim;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::Recipients;
use cornelpoint_platform::fleet_api;
use cornelpoint_platform::operator;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::clock;
use crate::http::CallError;
use crate::http::HttpEndpoint;
use crate::metrics::ProcessMetrics;
use crate::node::Node;
use crate::store::PartitionReader;
use crate::store::ShardWriter;
use crate::store::TransactionOutcome;
use crate::store::WAVE_TABLE;
use crate::store::WriteOutcome;
use crate::store::decode;
use crate::store::encode;

/// Shard of the fleet; no pool name starts with a slash.
pub(crate) const FLEET_SHARD: &str = "/fleet";
/// Longest time between decisions; a surge of load lasts only seconds.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between decisions. Each walks over all machines, and in a surge
/// the pools report many times a second.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between machine listings while machines move or are maintained.
const BUSY_LISTING_INTERVAL_MS: u64 = 400;
/// Interval between machine listings otherwise.
const IDLE_LISTING_INTERVAL_MS: u64 = 1500;
/// Timeout of a call to the machine API.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of connections to the machine API.
const MAX_CONNECTIONS: usize = 6;
/// How long an owner acts without the store confirming its ownership. The
/// platform's gap between the orders of two holders is not longer than this.
const MAX_UNCONFIRMED_MS: u64 = 3500;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Manages the fleet's machines while this process owns the fleet.
pub(crate) struct FleetHost {
    node: Rc<Node>,
    fencing_token: u64,
    writer: Rc<ShardWriter>,
    manager: RefCell<FleetManager>,
    api: HttpEndpoint,
    begun: RefCell<BTreeMap<u64, BTreeSet<String>>>,
    last_to_vacate: RefCell<BTreeSet<String>>,
    log: Logger,
    stopped: Cell<bool>,
    wake: Notify,
}

impl FleetHost {
    /// Starts managing the fleet after its shard has been claimed.
    pub(crate) async fn start(
        node: &Rc<Node>,
        claim: &Claim,
        owner: &OwnerRow,
        owner_version: u64,
    ) {
        let Some(address) = node.settings.fleet_address.clone() else {
            return;
        };
        let settings = FleetSettings {
            takeover_delay_ms: node.settings.bounds.takeover_delay_ms,
            maintenance_ms: node.settings.bounds.maintenance_ms,
            ..FleetSettings::default()
        };
        let row_bytes = node.settings.row_bytes;
        let writer = ShardWriter::new(FLEET_SHARD, owner.clone(), owner_version, row_bytes);
        let mut reader = PartitionReader::new(WAVE_TABLE, FLEET_SHARD);
        let begun = loop {
            if !node.planner.borrow().owns(FLEET_SHARD) {
                return;
            }
            if reader.read(&node.store).await {
                let rows = reader.into_values();
                writer.values_read(&rows.rows);
                let waves = rows.rows.iter().filter_map(|row| {
                    let number = row.key.key.parse().ok()?;
                    Some((number, decode(row.value.as_deref()?)?))
                });
                break waves.collect::<BTreeMap<u64, BTreeSet<String>>>();
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        let mut manager = FleetManager::new(clock::now().steady_ms, settings);
        if claim.expected_version == 0 {
            manager.skip_takeover_delay();
        }
        let host = Rc::new(Self {
            node: Rc::clone(node),
            fencing_token: claim.fencing_token,
            writer,
            manager: RefCell::new(manager),
            // The platform may not check fencing tokens, so that a late order would be carried
            // out after those of the next owner.
            api: HttpEndpoint::resetting(&address, MAX_CONNECTIONS),
            begun: RefCell::new(begun),
            last_to_vacate: RefCell::default(),
            log: node.pool_log.clone(),
            stopped: Cell::new(false),
            wake: Notify::new(),
        });
        if let Some(previous) = node.fleet.replace(Some(Rc::clone(&host))) {
            previous.stop();
        }
        info!(host.log, "Started managing the fleet."; "fencing_token" => claim.fencing_token);
        spawn_local(Rc::clone(&host).poll_machines());
        spawn_local(host.run_timers());
    }

    /// Stops managing the fleet; no more orders are sent.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify_one();
    }

    /// Triggers a decision.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns the workers to vacate.
    pub(crate) fn to_vacate(&self) -> BTreeSet<String> {
        self.manager.borrow().to_vacate()
    }

    /// Returns the workers whose machines are due for maintenance.
    pub(crate) fn due_workers(&self) -> BTreeSet<String> {
        self.manager.borrow().due_workers()
    }

    /// Writes the owner's store heartbeat; stops hosting if fenced.
    pub(crate) async fn write_heartbeat(self: Rc<Self>) {
        if self.writer.write(&self.node.store, &[], &[], &[]).await == WriteOutcome::Fenced {
            self.node
                .stop_hosting(FLEET_SHARD, "owned by another process");
            self.stop();
        }
    }

    async fn run_timers(self: Rc<Self>) {
        while !self.stopped.get() {
            self.decide();
            let earliest = Instant::now() + MIN_TICK_INTERVAL;
            tokio::select! {
                () = tokio::time::sleep(TICK_INTERVAL) => {}
                () = self.wake.notified() => tokio::time::sleep_until(earliest).await,
            }
        }
    }

    fn decide(self: &Rc<Self>) {
        if !self.may_order() {
            return;
        }
        let now_ms = clock::now().steady_ms;
        let actions = {
            let mut manager = self.manager.borrow_mut();
            if let Some(catalog) = self.node.catalog() {
                let spare = catalog.pools.values().find(|pool| pool.spare);
                manager.set_spare_pool(spare.map(|pool| pool.name.as_str()));
            }
            for wave in self.node.waves.borrow().values() {
                let begun = self.begun.borrow().get(&wave.number).cloned();
                manager.wave_ordered(wave, &begun.unwrap_or_default(), now_ms);
            }
            for (pool, status) in &*self.node.pool_statuses.borrow() {
                manager.pool_reported(pool, &status.report, status.received_ms);
            }
            manager.tick(now_ms)
        };
        for action in actions {
            spawn_local(Rc::clone(self).execute(action));
        }
        let vacate = self.to_vacate();
        if *self.last_to_vacate.borrow() != vacate {
            *self.last_to_vacate.borrow_mut() = vacate;
            self.node.request_heartbeat(Recipients::PoolOwners);
        }
    }

    /// Whether the store has confirmed ownership recently enough to act on it.
    fn may_order(&self) -> bool {
        let limit_ms = self.node.confirmed_ms.get() + MAX_UNCONFIRMED_MS;
        !self.stopped.get() && clock::now().steady_ms < limit_ms
    }

    async fn execute(self: Rc<Self>, action: FleetAction) {
        let holder = &self.node.settings.node;
        let (machine, call) = match action {
            FleetAction::Move { machine, pool } => {
                info!(self.log, "Moving a machine."; "machine" => &machine, "pool" => &pool);
                let call = fleet_api::move_call(holder, self.fencing_token, &machine, &pool);
                (machine, call)
            }
            FleetAction::Maintain { machine, wave } => {
                info!(self.log, "Starting maintenance of a machine."; "machine" => &machine,
                    "wave" => wave);
                let call = fleet_api::maintenance_call(holder, self.fencing_token, &machine, wave);
                (machine, call)
            }
            FleetAction::Progress {
                wave,
                begun,
                completed,
            } => {
                self.store_wave_progress(wave, begun, completed).await;
                return;
            }
        };
        let may_send = || self.may_order();
        let sent = self.api.send_while(&call, CALL_TIMEOUT, &may_send);
        let answer = match sent.await {
            Ok(answer) => fleet_api::parse_machine_answer(answer.status, &answer.body),
            Err(CallError::NotSent | CallError::Busy) => MachineAnswer::Later,
            Err(CallError::NoAnswer) => MachineAnswer::NoAnswer,
        };
        let outcome_label = match answer {
            MachineAnswer::Done => "done",
            MachineAnswer::NoAnswer => "no_answer",
            MachineAnswer::Later => "later",
            _ => "rejected",
        };
        ProcessMetrics::count(&self.node.metrics.machine_orders, outcome_label);
        if answer != MachineAnswer::Done {
            info!(self.log, "Machine order not confirmed."; "machine" => &machine,
                "answer" => ?answer);
        }
        let now_ms = clock::now().steady_ms;
        let fenced = {
            let mut manager = self.manager.borrow_mut();
            manager.order_replied(&machine, answer, now_ms);
            manager.is_fenced()
        };
        if fenced {
            self.node
                .stop_hosting(FLEET_SHARD, "fenced by a higher token");
            self.stop();
        }
    }

    /// Stores which machines of a wave have begun maintenance, then publishes the
    /// wave's status for the operator.
    async fn store_wave_progress(&self, wave: u64, begun: BTreeSet<String>, completed: bool) {
        self.begun.borrow_mut().insert(wave, begun.clone());
        let key = RowKey::new(WAVE_TABLE, FLEET_SHARD, wave.to_string());
        let writes = [(key, encode(&begun))];
        let status_key = RowKey::new(operator::STATUS_TABLE, "", operator::wave_status_key(wave));
        let published = Transaction {
            writes: vec![(status_key, operator::wave_status(completed))],
            ..Transaction::default()
        };
        loop {
            if self.stopped.get() {
                return;
            }
            match self.writer.write(&self.node.store, &writes, &[], &[]).await {
                WriteOutcome::Stored => break,
                WriteOutcome::Fenced => {
                    self.node
                        .stop_hosting(FLEET_SHARD, "owned by another process");
                    self.stop();
                }
                WriteOutcome::Unknown | WriteOutcome::Invalid | WriteOutcome::Blocked(_) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        if completed || begun.is_empty() {
            info!(self.log, "Publishing the status of a wave."; "wave" => wave,
                "begun" => begun.len(), "completed" => completed);
            self.publish(&published).await;
        }
    }

    async fn publish(&self, status: &Transaction) {
        while !self.stopped.get() {
            match self.node.store.transact(status).await {
                TransactionOutcome::Committed { .. } => return,
                outcome => {
                    info!(self.log, "Wave status not stored; retrying."; "outcome" => ?outcome);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Lists the machines at intervals and passes them to the fleet manager.
    async fn poll_machines(self: Rc<Self>) {
        while !self.stopped.get() {
            let requested_ms = clock::now().steady_ms;
            match self.list_machines().await {
                Some(machines) => {
                    self.manager
                        .borrow_mut()
                        .machines_listed(machines, requested_ms);
                    self.wake();
                }
                None => info!(self.log, "Listing of machines failed."),
            }
            let busy = self.manager.borrow().is_busy();
            let pause_ms = if busy {
                BUSY_LISTING_INTERVAL_MS
            } else {
                IDLE_LISTING_INTERVAL_MS
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn list_machines(&self) -> Option<Vec<Machine>> {
        let mut all = Vec::new();
        let mut page: Option<String> = None;
        loop {
            let call = fleet_api::list_call(page.as_deref());
            let answer = self.api.send(&call, CALL_TIMEOUT).await.ok()?;
            if answer.status != 200 {
                return None;
            }
            match fleet_api::parse_machines(&answer.body) {
                Ok((machines, next)) => {
                    all.extend(machines);
                    page = next;
                }
                Err(error) => {
                    warn!(self.log, "List of machines can't be parsed."; "error" => %error);
                    return None;
                }
            }
            if page.is_none() {
                return Some(all);
            }
        }
    }
}
