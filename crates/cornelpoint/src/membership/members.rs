use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::gossip_message::GossipMessage;
use super::gossip_message::OutgoingGossip;
use super::member::Member;
use super::member::MemberStatus;
use super::membership_settings::MembershipSettings;
use super::probe::Probe;
use super::probe::RelayedProbe;
use super::update_queue::UpdateQueue;
use crate::name::InstanceId;

/// Latest state of another member, and the time at which it was learned.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    pub(super) since_ms: u64,
}

/// The members as one process sees them, and the state of its probes.
///
/// ```
/// use cornelpoint::membership::Member;
/// use cornelpoint::membership::MemberStatus;
/// use cornelpoint::membership::Membership;
/// use cornelpoint::membership::MembershipSettings;
/// use cornelpoint::name::AvailabilityZone;
/// use cornelpoint::name::InstanceId;
///
/// let member = |name: &str, port: u16| Member {
///     instance: InstanceId::try_from(name).unwrap(),
///     availability_zone: AvailabilityZone::try_from("lk-west-1").unwrap(),
///     incarnation: 1,
///     status: MemberStatus::Live,
///     keeper_address: ([127, 0, 0, 1], port).into(),
///     gossip_address: ([127, 0, 0, 1], port).into(),
/// };
/// let (first, second) = (member("entry-1", 7001), member("entry-2", 7002));
/// let settings = MembershipSettings::default();
/// let mut one = Membership::new(first, vec![second.gossip_address], settings, 1, 0);
/// let mut two = Membership::new(second, Vec::new(), settings, 2, 0);
/// let ping = one.tick(200).remove(0);
/// let ack = two.receive(ping.message, 201).remove(0);
/// one.receive(ack.message, 202);
/// assert_eq!(one.present().count(), 2);
/// assert_eq!(two.present().count(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own: Member,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) settings: MembershipSettings,
    pub(super) known: BTreeMap<InstanceId, KnownMember>,
    pub(super) update_queue: UpdateQueue,
    pub(super) probe_round: Vec<InstanceId>,
    pub(super) sync_cursor: Option<InstanceId>,
    pub(super) probe: Option<Probe>,
    pub(super) relayed: Vec<RelayedProbe>,
    pub(super) next_sequence: u64,
    pub(super) probes: u64,
    pub(super) last_probe_ms: u64,
    pub(super) last_tick_ms: u64,
    pub(super) version: u64,
    pub(super) generator: ChaCha8Rng,
}

impl Membership {
    /// Creates a view that contains only the own member. The process joins
    /// through `seeds`, the gossip addresses of other members.
    #[must_use]
    pub fn new(
        own: Member,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        random_seed: u64,
        now_ms: u64,
    ) -> Self {
        Self {
            own,
            seeds,
            settings,
            known: BTreeMap::new(),
            update_queue: UpdateQueue::default(),
            probe_round: Vec::new(),
            sync_cursor: None,
            probe: None,
            relayed: Vec::new(),
            next_sequence: 1,
            probes: 0,
            last_probe_ms: now_ms,
            last_tick_ms: now_ms,
            version: 0,
            generator: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Returns this process's own member.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a number that grows whenever the view changes.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the members of every status, the own member included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.known.values().map(|known| &known.member))
    }

    /// Returns the members that may be assigned duties: those that are live or
    /// only suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.is_present())
    }

    /// Returns whether the process was paused: the last tick is at least
    /// `pause_ms` ago.
    ///
    /// Call it before `tick`, and before any lease is used.
    #[must_use]
    pub fn was_paused(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_tick_ms) >= self.settings.pause_ms
    }

    /// Advances the time: sends probes, suspects members that do not answer, and
    /// fails suspects. Must be called several times per probe interval.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        if self.was_paused(now_ms) {
            self.rejoin(now_ms);
        }
        self.last_tick_ms = now_ms;
        self.fail_suspects(now_ms);
        self.remove_expired(now_ms);
        let mut outgoing = self.check_probe(now_ms);
        if now_ms.saturating_sub(self.last_probe_ms) >= self.settings.probe_interval_ms {
            self.last_probe_ms = now_ms;
            outgoing.extend(self.start_probe(now_ms));
        }
        outgoing
    }

    /// Handles a datagram and returns the datagrams to send in response.
    pub fn receive(&mut self, message: GossipMessage, now_ms: u64) -> Vec<OutgoingGossip> {
        match message {
            GossipMessage::Ping {
                sequence,
                from,
                updates,
            } => {
                let to = from.gossip_address;
                let peer = from.instance.clone();
                self.apply_updates(from, updates, now_ms);
                vec![self.ack(to, sequence, &peer)]
            }
            GossipMessage::PingRequest {
                sequence,
                from,
                target,
            } => {
                let requester = from.gossip_address;
                self.apply_update(from, now_ms);
                vec![self.relay_probe(requester, sequence, target, now_ms)]
            }
            GossipMessage::Ack {
                sequence,
                from,
                updates,
            } => {
                let acked = from.clone();
                self.apply_updates(from, updates, now_ms);
                self.handle_ack(sequence, acked)
            }
        }
    }

    /// Marks the own member as left and returns datagrams that announce this to
    /// `update_transmissions` members.
    pub fn leave(&mut self) -> Vec<OutgoingGossip> {
        self.own.status = MemberStatus::Left;
        self.version += 1;
        let addresses: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|known| known.member.is_present())
            .map(|known| known.member.gossip_address)
            .collect();
        let count = self.settings.update_transmissions as usize;
        let chosen: Vec<SocketAddr> = addresses
            .sample(&mut self.generator, count)
            .copied()
            .collect();
        chosen.into_iter().map(|to| self.ping(to)).collect()
    }

    /// Starts a new incarnation after a pause. Times from before the pause no
    /// longer count: the current probe is dropped and suspicions start again.
    fn rejoin(&mut self, now_ms: u64) {
        self.own.incarnation += 1;
        self.probe = None;
        for known in self.known.values_mut() {
            known.since_ms = now_ms;
        }
        self.version += 1;
    }

    fn fail_suspects(&mut self, now_ms: u64) {
        let suspicion_ms = self.settings.suspicion_ms;
        let failed: Vec<Member> = self
            .known
            .values()
            .filter(|known| known.member.status == MemberStatus::Suspect)
            .filter(|known| now_ms.saturating_sub(known.since_ms) >= suspicion_ms)
            .map(|known| known.member.clone())
            .collect();
        for mut member in failed {
            member.status = MemberStatus::Failed;
            self.apply_update(member, now_ms);
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let retention_ms = self.settings.failed_retention_ms;
        self.known.retain(|_, known| {
            known.member.is_present() || now_ms.saturating_sub(known.since_ms) < retention_ms
        });
        let probe_timeout_ms = self.settings.probe_timeout_ms;
        self.relayed
            .retain(|relayed| now_ms.saturating_sub(relayed.sent_ms) < probe_timeout_ms);
    }

    fn apply_updates(&mut self, from: Member, updates: Vec<Member>, now_ms: u64) {
        self.apply_update(from, now_ms);
        for member in updates {
            self.apply_update(member, now_ms);
        }
    }

    pub(super) fn apply_update(&mut self, member: Member, now_ms: u64) {
        if member.instance == self.own.instance {
            self.refute(&member);
            return;
        }
        let known = self.known.get(&member.instance);
        let is_newer = match known {
            Some(known) => member.supersedes(&known.member),
            None => true,
        };
        if !is_newer || (known.is_none() && !self.has_room_for_member()) {
            return;
        }
        let transmissions = self.settings.update_transmissions;
        self.update_queue.add(member.clone(), transmissions);
        self.known.insert(
            member.instance.clone(),
            KnownMember {
                member,
                since_ms: now_ms,
            },
        );
        self.version += 1;
    }

    /// Returns whether another member can be added; forgets the one that has been absent for
    /// the longest time if there is no room.
    fn has_room_for_member(&mut self) -> bool {
        if self.known.len() < self.settings.max_members {
            return true;
        }
        let absent = self
            .known
            .values()
            .filter(|known| !known.member.is_present());
        let oldest = absent.min_by_key(|known| known.since_ms);
        let Some(instance) = oldest.map(|known| known.member.instance.clone()) else {
            return false;
        };
        self.known.remove(&instance);
        true
    }

    fn refute(&mut self, update: &Member) {
        let disputed = update.status != MemberStatus::Live && self.own.status == MemberStatus::Live;
        if update.incarnation > self.own.incarnation
            || (disputed && update.incarnation == self.own.incarnation)
        {
            self.own.incarnation = update.incarnation + 1;
            self.version += 1;
            let own = self.own.clone();
            self.update_queue
                .add(own, self.settings.update_transmissions);
        }
    }
}
