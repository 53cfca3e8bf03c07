use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound::Excluded;
use std::ops::Bound::Unbounded;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::gossip_message::GossipMessage;
use super::gossip_message::OutgoingGossip;
use super::member::Member;
use super::member::MemberStatus;
use super::membership_settings::MembershipSettings;
use super::news::News;
use super::probe::Probe;
use super::probe::RelayedProbe;
use crate::name::InstanceId;

/// Suspects that are asked again with each probe.
const SUSPECTS_PER_PROBE: usize = 3;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    since_ms: u64,
}

/// A member that is not thought live is told so, and can refute it.
fn doubt(known: &Known) -> Option<Member> {
    let doubted = known.member.status != MemberStatus::Live;
    doubted.then(|| known.member.clone())
}

/// One process's view of the members, and its probes.
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
    own: Member,
    seeds: Vec<SocketAddr>,
    settings: MembershipSettings,
    known: BTreeMap<InstanceId, Known>,
    news: News,
    round: Vec<InstanceId>,
    fill_from: Option<InstanceId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_sequence: u64,
    probes: u64,
    last_probe_ms: u64,
    last_tick_ms: u64,
    version: u64,
    generator: ChaCha8Rng,
}

impl Membership {
    /// Starts with this process's own member and addresses to ask first.
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
            news: News::default(),
            round: Vec::new(),
            fill_from: None,
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

    /// This process's own member.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Number that grows whenever the view changes.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All members, whatever their status, this process's own included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.known.values().map(|known| &known.member))
    }

    /// The members that may be given duties.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.is_present())
    }

    /// Whether the process was paused: too long ago was the last tick.
    ///
    /// Ask before `tick`, and before any lease is used.
    #[must_use]
    pub fn was_paused(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_tick_ms) >= self.settings.pause_ms
    }

    /// Lets time pass: probes, suspicion, failure. Call several times in each
    /// probe interval.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        if self.was_paused(now_ms) {
            self.rejoin(now_ms);
        }
        self.last_tick_ms = now_ms;
        self.fail_suspects(now_ms);
        self.forget_old(now_ms);
        let mut outgoing = self.follow_probe(now_ms);
        if now_ms.saturating_sub(self.last_probe_ms) >= self.settings.probe_interval_ms {
            self.last_probe_ms = now_ms;
            outgoing.extend(self.start_probe(now_ms));
        }
        outgoing
    }

    /// Takes a datagram and answers it.
    pub fn receive(&mut self, message: GossipMessage, now_ms: u64) -> Vec<OutgoingGossip> {
        match message {
            GossipMessage::Ping {
                sequence,
                from,
                news,
            } => {
                let to = from.gossip_address;
                let peer = from.instance.clone();
                self.learn_all(from, news, now_ms);
                vec![self.ack(to, sequence, &peer)]
            }
            GossipMessage::PingRequest {
                sequence,
                from,
                target,
            } => {
                let asker = from.gossip_address;
                self.learn(from, now_ms);
                vec![self.relay_probe(asker, sequence, target, now_ms)]
            }
            GossipMessage::Ack {
                sequence,
                from,
                news,
            } => {
                let acked = from.clone();
                self.learn_all(from, news, now_ms);
                self.accept_ack(sequence, acked)
            }
        }
    }

    /// Says that this process stops, to as many members as news goes to.
    pub fn leave(&mut self) -> Vec<OutgoingGossip> {
        self.own.status = MemberStatus::Left;
        self.version += 1;
        let addresses: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|known| known.member.is_present())
            .map(|known| known.member.gossip_address)
            .collect();
        let count = self.settings.news_repeats as usize;
        let chosen: Vec<SocketAddr> = addresses
            .sample(&mut self.generator, count)
            .copied()
            .collect();
        chosen.into_iter().map(|to| self.ping(to)).collect()
    }

    /// After a pause nothing that was timed before it counts.
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
            self.learn(member, now_ms);
        }
    }

    fn forget_old(&mut self, now_ms: u64) {
        let retention_ms = self.settings.failed_retention_ms;
        self.known.retain(|_, known| {
            known.member.is_present() || now_ms.saturating_sub(known.since_ms) < retention_ms
        });
        let probe_timeout_ms = self.settings.probe_timeout_ms;
        self.relayed
            .retain(|relayed| now_ms.saturating_sub(relayed.sent_ms) < probe_timeout_ms);
    }

    fn follow_probe(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
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
            outgoing = self.ask_others(&probe);
        }
        self.probe = Some(probe);
        outgoing
    }

    fn ask_others(&mut self, probe: &Probe) -> Vec<OutgoingGossip> {
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
        self.learn(member, now_ms);
    }

    fn start_probe(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        self.probes += 1;
        let mut outgoing = Vec::new();
        if self.known.is_empty()
            || self
                .probes
                .is_multiple_of(self.settings.rejoin_every_probes)
        {
            outgoing.extend(self.try_absent());
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

    /// Suspects that are asked again, so that each hears of the suspicion and
    /// can refute it though datagrams are lost.
    fn suspects(&self) -> Vec<SocketAddr> {
        self.known
            .values()
            .filter(|known| known.member.status == MemberStatus::Suspect)
            .map(|known| known.member.gossip_address)
            .take(SUSPECTS_PER_PROBE)
            .collect()
    }

    fn try_absent(&mut self) -> Option<OutgoingGossip> {
        let present: Vec<SocketAddr> = self.present().map(|member| member.gossip_address).collect();
        let absent = self
            .known
            .values()
            .filter(|known| known.member.status == MemberStatus::Failed)
            .map(|known| known.member.gossip_address);
        let candidates: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(absent)
            .filter(|address| !present.contains(address))
            .collect();
        let to = *candidates.choose(&mut self.generator)?;
        Some(self.ping(to))
    }

    fn next_target(&mut self) -> Option<Member> {
        if self.round.is_empty() {
            self.round = self
                .known
                .values()
                .filter(|known| known.member.is_present())
                .map(|known| known.member.instance.clone())
                .collect();
            self.round.shuffle(&mut self.generator);
        }
        while let Some(instance) = self.round.pop() {
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

    fn ping(&mut self, to: SocketAddr) -> OutgoingGossip {
        let sequence = self.take_sequence();
        self.ping_with(to, sequence)
    }

    fn ping_with(&mut self, to: SocketAddr, sequence: u64) -> OutgoingGossip {
        let mut news = self.news_for(None);
        let target = self
            .known
            .values()
            .find(|known| known.member.gossip_address == to);
        news.extend(target.and_then(doubt));
        OutgoingGossip {
            to,
            message: GossipMessage::Ping {
                sequence,
                from: self.own.clone(),
                news,
            },
        }
    }

    fn ack(&mut self, to: SocketAddr, sequence: u64, peer: &InstanceId) -> OutgoingGossip {
        let mut news = self.news_for(Some(peer));
        news.extend(self.known.get(peer).and_then(doubt));
        OutgoingGossip {
            to,
            message: GossipMessage::Ack {
                sequence,
                from: self.own.clone(),
                news,
            },
        }
    }

    fn relay_probe(
        &mut self,
        asker: SocketAddr,
        asker_sequence: u64,
        target: SocketAddr,
        now_ms: u64,
    ) -> OutgoingGossip {
        let sequence = self.take_sequence();
        self.relayed.push(RelayedProbe {
            sequence,
            asker_sequence,
            asker,
            sent_ms: now_ms,
        });
        self.ping_with(target, sequence)
    }

    fn accept_ack(&mut self, sequence: u64, from: Member) -> Vec<OutgoingGossip> {
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
            to: relayed.asker,
            message: GossipMessage::Ack {
                sequence: relayed.asker_sequence,
                from,
                news: Vec::new(),
            },
        }]
    }

    /// News first, then members in turn, so that lost news is repaired.
    fn news_for(&mut self, peer: Option<&InstanceId>) -> Vec<Member> {
        let count = self.settings.news_per_message;
        let mut news = self.news.take(count, peer);
        for _ in 0..self.known.len().min(count - news.len()) {
            let Some(member) = self.next_fill() else {
                break;
            };
            let told = news.iter().any(|told| told.instance == member.instance);
            if !told && peer != Some(&member.instance) {
                news.push(member);
            }
        }
        news
    }

    fn next_fill(&mut self) -> Option<Member> {
        let after = self.fill_from.take();
        let next = after
            .and_then(|after| {
                self.known
                    .range((Excluded(after), Unbounded))
                    .next()
                    .map(|(_, known)| known)
            })
            .or_else(|| self.known.values().next())?;
        self.fill_from = Some(next.member.instance.clone());
        Some(next.member.clone())
    }

    fn learn_all(&mut self, from: Member, news: Vec<Member>, now_ms: u64) {
        self.learn(from, now_ms);
        for member in news {
            self.learn(member, now_ms);
        }
    }

    fn learn(&mut self, member: Member, now_ms: u64) {
        if member.instance == self.own.instance {
            self.refute(&member);
            return;
        }
        let known = self.known.get(&member.instance);
        let newer = match known {
            Some(known) => member.supersedes(&known.member),
            None => true,
        };
        if !newer {
            return;
        }
        let repeats = self.settings.news_repeats;
        self.news.add(member.clone(), repeats);
        self.known.insert(
            member.instance.clone(),
            Known {
                member,
                since_ms: now_ms,
            },
        );
        self.version += 1;
    }

    fn refute(&mut self, word: &Member) {
        let doubted = word.status != MemberStatus::Live && self.own.status == MemberStatus::Live;
        if word.incarnation > self.own.incarnation
            || (doubted && word.incarnation == self.own.incarnation)
        {
            self.own.incarnation = word.incarnation + 1;
            self.version += 1;
            let own = self.own.clone();
            self.news.add(own, self.settings.news_repeats);
        }
    }
}
