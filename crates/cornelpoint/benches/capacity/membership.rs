//! Members over a network in one process, in virtual time.

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
const LOST_OF_THOUSAND: u32 = 10;
const STEADY_MS: u64 = 5_000;
const DETECTION_LIMIT_MS: u64 = 10_000;
/// Members whose views are looked at for the killed one.
const OBSERVERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Cost {
    messages_per_s: f64,
    bytes_per_s: f64,
    cpu_us_per_s: f64,
    list_bytes: f64,
    first_ms: Option<u64>,
    all_ms: Option<u64>,
    refuted: u64,
    wrongly_failed: usize,
}

/// Prints the tables of membership.
pub fn print(seed: u64) {
    println!("\n## Membership\n");
    println!("One datagram in a hundred is lost; one member is killed after 5 s.\n");
    println!(
        "| members | messages/s | bytes/s sent | processor us/s | bytes of the members in a view | killed: first knows, ms | killed: all know, ms | suspected wrongly | failed wrongly |"
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
    print_line("processor", "us/s", "member", &points(|c| c.cpu_us_per_s));
    print_line(
        "members in a view",
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
        cost.refuted,
        cost.wrongly_failed,
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
    let (first_ms, all_ms) = network.kill_and_watch();
    let present: Vec<Member> = network.members[0].present().cloned().collect();
    black_box(&network);
    Cost {
        messages_per_s: messages as f64 / member_seconds,
        bytes_per_s: bytes as f64 / member_seconds,
        cpu_us_per_s: spent_us / member_seconds,
        list_bytes: encoded_bytes(&present) as f64,
        first_ms,
        all_ms,
        refuted: network.refuted(),
        wrongly_failed: network.wrongly_failed(),
    }
}

/// Members and the datagrams between them.
struct Network {
    members: Vec<Membership>,
    places: BTreeMap<SocketAddr, usize>,
    arriving: Vec<OutgoingGossip>,
    killed: Option<usize>,
    now_ms: u64,
    messages: u64,
    bytes: u64,
    generator: ChaCha8Rng,
}

impl Network {
    /// Members who all know each other.
    fn new(size: usize, seed: u64) -> Self {
        let all: Vec<Member> = (0..size).map(member).collect();
        let members = (0..size)
            .map(|number| {
                let own_seed = seed.wrapping_add(number as u64);
                acquainted(&all, number, own_seed)
            })
            .collect();
        Self {
            members,
            places: all
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
            let place = self.places[&gossip.to];
            if self.killed == Some(place) {
                continue;
            }
            let sent = self.members[place].receive(gossip.message, self.now_ms);
            self.send(sent);
        }
    }

    /// Members tick one after another, spread over the tick's length.
    fn tick(&mut self) {
        let first = (self.now_ms % TICK_MS) as usize;
        for place in (first..self.members.len()).step_by(TICK_MS as usize) {
            if self.killed == Some(place) {
                continue;
            }
            let sent = self.members[place].tick(self.now_ms);
            self.send(sent);
        }
    }

    fn send(&mut self, sent: Vec<OutgoingGossip>) {
        for gossip in sent {
            let datagram = rmp_serde::to_vec(&gossip.message).expect("plain data can be coded");
            self.messages += 1;
            self.bytes += datagram.len() as u64;
            let lost = self.generator.next_u32() % 1_000 < LOST_OF_THOUSAND;
            if !lost {
                let message = rmp_serde::from_slice(&datagram).expect("it was just coded");
                self.arriving.push(OutgoingGossip {
                    to: gossip.to,
                    message,
                });
            }
        }
    }

    /// Kills one member; when the first and the last observer know.
    fn kill_and_watch(&mut self) -> (Option<u64>, Option<u64>) {
        let victim = self.members.len() - 1;
        self.killed = Some(victim);
        let killed_ms = self.now_ms;
        let mut first_ms = None;
        while self.now_ms < killed_ms + DETECTION_LIMIT_MS {
            self.run_until(self.now_ms + TICK_MS);
            let observers = victim.min(OBSERVERS);
            let aware = (0..observers)
                .filter(|&place| !self.sees(place, victim))
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

    fn sees(&self, place: usize, other: usize) -> bool {
        let instance = &self.members[other].own().instance;
        self.members[place]
            .present()
            .any(|member| member.instance == *instance)
    }

    /// Times that a living member had to refute a suspicion.
    fn refuted(&self) -> u64 {
        self.members
            .iter()
            .map(|member| member.own().incarnation - 1)
            .sum()
    }

    /// Most living members that one observer holds for failed at the end.
    fn wrongly_failed(&self) -> usize {
        let living = self.members.len() - 1;
        (0..living.min(OBSERVERS))
            .map(|place| living.saturating_sub(self.members[place].present().count()))
            .max()
            .unwrap_or(0)
    }
}

/// A member that has heard of all.
pub fn acquainted(all: &[Member], number: usize, seed: u64) -> Membership {
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
    let octet = |shift: usize| u8::try_from(number >> shift & 0xff).expect("one byte");
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
