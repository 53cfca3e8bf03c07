use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use cornelpoint::ownership::HeartbeatSchedule;
use cornelpoint::ownership::Peer;
use cornelpoint::ownership::Recipients;
use slog::debug;
use tokio::net::UdpSocket;

use super::state::Node;
use super::state::PoolStatus;
use crate::clock;
use crate::fleet_host::FLEET_SHARD;
use crate::message::Heartbeat;
use crate::message::OwnedPool;
use crate::store::decode;
use crate::store::encode;

/// Time without a heartbeat from a peer after which none are sent to it.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Shortest time between heartbeats sent early because of a pool's load.
const MIN_LOAD_INTERVAL_MS: u64 = 100;
/// How long a request to vacate workers stays valid without being repeated.
const VACATE_TTL_MS: u64 = 4000;
/// Shortest time between heartbeats that name the workers whose machines are due for
/// maintenance, which may be hundreds.
const MIN_DUE_INTERVAL_MS: u64 = 500;
/// How long the workers due for maintenance stay valid without being repeated.
const DUE_TTL_MS: u64 = 8000;
/// Largest heartbeat that can be received. It has to fit a datagram; a longer
/// one is lost.
const MAX_HEARTBEAT_BYTES: usize = 60_000;

impl Node {
    /// Sends heartbeats at intervals and when requested.
    pub(super) async fn send_heartbeats(self: Rc<Self>, socket: Rc<UdpSocket>) {
        loop {
            let now_ms = clock::now().steady_ms;
            let interval_ms = self.heartbeat_interval_ms(now_ms);
            let recipients = self.heartbeats.borrow_mut().take_due(now_ms, interval_ms);
            if !recipients.is_empty() {
                let mut heartbeat = self.heartbeat(interval_ms);
                if recipients.contains(&Recipients::PoolOwners) {
                    heartbeat.due = self.take_due_workers(now_ms);
                }
                let message = encode(&heartbeat);
                self.apply_vacate(now_ms);
                for address in self.recipient_addresses(&recipients, now_ms) {
                    // A datagram that can't be sent counts as lost; the next heartbeat
                    // replaces it.
                    if let Err(error) = socket.send_to(&message, &address).await {
                        debug!(self.main_log, "Heartbeat not sent."; "to" => address,
                            "error" => %error);
                    }
                }
            }
            let due_ms = self.heartbeats.borrow().due_ms();
            tokio::select! {
                () = tokio::time::sleep(clock::until(due_ms)) => {}
                () = self.heartbeat_requested.notified() => {}
            }
        }
    }

    fn heartbeat_interval_ms(&self, now_ms: u64) -> u64 {
        let peers = self.recent_peers(now_ms).len();
        let is_owner = !self.hosts.borrow().is_empty() || self.fleet.borrow().is_some();
        HeartbeatSchedule::interval_ms(u64::try_from(peers).unwrap_or(u64::MAX), is_owner)
    }

    /// Returns the addresses of the peers that were heard of recently.
    fn recent_peers(&self, now_ms: u64) -> Vec<String> {
        let addresses = self.peer_addresses.borrow();
        let recent = addresses
            .values()
            .filter(|(_, received_ms)| received_ms + PEER_EXPIRY_MS > now_ms);
        recent.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the addresses of the other processes among the recipients.
    fn recipient_addresses(
        &self,
        recipients: &BTreeSet<Recipients>,
        now_ms: u64,
    ) -> BTreeSet<String> {
        let mut addresses = BTreeSet::new();
        for recipients in recipients {
            match recipients {
                Recipients::All => addresses.extend(self.recent_peers(now_ms)),
                Recipients::FleetOwner => {
                    addresses.extend(self.owner_addresses(|shard| shard == FLEET_SHARD));
                }
                Recipients::PoolOwners => {
                    addresses.extend(self.owner_addresses(|shard| shard != FLEET_SHARD));
                }
            }
        }
        addresses.remove(&self.address);
        addresses
    }

    fn owner_addresses(&self, selects: impl Fn(&str) -> bool) -> Vec<String> {
        let planner = self.planner.borrow();
        let shards = planner.shards().filter(|shard| selects(shard));
        let owners = shards.filter_map(|shard| planner.owner(shard));
        let active = owners.filter(|(row, _)| !row.released);
        active.map(|(row, _)| row.address.clone()).collect()
    }

    /// Sends a heartbeat before the next regular one.
    pub(crate) fn request_heartbeat(&self, recipients: Recipients) {
        self.heartbeats.borrow_mut().request(recipients);
        self.heartbeat_requested.notify_one();
    }

    /// Reports the load of this process's pools to the fleet's owner, at most
    /// every [`MIN_LOAD_INTERVAL_MS`].
    pub(crate) fn report_load(&self) {
        let now_ms = clock::now().steady_ms;
        if self.load_reported_ms.get() + MIN_LOAD_INTERVAL_MS <= now_ms {
            self.load_reported_ms.set(now_ms);
            self.request_heartbeat(Recipients::FleetOwner);
        }
    }

    fn heartbeat(&self, interval_ms: u64) -> Heartbeat {
        let hosts = self.hosts.borrow();
        let pools = hosts
            .iter()
            .map(|(pool, host)| (pool.clone(), host.owned_pool()));
        let pools: BTreeMap<_, _> = pools.collect();
        for (pool, owned) in &pools {
            self.update_pool_status(pool, owned);
        }
        Heartbeat {
            node: self.settings.node.clone(),
            started_unix_ms: self.started_unix_ms,
            address: self.address.clone(),
            leaving: self.leaving.get(),
            has_store: self.store.is_available(),
            millicores: self.settings.millicores,
            interval_ms,
            pools,
            relinquished: self.relinquished.borrow().clone(),
            to_vacate: self.fleet.borrow().as_ref().map(|fleet| fleet.to_vacate()),
            due: None,
        }
    }

    /// Returns the workers whose machines are due for maintenance, if this process
    /// owns the fleet and has not sent them lately.
    fn take_due_workers(&self, now_ms: u64) -> Option<BTreeSet<String>> {
        let fleet = self.fleet.borrow().clone()?;
        let mut due = self.due.borrow_mut();
        if due.1 + MIN_DUE_INTERVAL_MS > now_ms {
            return None;
        }
        *due = (fleet.due_workers(), now_ms);
        Some(due.0.clone())
    }

    /// Receives and applies the heartbeats of peers.
    pub(super) async fn receive_heartbeats(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(heartbeat) = decode::<Heartbeat>(&buffer[..length]) else {
                debug!(self.main_log, "Heartbeat can't be decoded."; "bytes" => length);
                continue;
            };
            self.apply_heartbeat(heartbeat);
        }
    }

    fn apply_heartbeat(&self, heartbeat: Heartbeat) {
        let now_ms = clock::now().steady_ms;
        let peer = Peer {
            address: heartbeat.address.clone(),
            started_unix_ms: heartbeat.started_unix_ms,
            leaving: heartbeat.leaving,
            has_store: heartbeat.has_store,
            millicores: heartbeat.millicores,
            heartbeat_interval_ms: heartbeat.interval_ms,
            relinquished: heartbeat.relinquished,
        };
        self.planner
            .borrow_mut()
            .heartbeat_received(&heartbeat.node, peer, now_ms);
        self.peer_addresses
            .borrow_mut()
            .insert(heartbeat.node, (heartbeat.address, now_ms));
        if let Some(workers) = heartbeat.to_vacate {
            *self.to_vacate.borrow_mut() = (workers, now_ms);
            self.apply_vacate(now_ms);
        }
        if let Some(workers) = heartbeat.due {
            *self.due.borrow_mut() = (workers, now_ms);
        }
        for (pool, owned) in &heartbeat.pools {
            self.update_pool_status(pool, owned);
        }
        if !heartbeat.pools.is_empty()
            && let Some(fleet) = &*self.fleet.borrow()
        {
            fleet.wake();
        }
    }

    /// Vacates the workers that the fleet owner requests; none if its last
    /// request is older than [`VACATE_TTL_MS`].
    fn apply_vacate(&self, now_ms: u64) {
        if let Some(fleet) = &*self.fleet.borrow() {
            *self.to_vacate.borrow_mut() = (fleet.to_vacate(), now_ms);
        }
        let workers = unexpired(&self.to_vacate.borrow(), VACATE_TTL_MS, now_ms);
        let due = unexpired(&self.due.borrow(), DUE_TTL_MS, now_ms);
        let hosts: Vec<_> = self.hosts.borrow().values().cloned().collect();
        for host in hosts {
            host.vacate(&workers, &due);
        }
    }

    fn update_pool_status(&self, pool: &str, owned: &OwnedPool) {
        let mut all = self.pool_statuses.borrow_mut();
        let status = all.entry(pool.to_owned()).or_default();
        if status.fencing_token > owned.fencing_token {
            return;
        }
        let now_ms = clock::now().steady_ms;
        *status = PoolStatus {
            fencing_token: owned.fencing_token,
            received_ms: now_ms,
            view_confirmed_ms: now_ms.saturating_sub(owned.view_age_ms),
            waiting: owned.waiting.clone(),
            report: owned.report.clone(),
        };
    }
}

/// Returns workers that were received at a time, none once `ttl_ms` have passed.
fn unexpired(received: &(BTreeSet<String>, u64), ttl_ms: u64, now_ms: u64) -> BTreeSet<String> {
    let (workers, received_ms) = received;
    if received_ms + ttl_ms > now_ms {
        workers.clone()
    } else {
        BTreeSet::new()
    }
}
