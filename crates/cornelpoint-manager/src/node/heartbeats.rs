use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::ownership::Peer;
use slog::debug;
use tokio::net::UdpSocket;

use super::state::Node;
use super::state::PoolStatus;
use crate::clock;
use crate::message::Heartbeat;
use crate::message::OwnedPool;
use crate::store::decode;
use crate::store::encode;

/// Base interval between heartbeats.
const INTERVAL_MS: u64 = 400;
/// Added to the interval for each peer, so that many peers do not overload a
/// small instance.
const INTERVAL_PER_PEER_MS: u64 = 8;
/// Time without a heartbeat from a peer after which none are sent to it.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Shortest time between heartbeats sent early because of a change.
const MIN_NOTIFY_INTERVAL_MS: u64 = 100;
/// How long a request to vacate workers stays valid without being repeated.
const VACATE_TTL_MS: u64 = 4000;
/// Largest heartbeat that can be received. It has to fit a datagram; a longer
/// one is lost.
const MAX_HEARTBEAT_BYTES: usize = 60_000;

impl Node {
    /// Sends heartbeats to all peers, at intervals and when notified.
    pub(super) async fn send_heartbeats(self: Rc<Self>, socket: Rc<UdpSocket>) {
        loop {
            let message = encode(&self.heartbeat());
            let now_ms = clock::now().steady_ms;
            self.apply_vacate(now_ms);
            let addresses: Vec<String> = {
                let addresses = self.peer_addresses.borrow();
                let recent = addresses
                    .values()
                    .filter(|(_, received_ms)| received_ms + PEER_EXPIRY_MS > now_ms);
                recent.map(|(address, _)| address.clone()).collect()
            };
            for address in &addresses {
                // A datagram that can't be sent counts as lost; the next heartbeat
                // replaces it.
                if let Err(error) = socket.send_to(&message, address).await {
                    debug!(self.main_log, "Heartbeat not sent."; "to" => address, "error" => %error);
                }
            }
            let peers = u64::try_from(addresses.len()).unwrap_or(0);
            let pause = Duration::from_millis(INTERVAL_MS + INTERVAL_PER_PEER_MS * peers);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.heartbeat_now.notified() => {}
            }
        }
    }

    /// Sends the next heartbeat at once because of an urgent change, at most
    /// every [`MIN_NOTIFY_INTERVAL_MS`].
    pub(crate) fn notify_peers_soon(&self) {
        let now_ms = clock::now().steady_ms;
        if self.notified_ms.get() + MIN_NOTIFY_INTERVAL_MS <= now_ms {
            self.notified_ms.set(now_ms);
            self.heartbeat_now.notify_one();
        }
    }

    fn heartbeat(&self) -> Heartbeat {
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
            pools,
            to_vacate: self.fleet.borrow().as_ref().map(|fleet| fleet.to_vacate()),
        }
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
        let workers = {
            let (workers, received_ms) = &*self.to_vacate.borrow();
            if received_ms + VACATE_TTL_MS > now_ms {
                workers.clone()
            } else {
                BTreeSet::new()
            }
        };
        let hosts: Vec<_> = self.hosts.borrow().values().cloned().collect();
        for host in hosts {
            host.vacate(&workers);
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
