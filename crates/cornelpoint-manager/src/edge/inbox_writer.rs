use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::inbox::InboxConflict;
use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::InboxOutcome;
use cornelpoint::inbox::InboxQueue;
use cornelpoint::inbox::InboxWriteResult;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobId;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::node::Node;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::TransactionOutcome;

/// Longest wait for a request to be written: the time-out of a call to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest value of a request. Two dozen of them, encoded, stay within the store's
/// limit of 1 MB for a transaction.
const MAX_VALUE_BYTES: usize = 20_000;

/// Writes the requests of this process to the inbox of one pool.
pub(crate) struct InboxWriter {
    pool: String,
    queue: RefCell<InboxQueue>,
    requests: RefCell<BTreeMap<InboxKey, PendingWrite>>,
    is_writing: Cell<bool>,
}

/// A request that waits to be written.
struct PendingWrite {
    value: Vec<u8>,
    waiters: Vec<oneshot::Sender<InboxOutcome>>,
}

impl InboxWriter {
    /// Creates a writer without requests. The names of the instance and the pool
    /// set its jitter apart from that of other writers.
    pub(crate) fn new(node: &str, pool: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (node, pool).hash(&mut hasher);
        let random = ChaCha8Rng::seed_from_u64(hasher.finish());
        Self {
            pool: pool.to_owned(),
            queue: RefCell::new(InboxQueue::new(random)),
            requests: RefCell::default(),
            is_writing: Cell::new(false),
        }
    }

    /// Stores a request, together with others that arrive meanwhile.
    pub(super) async fn store(
        self: &Rc<Self>,
        node: &Rc<Node>,
        key: InboxKey,
        value: Vec<u8>,
    ) -> InboxOutcome {
        if value.len() > MAX_VALUE_BYTES || !self.queue.borrow_mut().push(key) {
            return InboxOutcome::Refused;
        }
        let (sender, receiver) = oneshot::channel();
        self.requests
            .borrow_mut()
            .entry(key)
            .or_insert_with(|| PendingWrite {
                value,
                waiters: Vec::new(),
            })
            .waiters
            .push(sender);
        if !self.is_writing.replace(true) {
            spawn_local(Rc::clone(self).write_queue(Rc::clone(node)));
        }
        match timeout(WRITE_TIMEOUT, receiver).await {
            Ok(Ok(outcome)) => outcome,
            _ if self.queue.borrow_mut().withdraw(key) => {
                self.reply(key, InboxOutcome::Refused);
                InboxOutcome::Refused
            }
            _ => InboxOutcome::Uncertain,
        }
    }

    /// Writes until no request waits.
    async fn write_queue(self: Rc<Self>, node: Rc<Node>) {
        loop {
            let keys = self.queue.borrow_mut().begin_write(clock::now().steady_ms);
            if keys.is_empty() {
                let Some(next_ms) = self.queue.borrow().next_write_ms() else {
                    self.is_writing.set(false);
                    return;
                };
                tokio::time::sleep(clock::until(next_ms)).await;
                continue;
            }
            let transaction = self.transaction(&keys);
            let result = match node.store.transact(&transaction).await {
                TransactionOutcome::Committed { .. } => InboxWriteResult::Committed,
                TransactionOutcome::Conflict(rows) => InboxWriteResult::Conflict(conflict(&rows)),
                TransactionOutcome::Refused | TransactionOutcome::Invalid => {
                    InboxWriteResult::Refused
                }
                TransactionOutcome::Unknown => InboxWriteResult::Unknown,
            };
            let now_ms = clock::now().steady_ms;
            let outcomes = self.queue.borrow_mut().write_replied(&result, now_ms);
            for (key, outcome) in outcomes {
                self.reply(key, outcome);
            }
        }
    }

    fn reply(&self, key: InboxKey, outcome: InboxOutcome) {
        let request = self.requests.borrow_mut().remove(&key);
        for waiter in request.into_iter().flat_map(|request| request.waiters) {
            // Sending fails only if the caller no longer waits.
            let _ = waiter.send(outcome);
        }
    }

    fn transaction(&self, keys: &[InboxKey]) -> Transaction {
        let requests = self.requests.borrow();
        let mut transaction = Transaction::default();
        for key in keys {
            let row_key = RowKey::new(INBOX_TABLE, &self.pool, key.to_string());
            let key_of = |key: InboxKey| RowKey::new(INBOX_TABLE, &self.pool, key.to_string());
            let absent = match *key {
                InboxKey::Submit(job) => vec![row_key.clone(), key_of(InboxKey::Cancel(job))],
                InboxKey::Withdraw(job) => vec![key_of(InboxKey::Submit(job))],
                InboxKey::Cancel(_) => Vec::new(),
            };
            if let InboxKey::Submit(job) | InboxKey::Withdraw(job) = key {
                let job_key = RowKey::new(JOB_TABLE, &self.pool, job.to_string());
                transaction.conditions.push((job_key, 0));
            }
            let absent = absent.into_iter().map(|key| (key, 0));
            transaction.conditions.extend(absent);
            let value = requests.get(key).map(|request| request.value.clone());
            transaction
                .writes
                .push((row_key, value.unwrap_or_default()));
        }
        transaction
    }
}

/// Returns what the rows of a conflict say.
fn conflict(rows: &[Row]) -> InboxConflict {
    let mut conflict = InboxConflict::default();
    for row in rows.iter().filter(|row| row.version > 0) {
        if row.key.table == JOB_TABLE {
            conflict.jobs.extend(row.key.key.parse::<JobId>());
            continue;
        }
        match InboxKey::parse(&row.key.key) {
            Some(InboxKey::Submit(job)) => {
                conflict.jobs.insert(job);
            }
            Some(InboxKey::Cancel(job) | InboxKey::Withdraw(job)) => {
                let value = row.value.as_deref().unwrap_or_default();
                conflict.withdrawn.insert(job, Withdrawal::of(value));
            }
            None => {}
        }
    }
    conflict
}
