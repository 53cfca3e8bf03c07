use cornelpoint::claim::ClaimAction;
use cornelpoint::claim::ClaimBatcher;
use cornelpoint::claim::ClaimId;
use cornelpoint::claim::ClaimKey;
use cornelpoint::claim::ClaimRequest;
use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::ClaimSettings;
use cornelpoint::claim::Claimant;
use cornelpoint::claim::Fingerprint;
use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::StoreCall;
use cornelpoint::claim::StoreRequest;
use cornelpoint::name::InstanceId;
use cornelpoint::name::ServiceName;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::request::Method;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::FakeTable;
use super::START_MS;

/// A gateway's batcher that a test drives step by step.
pub struct ClaimScript {
    pub batcher: ClaimBatcher,
    pub now_ms: u64,
    pub granted: Vec<HeldClaim>,
    lines: Vec<String>,
}

impl ClaimScript {
    pub fn new(name: &str) -> Self {
        let claimant = Claimant {
            instance: InstanceId::try_from(name).expect("the name is valid"),
            incarnation: 1,
        };
        let random = ChaCha8Rng::seed_from_u64(1);
        Self {
            batcher: ClaimBatcher::new(claimant, ClaimSettings::default(), random),
            now_ms: START_MS,
            granted: Vec::new(),
            lines: Vec::new(),
        }
    }

    /// Submits a claim whose deadline is in two seconds.
    pub fn claim(&mut self, id: u64, key: &str, body: &str) {
        let service = ServiceName::try_from("controller").expect("the name is valid");
        let key = ClaimKey::try_from(key).expect("the key is valid");
        let claim = ClaimRequest {
            id: ClaimId(id),
            row_name: ClaimRowName::new(&service, &key),
            fingerprint: Fingerprint::new(Method::Post, &service, "/", body.as_bytes()),
            decide_by_ms: self.now_ms + 2000,
            deadline_ms: self.now_ms + 2000,
        };
        let rejected = self.batcher.submit(claim, self.now_ms);
        self.record(rejected);
    }

    /// Returns the next store call, which must be due.
    pub fn call(&mut self) -> StoreRequest {
        let due = self.batcher.next_request(self.now_ms);
        due.expect("a store call is due")
    }

    /// Makes store calls until none is due, and returns their number.
    pub fn run_calls(&mut self, table: &mut FakeTable) -> u64 {
        let mut calls = 0;
        while let Some(request) = self.batcher.next_request(self.now_ms) {
            calls += 1;
            let (id, now_ms) = (request.id, self.now_ms);
            let actions = match request.call {
                StoreCall::Read(keys) => self.batcher.on_read(id, &table.read(&keys), now_ms),
                StoreCall::Transact(transaction) => match table.transact(&transaction) {
                    TransactionOutcome::Committed => self.batcher.on_committed(id, now_ms),
                    TransactionOutcome::Conflict { current } => {
                        self.batcher.on_conflict(id, &current, now_ms)
                    }
                },
            };
            self.record(actions);
        }
        calls
    }

    /// Advances the clock and expires what is overdue.
    pub fn advance(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        let actions = self.batcher.expire(self.now_ms);
        self.record(actions);
    }

    /// Returns the decisions since the last call, ordered by request.
    pub fn take_decisions(&mut self) -> String {
        self.lines.sort();
        std::mem::take(&mut self.lines).join("\n")
    }

    fn record(&mut self, actions: impl IntoIterator<Item = ClaimAction>) {
        for action in actions {
            let line = match action {
                ClaimAction::Granted { id, claim } => {
                    self.granted.push(claim);
                    format!("{}: granted", id.0)
                }
                ClaimAction::HeldByOther { id, row } => {
                    let state = format!("{:?}", row.state);
                    format!("{}: held by {}, {state}", id.0, row.claimant.instance)
                }
                ClaimAction::KeyReused { id } => format!("{}: key reused", id.0),
                ClaimAction::Unavailable { id } => format!("{}: unavailable", id.0),
            };
            self.lines.push(line);
        }
    }
}
