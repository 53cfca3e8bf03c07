//! Randomized test of operators that accept configurations concurrently on an
//! in-memory table, with failed reads, and with lost and delayed transactions.
//! It guards against an accepted change being overwritten, a transaction that
//! arrives late taking effect twice, and an accept being written although it
//! was reported as not accepted.

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

/// Number of seeds.
const SEEDS: u64 = 200;
/// Number of concurrent operators.
const OPERATORS: usize = 4;
/// Steps taken by random operators under faults, before all finish their pending accepts.
const STEPS: usize = 400;

/// Returns the first seed: 1, or the value of `CORNELPOINT_SEED`.
fn first_seed() -> u64 {
    std::env::var("CORNELPOINT_SEED").map_or(1, |text| text.parse().expect("a whole number"))
}

/// An operator that repeatedly raises the queue limit of its own service.
struct Operator {
    number: usize,
    next_token: u64,
    pending: Option<(Accept, AcceptAction, AcceptRequest)>,
    accepted: Vec<(Generation, AcceptToken)>,
    not_accepted: Vec<AcceptToken>,
}

/// The table, delayed transactions that have not reached it yet, and fault injection.
struct Simulation {
    table: FakeTable,
    delayed: Vec<Transaction>,
    generator: ChaCha8Rng,
    faults: bool,
    newest: Generation,
}

impl Simulation {
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
            not_accepted: Vec::new(),
        }
    }

    fn step(&mut self, simulation: &mut Simulation) {
        let Some((mut accept, action, request)) = self.pending.take() else {
            self.begin(simulation);
            return;
        };
        if let AcceptAction::Finish(outcome) = action {
            self.finish(outcome, request);
            return;
        }
        let event = simulation.answer(&action);
        let next = accept.handle(event);
        self.pending = Some((accept, next, request));
    }

    fn begin(&mut self, simulation: &Simulation) {
        self.next_token += 1;
        let seen = simulation.head().generation;
        let mut configuration = simulation.body(seen);
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
                self.not_accepted.push(request.token);
            }
            AcceptOutcome::Unavailable => self.not_accepted.push(request.token),
            AcceptOutcome::Unknown => self.start(request),
            other => panic!("expected another outcome, found {other}"),
        }
    }
}

#[test]
fn racing_operators_lose_no_accepted_change() {
    for seed in first_seed()..first_seed() + SEEDS {
        race(seed);
    }
}

fn race(seed: u64) {
    let mut simulation = Simulation::new(seed);
    let mut operators: Vec<Operator> = (0..OPERATORS).map(Operator::new).collect();
    for _ in 0..STEPS {
        let index = simulation.generator.random_range(0..OPERATORS);
        operators[index].step(&mut simulation);
        if simulation.generator.random_ratio(1, 10) {
            simulation.deliver_one_delayed();
        }
    }
    simulation.faults = false;
    for operator in &mut operators {
        while operator.pending.is_some() {
            operator.step(&mut simulation);
        }
    }
    while !simulation.delayed.is_empty() {
        simulation.deliver_one_delayed();
    }
    check_history(seed, &simulation, &operators);
}

fn check_history(seed: u64, simulation: &Simulation, operators: &[Operator]) {
    let rows = simulation.table.scan(&history_prefix(&base().workspace));
    let history: Vec<HistoryEntry> = rows
        .iter()
        .map(|row| HistoryEntry::decode(row).unwrap())
        .collect();
    let generations: Vec<u64> = history.iter().map(|entry| entry.generation.0).collect();
    let all: Vec<u64> = (1..=simulation.head().generation.0).collect();
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
    let last = simulation.body(simulation.head().generation);
    for operator in operators {
        for (generation, token) in &operator.accepted {
            let entry = history.iter().find(|entry| entry.generation == *generation);
            assert_eq!(entry.map(|entry| entry.token), Some(*token), "seed {seed}");
        }
        for token in &operator.not_accepted {
            assert!(
                !tokens.contains(&token.0),
                "seed {seed}: token {token} was reported as not accepted but was written"
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
