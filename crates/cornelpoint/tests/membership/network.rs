use std::collections::BTreeSet;
use std::env;
use std::net::SocketAddr;

use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::membership::Membership;
use cornelpoint::membership::MembershipSettings;
use cornelpoint::membership::OutgoingGossip;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TICK_INTERVAL_MS: u64 = 10;
const ONE_WAY_MS: u64 = 1;
const FIRST_PORT: u16 = 10_000;

struct Process {
    membership: Membership,
    running: bool,
    frozen: bool,
}

struct Datagram {
    due_ms: u64,
    to: usize,
    message: GossipMessage,
}

/// Simulated network of members that exchange datagrams in virtual time.
pub struct Network {
    processes: Vec<Option<Process>>,
    datagrams: Vec<Datagram>,
    cut_links: BTreeSet<(usize, usize)>,
    loss_percent: u32,
    max_updates: usize,
    now_ms: u64,
    generator: ChaCha8Rng,
}

impl Network {
    pub fn new(members: usize, case: u64) -> Self {
        let seed = env::var("CORNELPOINT_SEED")
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(1);
        let mut network = Self {
            processes: Vec::new(),
            datagrams: Vec::new(),
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            max_updates: 0,
            now_ms: 0,
            generator: ChaCha8Rng::seed_from_u64(seed * 1_000 + case),
        };
        for member in 0..members {
            network.start(member);
        }
        network
    }

    pub fn start(&mut self, member: usize) {
        let seeds = self.running().into_iter().take(2).map(address).collect();
        let seed = self.generator.random();
        let settings = MembershipSettings::default();
        let membership = Membership::new(own_member(member), seeds, settings, seed, self.now_ms);
        self.processes.resize_with(member + 1, || None);
        self.processes[member] = Some(Process {
            membership,
            running: true,
            frozen: false,
        });
    }

    pub fn kill(&mut self, member: usize) {
        self.process(member).running = false;
    }

    pub fn leave(&mut self, member: usize) {
        let outgoing = self.process(member).membership.leave();
        self.send(member, outgoing);
        self.kill(member);
    }

    pub fn freeze(&mut self, member: usize) {
        self.process(member).frozen = true;
    }

    pub fn thaw(&mut self, member: usize) {
        self.process(member).frozen = false;
    }

    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Cuts all links between members below `boundary` and the others.
    pub fn partition_network(&mut self, boundary: usize) {
        let members = self.processes.len();
        for from in 0..members {
            for to in 0..members {
                if (from < boundary) != (to < boundary) {
                    self.cut_link(from, to);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    pub fn set_loss_percent(&mut self, percent: u32) {
        self.loss_percent = percent;
    }

    pub fn run_ms(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver();
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                self.tick();
            }
        }
    }

    pub fn present_at(&self, member: usize) -> Vec<usize> {
        let process = self.processes[member].as_ref().unwrap();
        let mut present: Vec<usize> = process.membership.present().map(member_number).collect();
        present.sort_unstable();
        present
    }

    pub fn all_agree_on(&self, expected: &[usize]) -> bool {
        let wrong: Vec<(usize, Vec<usize>)> = self
            .running()
            .into_iter()
            .map(|member| (member, self.present_at(member)))
            .filter(|(_, present)| present != expected)
            .collect();
        if !wrong.is_empty() {
            eprintln!("expected {expected:?}, found {wrong:?}");
        }
        wrong.is_empty()
    }

    pub fn failed_statuses(&self) -> usize {
        self.running()
            .into_iter()
            .filter_map(|member| self.processes[member].as_ref())
            .flat_map(|process| process.membership.members())
            .filter(|member| member.status == MemberStatus::Failed)
            .count()
    }

    pub fn incarnation(&self, member: usize) -> u64 {
        let process = self.processes[member].as_ref().unwrap();
        process.membership.own().incarnation
    }

    pub fn detects_its_pause(&self, member: usize) -> bool {
        let process = self.processes[member].as_ref().unwrap();
        process.membership.was_paused(self.now_ms)
    }

    pub fn max_updates(&self) -> usize {
        self.max_updates
    }

    fn running(&self) -> Vec<usize> {
        self.processes
            .iter()
            .enumerate()
            .filter(|(_, process)| process.as_ref().is_some_and(|p| p.running && !p.frozen))
            .map(|(member, _)| member)
            .collect()
    }

    fn process(&mut self, member: usize) -> &mut Process {
        self.processes[member].as_mut().unwrap()
    }

    fn tick(&mut self) {
        for member in self.running() {
            let now_ms = self.now_ms;
            let outgoing = self.process(member).membership.tick(now_ms);
            self.send(member, outgoing);
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<Datagram>, Vec<Datagram>) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|datagram| datagram.due_ms <= now_ms);
        self.datagrams = later;
        let running = self.running();
        for datagram in due {
            if running.contains(&datagram.to) {
                let process = self.process(datagram.to);
                let outgoing = process.membership.receive(datagram.message, now_ms);
                self.send(datagram.to, outgoing);
            }
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingGossip>) {
        for gossip in outgoing {
            let to = usize::from(gossip.to.port() - FIRST_PORT);
            self.record_update_count(&gossip.message);
            let lost = self.generator.random_range(0..100) < self.loss_percent;
            if lost || self.cut_links.contains(&(from, to)) || to >= self.processes.len() {
                continue;
            }
            self.datagrams.push(Datagram {
                due_ms: self.now_ms + ONE_WAY_MS,
                to,
                message: gossip.message,
            });
        }
    }

    fn record_update_count(&mut self, message: &GossipMessage) {
        let updates = match message {
            GossipMessage::Ping { updates, .. } | GossipMessage::Ack { updates, .. } => {
                updates.len()
            }
            GossipMessage::PingRequest { .. } => 0,
        };
        self.max_updates = self.max_updates.max(updates);
    }
}

fn own_member(member: usize) -> Member {
    Member {
        instance: InstanceId::try_from(format!("entry-{member}")).unwrap(),
        availability_zone: AvailabilityZone::try_from("hu-central-a").unwrap(),
        incarnation: 1,
        status: MemberStatus::Live,
        keeper_address: address(member),
        gossip_address: address(member),
    }
}

fn address(member: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(member).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member_number(member: &Member) -> usize {
    usize::from(member.gossip_address.port() - FIRST_PORT)
}
