use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::Position;
use cornelpoint::replication::Update;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::command::Command;
use super::state::peer_addresses;
use super::state_handle::StateHandle;
use crate::control::ControlClient;
use crate::message::SyncReply;
use crate::message::SyncRequest;

/// Maximum number of peers that one update is pushed to.
const PUSH_FANOUT: usize = 8;

/// Replicates updates between keepers: pushes each new update to some peers, and
/// pulls from one random peer whenever `interval` passes without an update.
#[derive(Debug)]
pub(super) struct PeerSync {
    pub(super) state_handle: StateHandle,
    pub(super) own: InstanceId,
    pub(super) client: ControlClient,
    pub(super) updates: Receiver<Update>,
    pub(super) interval: Duration,
    /// Position up to which each peer's replicated state has been read.
    pub(super) positions: BTreeMap<SocketAddr, Position>,
    pub(super) generator: ChaCha8Rng,
}

impl PeerSync {
    /// Runs until the state loop ends.
    pub(super) fn run(mut self) {
        loop {
            match self.updates.recv_timeout(self.interval) {
                Ok(update) => self.push(&update),
                Err(RecvTimeoutError::Timeout) => self.pull(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let members: Vec<Member> = self
            .state_handle
            .request(Command::Members)
            .unwrap_or_default();
        peer_addresses(&members, &self.own)
    }

    fn push(&mut self, update: &Update) {
        let peers = self.peers();
        let chosen: Vec<SocketAddr> = peers
            .sample(&mut self.generator, PUSH_FANOUT)
            .copied()
            .collect();
        for peer in chosen {
            // A peer that misses the push pulls the update later.
            let _ = self.client.call::<_, ()>(peer, "/peer/push", update);
        }
    }

    fn pull(&mut self) {
        let peers = self.peers();
        let Some(&peer) = peers.choose(&mut self.generator) else {
            return;
        };
        let request = SyncRequest {
            position: self.positions.get(&peer).copied(),
            generation: self
                .state_handle
                .request(Command::Generation)
                .unwrap_or_default(),
        };
        let reply = self
            .client
            .call::<_, SyncReply>(peer, "/peer/sync", &request);
        if let Ok(reply) = reply {
            if !reply.update.is_empty() {
                self.state_handle.send(Command::Apply(reply.update));
            }
            self.positions.insert(peer, reply.position);
            self.positions.retain(|known, _| peers.contains(known));
        }
    }
}
