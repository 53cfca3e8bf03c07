//! Operators that race each other under faults, on a table in memory.

mod accepting_support;

use std::collections::BTreeSet;

use accepting_support::FakeTable;
use accepting_support::base;
use accepting_support::request;
use accepting_support::run;
use cornelpoint::configuration::Accept;
use cornelpoint::configuration::AcceptAction;
use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptEvent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Head;
use cornelpoint::configuration::HistoryEntry;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::configuration::head_key;
use cornelpoint::configuration::history_prefix;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Seeds of the test.
const SEEDS: u64 = 200;
/// Operators that race.
const OPERATORS: usize = 4;
/// Steps that the operators take together before they finish what they began.
const STEPS: usize = 400;

/// Number of the first seed; `CORNELPOINT_SEED` gives another.
fn first_seed() -> u64 {
    std::env::var("CORNELPOINT_SEED").map_or(1, |text| text.parse().expect("a whole number"))
}

/// An operator that raises a limit of its own service, over and over.
struct Operator {
    number: usize,
    next_token: u64,
    pending: Option<(Accept, AcceptAction, AcceptRequest)>,
    accepted: Vec<(Generation, AcceptToken)>,
    refused: Vec<AcceptToken>,
}

/// The table, transactions still on their way to it, and the faults.
struct World {
    table: FakeTable,
    delayed: Vec<Transaction>,
    generator: ChaCha8Rng,
    faults: bool,
    newest: Generation,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut table = FakeTable::default();
        let first = AcceptContent::Given(Box::new(base()));
        run(&mut table, request(0, u64::MAX, "first", first));
        Self {
            table,
            delayed: Vec::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            faults: true,
            newest: Generation(1),
        }
    }

    fn head(&self) -> Head {
        let rows = self.table.read(&[head_key(&base().workspace)]);
        Head::decode(&rows[0]).unwrap()
    }

    fn body(&self, generation: Generation) -> Configuration {
        let rows = self.table.read(&[body_key(&base().workspace, generation)]);
        decode_body(&rows[0]).unwrap()
    }

    fn answer(&mut self, action: &AcceptAction) -> AcceptEvent {
        match action {
            AcceptAction::Read(_) if self.faults && self.generator.random_ratio(1, 6) => {
                AcceptEvent::ReadFailed
            }
            AcceptAction::Read(keys) => AcceptEvent::Rows(self.table.read(keys)),
            AcceptAction::Transact(transaction) => self.transact(transaction),
            AcceptAction::Finish(_) => panic!("expected an action to answer"),
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> AcceptEvent {
        let fault = if self.faults {
            self.generator.random_range(0..8)
        } else {
            7
        };
        match fault {
            0 => AcceptEvent::NotTransacted,
            1 => AcceptEvent::AnswerLost,
            2 => {
                self.delayed.push(transaction.clone());
                AcceptEvent::AnswerLost
            }
            3 => {
                self.commit(transaction);
                AcceptEvent::AnswerLost
            }
            4 => {
                self.delayed.push(transaction.clone());
                AcceptEvent::Transacted(self.commit(transaction))
            }
            _ => AcceptEvent::Transacted(self.commit(transaction)),
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.table.transact(transaction);
        let newest = self.head().generation;
        assert!(newest >= self.newest, "expected generations that grow");
        self.newest = newest;
        outcome
    }

    fn deliver_one_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let index = self.generator.random_range(0..self.delayed.len());
            let transaction = self.delayed.swap_remove(index);
            self.commit(&transaction);
        }
    }
}

impl Operator {
    fn new(number: usize) -> Self {
        Self {
            number,
            next_token: u64::try_from(number).unwrap() * 1_000_000,
            pending: None,
            accepted: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn step(&mut self, world: &mut World) {
        let Some((mut accept, action, request)) = self.pending.take() else {
            self.begin(world);
            return;
        };
        if let AcceptAction::Finish(outcome) = action {
            self.finish(outcome, request);
            return;
        }
        let event = world.answer(&action);
        let next = accept.handle(event);
        self.pending = Some((accept, next, request));
    }

    fn begin(&mut self, world: &World) {
        self.next_token += 1;
        let seen = world.head().generation;
        let mut configuration = world.body(seen);
        configuration.services[self.number].queue_limit += 1;
        let content = AcceptContent::Given(Box::new(configuration));
        let request = request(seen.0, self.next_token, "operator", content);
        self.start(request);
    }

    fn start(&mut self, request: AcceptRequest) {
        let mut accept = Accept::new(request.clone());
        let action = accept.start();
        self.pending = Some((accept, action, request));
    }

    fn finish(&mut self, outcome: AcceptOutcome, request: AcceptRequest) {
        match outcome {
            AcceptOutcome::Accepted { generation } => {
                self.accepted.push((generation, request.token));
            }
            AcceptOutcome::Conflict { seen, current, .. } => {
                assert!(current > seen, "expected a newer generation than {seen}");
                self.refused.push(request.token);
            }
            AcceptOutcome::Unavailable => self.refused.push(request.token),
            AcceptOutcome::Unknown => self.start(request),
            other => panic!("expected another outcome, found {other}"),
        }
    }
}

#[test]
fn racing_operators_lose_nothing() {
    for seed in first_seed()..first_seed() + SEEDS {
        race(seed);
    }
}

fn race(seed: u64) {
    let mut world = World::new(seed);
    let mut operators: Vec<Operator> = (0..OPERATORS).map(Operator::new).collect();
    for _ in 0..STEPS {
        let index = world.generator.random_range(0..OPERATORS);
        operators[index].step(&mut world);
        if world.generator.random_ratio(1, 10) {
            world.deliver_one_delayed();
        }
    }
    world.faults = false;
    for operator in &mut operators {
        while operator.pending.is_some() {
            operator.step(&mut world);
        }
    }
    while !world.delayed.is_empty() {
        world.deliver_one_delayed();
    }
    check_history(seed, &world, &operators);
}

fn check_history(seed: u64, world: &World, operators: &[Operator]) {
    let rows = world.table.scan(&history_prefix(&base().workspace));
    let history: Vec<HistoryEntry> = rows
        .iter()
        .map(|row| HistoryEntry::decode(row).unwrap())
        .collect();
    let generations: Vec<u64> = history.iter().map(|entry| entry.generation.0).collect();
    let all: Vec<u64> = (1..=world.head().generation.0).collect();
    assert_eq!(
        generations, all,
        "seed {seed}: expected every generation once"
    );
    let tokens: BTreeSet<u64> = history.iter().map(|entry| entry.token.0).collect();
    assert_eq!(
        tokens.len(),
        history.len(),
        "seed {seed}: expected each token once"
    );
    let last = world.body(world.head().generation);
    for operator in operators {
        for (generation, token) in &operator.accepted {
            let entry = history.iter().find(|entry| entry.generation == *generation);
            assert_eq!(entry.map(|entry| entry.token), Some(*token), "seed {seed}");
        }
        for token in &operator.refused {
            assert!(
                !tokens.contains(&token.0),
                "seed {seed}: {token} was refused and written"
            );
        }
        let raised = last.services[operator.number].queue_limit
            - base().services[operator.number].queue_limit;
        let accepted = u32::try_from(operator.accepted.len()).unwrap();
        assert_eq!(
            raised, accepted,
            "seed {seed}: expected no accepted change to be lost"
        );
    }
}
