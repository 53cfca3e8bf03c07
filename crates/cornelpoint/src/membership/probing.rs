//! Probes of a member: choice of targets, datagrams and answers.

use std::net::SocketAddr;
use std::ops::Bound::Excluded;
use std::ops::Bound::Unbounded;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use super::gossip_message::GossipMessage;
use super::gossip_message::OutgoingGossip;
use super::member::Member;
use super::member::MemberStatus;
use super::members::KnownMember;
use super::members::Membership;
use super::probe::Probe;
use super::probe::RelayedProbe;
use crate::name::InstanceId;

/// Number of suspects that are pinged again with each probe.
const SUSPECTS_PER_PROBE: usize = 3;

impl Membership {
    pub(super) fn check_probe(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        let Some(mut probe) = self.probe.take() else {
            return Vec::new();
        };
        let age_ms = now_ms.saturating_sub(probe.sent_ms);
        if age_ms >= self.settings.probe_timeout_ms {
            self.suspect(&probe.target, now_ms);
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        if age_ms >= self.settings.direct_timeout_ms && !probe.indirect_sent {
            probe.indirect_sent = true;
            outgoing = self.send_indirect_probes(&probe);
        }
        self.probe = Some(probe);
        outgoing
    }

    fn send_indirect_probes(&mut self, probe: &Probe) -> Vec<OutgoingGossip> {
        let others: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|known| known.member.status == MemberStatus::Live)
            .filter(|known| known.member.instance != probe.target)
            .map(|known| known.member.gossip_address)
            .collect();
        others
            .sample(&mut self.generator, self.settings.indirect_probes)
            .map(|&to| OutgoingGossip {
                to,
                message: GossipMessage::PingRequest {
                    sequence: probe.sequence,
                    from: self.own.clone(),
                    target: probe.address,
                },
            })
            .collect()
    }

    fn suspect(&mut self, instance: &InstanceId, now_ms: u64) {
        let Some(known) = self.known.get(instance) else {
            return;
        };
        if known.member.status != MemberStatus::Live {
            return;
        }
        let mut member = known.member.clone();
        member.status = MemberStatus::Suspect;
        self.apply_update(member, now_ms);
    }

    pub(super) fn start_probe(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        self.probes += 1;
        let mut outgoing = Vec::new();
        if self.known.is_empty()
            || self
                .probes
                .is_multiple_of(self.settings.rejoin_every_probes)
        {
            outgoing.extend(self.ping_absent());
        }
        for suspect in self.suspects() {
            outgoing.push(self.ping(suspect));
        }
        if let Some(target) = self.next_target() {
            let sequence = self.take_sequence();
            let address = target.gossip_address;
            self.probe = Some(Probe {
                sequence,
                target: target.instance,
                address,
                sent_ms: now_ms,
                indirect_sent: false,
            });
            outgoing.push(self.ping_with(address, sequence));
        }
        outgoing
    }

    /// Suspects to ping again, so that each learns of the suspicion and can
    /// refute it even if datagrams are lost.
    fn suspects(&self) -> Vec<SocketAddr> {
        self.known
            .values()
            .filter(|known| known.member.status == MemberStatus::Suspect)
            .map(|known| known.member.gossip_address)
            .take(SUSPECTS_PER_PROBE)
            .collect()
    }

    fn ping_absent(&mut self) -> Option<OutgoingGossip> {
        let present: Vec<SocketAddr> = self.present().map(|member| member.gossip_address).collect();
        let failed_members = self
            .known
            .values()
            .filter(|known| known.member.status == MemberStatus::Failed)
            .map(|known| known.member.gossip_address);
        let candidates: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(failed_members)
            .filter(|address| !present.contains(address))
            .collect();
        let to = *candidates.choose(&mut self.generator)?;
        Some(self.ping(to))
    }

    fn next_target(&mut self) -> Option<Member> {
        if self.probe_round.is_empty() {
            self.probe_round = self
                .known
                .values()
                .filter(|known| known.member.is_present())
                .map(|known| known.member.instance.clone())
                .collect();
            self.probe_round.shuffle(&mut self.generator);
        }
        while let Some(instance) = self.probe_round.pop() {
            let known = self.known.get(&instance);
            if let Some(known) = known.filter(|known| known.member.is_present()) {
                return Some(known.member.clone());
            }
        }
        None
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    pub(super) fn ping(&mut self, to: SocketAddr) -> OutgoingGossip {
        let sequence = self.take_sequence();
        self.ping_with(to, sequence)
    }

    fn ping_with(&mut self, to: SocketAddr, sequence: u64) -> OutgoingGossip {
        let mut updates = self.updates_for(None);
        let target = self
            .known
            .values()
            .find(|known| known.member.gossip_address == to);
        updates.extend(target.and_then(status_to_refute));
        OutgoingGossip {
            to,
            message: GossipMessage::Ping {
                sequence,
                from: self.own.clone(),
                updates,
            },
        }
    }

    pub(super) fn ack(
        &mut self,
        to: SocketAddr,
        sequence: u64,
        peer: &InstanceId,
    ) -> OutgoingGossip {
        let mut updates = self.updates_for(Some(peer));
        updates.extend(self.known.get(peer).and_then(status_to_refute));
        OutgoingGossip {
            to,
            message: GossipMessage::Ack {
                sequence,
                from: self.own.clone(),
                updates,
            },
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u64,
        target: SocketAddr,
        now_ms: u64,
    ) -> OutgoingGossip {
        let sequence = self.take_sequence();
        self.relayed.push(RelayedProbe {
            sequence,
            requester_sequence,
            requester,
            sent_ms: now_ms,
        });
        self.ping_with(target, sequence)
    }

    pub(super) fn handle_ack(&mut self, sequence: u64, from: Member) -> Vec<OutgoingGossip> {
        let own_probe = self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence && probe.target == from.instance);
        if own_probe {
            self.probe = None;
            return Vec::new();
        }
        let position = self
            .relayed
            .iter()
            .position(|relayed| relayed.sequence == sequence);
        let Some(position) = position else {
            return Vec::new();
        };
        let relayed = self.relayed.swap_remove(position);
        vec![OutgoingGossip {
            to: relayed.requester,
            message: GossipMessage::Ack {
                sequence: relayed.requester_sequence,
                from,
                updates: Vec::new(),
            },
        }]
    }

    /// Returns queued updates first, then known members in turn, so that members
    /// that missed an update receive it later.
    fn updates_for(&mut self, peer: Option<&InstanceId>) -> Vec<Member> {
        let count = self.settings.updates_per_message;
        let mut updates = self.update_queue.take(count, peer);
        for _ in 0..self.known.len().min(count - updates.len()) {
            let Some(member) = self.next_sync_member() else {
                break;
            };
            let included = updates
                .iter()
                .any(|included| included.instance == member.instance);
            if !included && peer != Some(&member.instance) {
                updates.push(member);
            }
        }
        updates
    }

    fn next_sync_member(&mut self) -> Option<Member> {
        let after = self.sync_cursor.take();
        let next = after
            .and_then(|after| {
                self.known
                    .range((Excluded(after), Unbounded))
                    .next()
                    .map(|(_, known)| known)
            })
            .or_else(|| self.known.values().next())?;
        self.sync_cursor = Some(next.member.instance.clone());
        Some(next.member.clone())
    }
}

/// Returns the state of a member that does not count as live. It is sent to that
/// member, which can then refute it.
fn status_to_refute(known: &KnownMember) -> Option<Member> {
    let disputed = known.member.status != MemberStatus::Live;
    disputed.then(|| known.member.clone())
}
