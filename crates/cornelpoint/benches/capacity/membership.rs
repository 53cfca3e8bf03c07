//! Membership over a simulated network, in one process and in virtual time.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::membership::Membership;
use cornelpoint::membership::MembershipSettings;
use cornelpoint::membership::OutgoingGossip;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::encoded_bytes;
use super::inputs::entry;
use super::inputs::zone;

const SIZES: [usize; 6] = [8, 50, 200, 500, 1_000, 2_000];
const ZONES: usize = 11;
const TICK_MS: u64 = 20;
const LATENCY_MS: u64 = 1;
const LOST_PER_MILLE: u32 = 10;
const STEADY_MS: u64 = 5_000;
const DETECTION_LIMIT_MS: u64 = 10_000;
/// Members whose views are checked for the killed member.
const OBSERVERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Cost {
    messages_per_s: f64,
    bytes_per_s: f64,
    cpu_us_per_s: f64,
    list_bytes: f64,
    first_ms: Option<u64>,
    all_ms: Option<u64>,
    refutations: u64,
    false_failures: usize,
}

/// Prints the tables of membership.
pub fn print(seed: u64) {
    println!("\n## Membership\n");
    println!("One datagram in a hundred is lost; one member is killed after 5 s.\n");
    println!(
        "| members | messages/s | bytes/s sent | CPU us/s | bytes of the member list in a view | killed: first detection, ms | killed: detected by all, ms | false suspicions | false failures |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    let costs: Vec<Cost> = SIZES.iter().map(|&size| print_cost(size, seed)).collect();
    print_line_head();
    let points = |value: fn(&Cost) -> f64| points(&costs, value);
    print_line(
        "messages sent",
        "1/s",
        "member",
        &points(|c| c.messages_per_s),
    );
    print_line(
        "bytes sent",
        "bytes/s",
        "member",
        &points(|c| c.bytes_per_s),
    );
    print_line("CPU", "us/s", "member", &points(|c| c.cpu_us_per_s));
    print_line(
        "member list in a view",
        "bytes",
        "member",
        &points(|c| c.list_bytes),
    );
}

fn points(costs: &[Cost], value: fn(&Cost) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .zip(costs)
        .map(|(&size, cost)| Point {
            size: size as f64,
            value: value(cost),
        })
        .collect()
}

fn print_cost(size: usize, seed: u64) -> Cost {
    let cost = cost(size, seed);
    let time = |time_ms: Option<u64>| time_ms.map_or("none".to_owned(), |ms| ms.to_string());
    println!(
        "| {size} | {:.1} | {:.0} | {:.0} | {:.0} | {} | {} | {} | {} |",
        cost.messages_per_s,
        cost.bytes_per_s,
        cost.cpu_us_per_s,
        cost.list_bytes,
        time(cost.first_ms),
        time(cost.all_ms),
        cost.refutations,
        cost.false_failures,
    );
    cost
}

fn cost(size: usize, seed: u64) -> Cost {
    let mut network = Network::new(size, seed);
    let started = Instant::now();
    network.run_until(STEADY_MS);
    let spent_us = started.elapsed().as_secs_f64() * 1e6;
    let member_seconds = size as f64 * STEADY_MS as f64 / 1_000.0;
    let (messages, bytes) = (network.messages, network.bytes);
    let (first_ms, all_ms) = network.measure_detection();
    let present: Vec<Member> = network.members[0].present().cloned().collect();
    black_box(&network);
    Cost {
        messages_per_s: messages as f64 / member_seconds,
        bytes_per_s: bytes as f64 / member_seconds,
        cpu_us_per_s: spent_us / member_seconds,
        list_bytes: encoded_bytes(&present) as f64,
        first_ms,
        all_ms,
        refutations: network.refutations(),
        false_failures: network.false_failures(),
    }
}

/// Members and the datagrams between them.
struct Network {
    members: Vec<Membership>,
    index_by_address: BTreeMap<SocketAddr, usize>,
    arriving: Vec<OutgoingGossip>,
    killed: Option<usize>,
    now_ms: u64,
    messages: u64,
    bytes: u64,
    generator: ChaCha8Rng,
}

impl Network {
    /// Creates members that all know each other.
    fn new(size: usize, seed: u64) -> Self {
        let all: Vec<Member> = (0..size).map(member).collect();
        let members = (0..size)
            .map(|number| {
                let own_seed = seed.wrapping_add(number as u64);
                member_knowing_all(&all, number, own_seed)
            })
            .collect();
        Self {
            members,
            index_by_address: all
                .iter()
                .enumerate()
                .map(|(number, member)| (member.gossip_address, number))
                .collect(),
            arriving: Vec::new(),
            killed: None,
            now_ms: 0,
            messages: 0,
            bytes: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += LATENCY_MS;
            self.deliver();
            self.tick();
        }
    }

    fn deliver(&mut self) {
        for gossip in std::mem::take(&mut self.arriving) {
            let index = self.index_by_address[&gossip.to];
            if self.killed == Some(index) {
                continue;
            }
            let sent = self.members[index].receive(gossip.message, self.now_ms);
            self.send(sent);
        }
    }

    /// Ticks the members that are due; ticks are spread evenly over the tick
    /// interval.
    fn tick(&mut self) {
        let first = (self.now_ms % TICK_MS) as usize;
        for index in (first..self.members.len()).step_by(TICK_MS as usize) {
            if self.killed == Some(index) {
                continue;
            }
            let sent = self.members[index].tick(self.now_ms);
            self.send(sent);
        }
    }

    fn send(&mut self, sent: Vec<OutgoingGossip>) {
        for gossip in sent {
            let datagram = rmp_serde::to_vec(&gossip.message).expect("plain data is serializable");
            self.messages += 1;
            self.bytes += datagram.len() as u64;
            let lost = self.generator.next_u32() % 1_000 < LOST_PER_MILLE;
            if !lost {
                let message = rmp_serde::from_slice(&datagram).expect("data was just encoded");
                self.arriving.push(OutgoingGossip {
                    to: gossip.to,
                    message,
                });
            }
        }
    }

    /// Kills one member; returns the times after which the first observer and
    /// all observers have detected it.
    fn measure_detection(&mut self) -> (Option<u64>, Option<u64>) {
        let killed_member = self.members.len() - 1;
        self.killed = Some(killed_member);
        let killed_ms = self.now_ms;
        let mut first_ms = None;
        while self.now_ms < killed_ms + DETECTION_LIMIT_MS {
            self.run_until(self.now_ms + TICK_MS);
            let observers = killed_member.min(OBSERVERS);
            let aware = (0..observers)
                .filter(|&index| !self.lists_member(index, killed_member))
                .count();
            let after_ms = self.now_ms - killed_ms;
            if aware > 0 {
                first_ms = first_ms.or(Some(after_ms));
            }
            if aware == observers {
                return (first_ms, Some(after_ms));
            }
        }
        (first_ms, None)
    }

    fn lists_member(&self, index: usize, other: usize) -> bool {
        let instance = &self.members[other].own().instance;
        self.members[index]
            .present()
            .any(|member| member.instance == *instance)
    }

    /// Returns how often live members had to refute a suspicion.
    fn refutations(&self) -> u64 {
        self.members
            .iter()
            .map(|member| member.own().incarnation - 1)
            .sum()
    }

    /// Returns the most live members that one observer considers failed at the
    /// end.
    fn false_failures(&self) -> usize {
        let living = self.members.len() - 1;
        (0..living.min(OBSERVERS))
            .map(|index| living.saturating_sub(self.members[index].present().count()))
            .max()
            .unwrap_or(0)
    }
}

/// Creates a member that has received the updates of all members.
pub fn member_knowing_all(all: &[Member], number: usize, seed: u64) -> Membership {
    let mut membership = Membership::new(
        all[number].clone(),
        Vec::new(),
        MembershipSettings::default(),
        seed,
        0,
    );
    let from = &all[(number + 1) % all.len()];
    membership.receive(
        GossipMessage::Ping {
            sequence: 1,
            from: from.clone(),
            updates: all.to_vec(),
        },
        0,
    );
    membership
}

pub fn member(number: usize) -> Member {
    let octet =
        |shift: usize| u8::try_from(number >> shift & 0xff).expect("masked value fits in a byte");
    let address = |port| SocketAddr::from(([10, 1, octet(8), octet(0)], port));
    Member {
        instance: entry(number),
        availability_zone: zone(number % ZONES),
        incarnation: 1,
        status: MemberStatus::Live,
        keeper_address: address(7_001),
        gossip_address: address(7_002),
    }
}
