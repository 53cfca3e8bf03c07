//! Calls with keys, under random interleavings of revocations, new keys, rows that can't be
//! parsed, late and truncated responses, pauses, and answers of a peer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::job::Resources;
use cornelpoint::tenant::ApiKey;
use cornelpoint::tenant::ConfigurationRead;
use cornelpoint::tenant::Confirmation;
use cornelpoint::tenant::KeyCheck;
use cornelpoint::tenant::Permission;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Refusal;
use cornelpoint::tenant::Tenants;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const SCHEDULES: u64 = 400;
const EVENTS: usize = 400;
const REVOCATION_MS: u64 = 5000;
const CONFIGURATION_MS: u64 = 3000;

/// A wrong rule, which the model has to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The age counts from the answer.
    AgeFromAnswer,
    /// A truncated response confirms.
    TruncatedConfirms,
    /// A row that can't be parsed is ignored.
    UnreadableIgnored,
    /// The age that a peer states is ignored.
    PeerAgeIgnored,
    /// The peer answers with a confirmation that rests on a peer.
    PeerThroughPeer,
    /// An unknown key is refused for good at any age.
    UnknownAtAnyAge,
}

/// The operator's row at a version; without keys if it can't be parsed.
struct Row {
    committed_ms: u64,
    keys: Option<BTreeSet<u64>>,
}

/// A process with the row that it has read last, and what it knows.
#[derive(Clone, Default)]
struct Process {
    read: Option<usize>,
    applied: Option<usize>,
    known: Confirmation,
    /// Read in flight: when it was sent and what the store answered, if it has.
    flight: Option<(u64, Option<usize>)>,
}

/// The row that a peer applies, and the age of its confirmation.
type PeerAnswer = (usize, Option<u64>);

struct World {
    random: ChaCha8Rng,
    mutant: Mutant,
    now_ms: u64,
    rows: Vec<Row>,
    next_key: u64,
    /// The process under test and its peer, which also loses the store at times.
    processes: [Process; 2],
    /// Question in flight: when it was sent and the answer, if there is one.
    question: Option<(u64, Option<PeerAnswer>)>,
    allowed: usize,
    unknown: usize,
    violations: BTreeMap<&'static str, usize>,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let keys = (0..4).collect();
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            mutant,
            now_ms: 10_000,
            rows: vec![Row {
                committed_ms: 10_000,
                keys: Some(keys),
            }],
            next_key: 4,
            processes: Default::default(),
            question: None,
            allowed: 0,
            unknown: 0,
            violations: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Self {
        for _ in 0..EVENTS {
            // Every fiftieth step is a pause of the processes or a long silence.
            self.now_ms += match self.random.random_range(0..50) {
                0 => self.random.random_range(1000..9000),
                _ => self.random.random_range(1..250),
            };
            match self.random.random_range(0..20) {
                0 => self.write(),
                1..=6 => self.step_read(0),
                7..=11 => self.step_read(1),
                12..=14 => self.step_question(),
                _ => self.call(),
            }
        }
        self
    }

    /// Adds a key, revokes one, or writes a row that can't be parsed.
    fn write(&mut self) {
        let parsed = self.rows.iter().rev().find_map(|row| row.keys.clone());
        let mut keys = parsed.unwrap_or_default();
        let keys = match self.random.random_range(0..6) {
            0 => None,
            1 | 2 => {
                keys.insert(self.next_key);
                self.next_key += 1;
                Some(keys)
            }
            _ => {
                let place = self.random.random_range(0..keys.len().max(1));
                let revoked = keys.iter().nth(place).copied();
                keys.retain(|key| Some(*key) != revoked);
                Some(keys)
            }
        };
        self.rows.push(Row {
            committed_ms: self.now_ms,
            keys,
        });
    }

    /// Sends a read, lets the store answer it, or delivers or loses the answer.
    fn step_read(&mut self, index: usize) {
        let newest = self.rows.len() - 1;
        let lost = self.random.random_bool(0.15);
        let process = &mut self.processes[index];
        match process.flight.take() {
            None => process.flight = Some((self.now_ms, None)),
            Some(_) if lost => {}
            Some((sent_ms, None)) => process.flight = Some((sent_ms, Some(newest))),
            Some((sent_ms, Some(row))) => self.deliver(index, sent_ms, row),
        }
    }

    fn deliver(&mut self, index: usize, mut sent_ms: u64, row: usize) {
        let now_ms = self.now_ms;
        let mut complete = !self.random.random_bool(0.2);
        let readable = self.rows[row].keys.is_some();
        let process = &mut self.processes[index];
        // A truncated response lacks the rows after it; the next read has them.
        let read = if !complete || process.read == Some(row) {
            ConfigurationRead::Unchanged
        } else if readable {
            process.applied = process.applied.max(Some(row));
            process.read = Some(row);
            let version = version(row);
            ConfigurationRead::Parsed { version }
        } else {
            process.read = Some(row);
            match self.mutant {
                Mutant::UnreadableIgnored => ConfigurationRead::Unchanged,
                _ => ConfigurationRead::Unreadable,
            }
        };
        if self.mutant == Mutant::AgeFromAnswer {
            sent_ms = now_ms;
        }
        complete |= self.mutant == Mutant::TruncatedConfirms;
        process.known.read_answered(read, sent_ms, complete, now_ms);
    }

    /// Sends a question to the peer, lets it answer, or delivers the answer. For one mutant
    /// the peer asks back.
    fn step_question(&mut self) {
        let now_ms = self.now_ms;
        let peer = self.processes[1].clone();
        match self.question.take() {
            None => self.question = Some((now_ms, None)),
            Some((sent_ms, None)) => {
                let through_peer = self.mutant == Mutant::PeerThroughPeer;
                let age_ms = if through_peer {
                    // Its own peer has no confirmation but that of this process.
                    self.processes[0].known.age_ms(now_ms).map(|_| 0)
                } else {
                    peer.known.store_age_ms(now_ms)
                };
                let answer = peer.applied.map(|row| (row, age_ms));
                self.question = answer.map(|answer| (sent_ms, Some(answer)));
            }
            Some((sent_ms, Some((row, mut age_ms)))) => {
                if self.mutant == Mutant::PeerAgeIgnored {
                    age_ms = age_ms.map(|_| 0);
                }
                let process = &mut self.processes[0];
                process.applied = process.applied.max(Some(row));
                process.known.applied(version(row), now_ms);
                process.known.peer_answered(version(row), age_ms, sent_ms);
            }
        }
    }

    /// A call that a client sent some time ago, and that is decided now.
    fn call(&mut self) {
        let key = self.random.random_range(0..self.next_key + 1);
        let sent_ms = self.now_ms - self.random.random_range(0..100);
        let process = &self.processes[0];
        let row = process.applied.and_then(|row| self.rows[row].keys.as_ref());
        let check = KeyCheck::new(REVOCATION_MS);
        let age_ms = process.known.age_ms(self.now_ms);
        let age_ms = match self.mutant {
            Mutant::UnknownAtAnyAge => age_ms.map(|age_ms| age_ms.min(1000)),
            _ => age_ms,
        };
        let tenants = tenants(row);
        let text = format!("key-{key}");
        let held = |row: &Row| row.keys.as_ref().is_some_and(|keys| keys.contains(&key));
        // Keys never come back, so that the first row without a key that was held revokes it.
        let first = self.rows.iter().position(&held);
        let rows = self.rows.iter().skip(first.unwrap_or(0));
        let mut later = rows.filter(|row| row.keys.is_some());
        let revoked_ms = later.find(|row| !held(row)).map(|row| row.committed_ms);
        let violation = match check.decide(&tenants, Some(text.as_bytes()), false, age_ms) {
            Permission::Allowed(_) => {
                self.allowed += 1;
                match (first, revoked_ms) {
                    (None, _) => Some("unknown key"),
                    (_, Some(revoked_ms)) if sent_ms > revoked_ms + REVOCATION_MS => {
                        Some("revoked key")
                    }
                    _ => None,
                }
            }
            Permission::Refused(Refusal::UnknownKey) => {
                self.unknown += 1;
                let added_ms = first.map(|row| self.rows[row].committed_ms);
                let due = added_ms.is_some_and(|added| sent_ms > added + CONFIGURATION_MS);
                (due && revoked_ms.is_none()).then_some("new key")
            }
            Permission::Refused(_) => None,
        };
        if let Some(violation) = violation {
            *self.violations.entry(violation).or_default() += 1;
        }
    }
}

fn version(row: usize) -> u64 {
    u64::try_from(row).unwrap() + 1
}

fn tenants(keys: Option<&BTreeSet<u64>>) -> Tenants {
    let keys = keys.into_iter().flatten();
    let keys = keys.map(|key| ApiKey::new(&format!("key-{key}")));
    Tenants::check(vec![Some(RawTenant {
        name: "north".to_owned(),
        keys: keys.collect(),
        weight_milli: 1000,
        limit: Resources::default(),
    })])
}

fn worlds(mutant: Mutant) -> impl Iterator<Item = (u64, World)> {
    let seed = std::env::var("CORNELPOINT_SEED").ok();
    let first = seed.and_then(|seed| seed.parse::<u64>().ok()).unwrap_or(1) * 1_000_000;
    (first..first + SCHEDULES).map(move |seed| (seed, World::new(seed, mutant).run()))
}

/// Guards against calls that are carried out with a key that no configuration ever held, or
/// that was revoked longer ago than the bound; and against new keys that are refused for good.
#[test]
fn keys_are_accepted_and_refused_within_the_bounds() {
    let (mut allowed, mut unknown) = (0, 0);
    for (seed, world) in worlds(Mutant::None) {
        assert_eq!(world.violations, BTreeMap::new(), "seed {seed}");
        allowed += world.allowed;
        unknown += world.unknown;
    }
    let schedules = usize::try_from(SCHEDULES).unwrap();
    assert!(allowed > schedules, "only {allowed} calls were allowed");
    assert!(unknown > schedules, "only {unknown} keys were unknown");
}

/// Guards against a lower version that is taken for a late response, and the reverse: one that
/// was read before a peer sent the version in force.
#[test]
fn lower_version_confirms_unless_the_response_is_late() {
    let lower = ConfigurationRead::Parsed { version: 4 };
    let mut known = Confirmation::default();
    known.read_answered(ConfigurationRead::Parsed { version: 3 }, 100, true, 110);
    known.applied(5, 200);
    known.read_answered(lower, 150, true, 210);
    assert_eq!(known.confirmed_ms(), Some(150));
    // Another process may have started after the version went back.
    assert!(!known.peer_answered(4, Some(0), 205));
    assert_eq!(known.confirmed_ms(), Some(150));
    known.read_answered(lower, 210, true, 220);
    assert_eq!(known.confirmed_ms(), None);
    assert!(!known.peer_answered(5, Some(0), 300));
    known.read_answered(ConfigurationRead::Unchanged, 310, true, 320);
    assert_eq!(known.confirmed_ms(), None);
    known.read_answered(ConfigurationRead::Parsed { version: 6 }, 330, true, 340);
    assert_eq!(known.confirmed_ms(), Some(330));
}

/// Guards against a model that can't tell the rules from wrong ones.
#[test]
fn wrong_rules_break_the_bounds() {
    let mutants = [
        (Mutant::AgeFromAnswer, "revoked key"),
        (Mutant::TruncatedConfirms, "revoked key"),
        (Mutant::PeerAgeIgnored, "revoked key"),
        (Mutant::PeerThroughPeer, "revoked key"),
        (Mutant::UnreadableIgnored, "new key"),
        (Mutant::UnknownAtAnyAge, "new key"),
    ];
    for (mutant, violation) in mutants {
        let caught = worlds(mutant).any(|(_, world)| world.violations.contains_key(violation));
        assert!(caught, "not caught: {mutant:?}");
    }
}
