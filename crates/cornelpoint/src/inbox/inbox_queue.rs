use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand_chacha::ChaCha8Rng;

use super::inbox_key::InboxKey;
use super::withdrawal::Withdrawal;
use crate::job::JobId;
use crate::retry::Backoff;

/// Most requests in one transaction. A submission takes four of the 100
/// entries that the store allows: three conditions and a row.
const MAX_BATCH: usize = 24;
/// Most requests that wait for the next transactions. More would wait longer
/// than their callers do.
const MAX_WAITING: usize = 2 * MAX_BATCH;
/// Upper bound of the pause after the first failed transaction.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Upper bound of any pause, below the usual deadline of a caller.
const MAX_BACKOFF_MS: u64 = 1000;

/// Rows for which the store refuses to write a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InboxConflict {
    /// Jobs that the pool has, or that are submitted to it.
    pub jobs: BTreeSet<JobId>,
    /// Jobs that the pool must not accept.
    pub withdrawn: BTreeMap<JobId, Withdrawal>,
}

impl InboxConflict {
    /// Returns the outcome of a request that the conflict decides.
    fn outcome(&self, key: InboxKey) -> Option<InboxOutcome> {
        match key {
            InboxKey::Submit(job) if self.jobs.contains(&job) => Some(InboxOutcome::Stored),
            InboxKey::Submit(job) => {
                let withdrawal = self.withdrawn.get(&job)?;
                Some(InboxOutcome::Withdrawn(*withdrawal))
            }
            InboxKey::Withdraw(job) if self.jobs.contains(&job) => Some(InboxOutcome::JobExists),
            InboxKey::Withdraw(_) | InboxKey::Cancel(_) => None,
        }
    }
}

/// Result of writing a batch of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboxWriteResult {
    /// All rows are written.
    Committed,
    /// Nothing is written, because rows of some requests are there already.
    Conflict(InboxConflict),
    /// Nothing is written.
    Refused,
    /// The rows may be written, now or later.
    Unknown,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboxOutcome {
    /// The request is stored; the owner will read it.
    Stored,
    /// The request is not stored.
    Refused,
    /// The request may be stored.
    Uncertain,
    /// The submission is not stored: the pool must not accept the job.
    Withdrawn(Withdrawal),
    /// The job is not withdrawn: the pool has it.
    JobExists,
}

/// Requests of one process to the inbox of one pool, and when they are written.
///
/// ```
/// use cornelpoint::inbox::InboxKey;
/// use cornelpoint::inbox::InboxOutcome;
/// use cornelpoint::inbox::InboxQueue;
/// use cornelpoint::inbox::InboxWriteResult;
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let mut queue = InboxQueue::new(ChaCha8Rng::seed_from_u64(1));
/// let job = InboxKey::Submit("5c0e7a21d94b36f8".parse()?);
/// assert!(queue.push(job));
/// assert_eq!(queue.begin_write(0), vec![job]);
/// let outcomes = queue.write_replied(&InboxWriteResult::Committed, 8);
/// assert_eq!(outcomes, vec![(job, InboxOutcome::Stored)]);
/// # Ok::<(), cornelpoint::job::JobError>(())
/// ```
#[derive(Clone, Debug)]
pub struct InboxQueue {
    waiting: VecDeque<InboxKey>,
    in_flight: Vec<InboxKey>,
    backoff: Backoff,
}

impl InboxQueue {
    /// Creates an empty queue; `random` is the source of backoff jitter.
    #[must_use]
    pub fn new(random: ChaCha8Rng) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            backoff: Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random),
        }
    }

    /// Adds a request; a repeat of one that is waiting or being written joins
    /// it. Returns `false` if too many requests wait.
    pub fn push(&mut self, key: InboxKey) -> bool {
        if self.waiting.contains(&key) || self.in_flight.contains(&key) {
            return true;
        }
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push_back(key);
        true
    }

    /// Removes a request that no caller waits for any more. Returns `false` if it
    /// does not wait to be written, so that it may be stored.
    pub fn withdraw(&mut self, key: InboxKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != key);
        self.waiting.len() < before
    }

    /// Takes the requests of the next transaction; none while one is in flight
    /// or after a failure.
    pub fn begin_write(&mut self, now_ms: u64) -> Vec<InboxKey> {
        if !self.in_flight.is_empty() || !self.backoff.has_ended(now_ms) {
            return Vec::new();
        }
        let count = self.waiting.len().min(MAX_BATCH);
        self.in_flight = self.waiting.drain(..count).collect();
        self.in_flight.clone()
    }

    /// Applies the result of the transaction in flight; returns the outcomes of
    /// the requests that are decided by it.
    pub fn write_replied(
        &mut self,
        result: &InboxWriteResult,
        now_ms: u64,
    ) -> Vec<(InboxKey, InboxOutcome)> {
        let written = std::mem::take(&mut self.in_flight);
        match result {
            InboxWriteResult::Committed | InboxWriteResult::Conflict(_) => {
                self.backoff.record_answer();
            }
            InboxWriteResult::Refused | InboxWriteResult::Unknown => {
                self.backoff.record_failure(now_ms);
            }
        }
        let outcome = match result {
            InboxWriteResult::Committed => InboxOutcome::Stored,
            InboxWriteResult::Refused => InboxOutcome::Refused,
            InboxWriteResult::Conflict(conflict) => {
                let decided = |key: &InboxKey| Some((*key, conflict.outcome(*key)?));
                let outcomes: Vec<_> = written.iter().filter_map(decided).collect();
                if outcomes.is_empty() {
                    // A conflict that names no row doesn't tell which requests are stored.
                    return pair_with(written, InboxOutcome::Uncertain);
                }
                let others = written.into_iter().rev();
                for key in others.filter(|key| conflict.outcome(*key).is_none()) {
                    self.waiting.push_front(key);
                }
                return outcomes;
            }
            InboxWriteResult::Unknown => InboxOutcome::Uncertain,
        };
        pair_with(written, outcome)
    }

    /// Returns when [`Self::begin_write`] will next return requests if nothing
    /// else happens; `None` if none wait or a transaction is in flight.
    #[must_use]
    pub fn next_write_ms(&self) -> Option<u64> {
        let waits = self.in_flight.is_empty() && !self.waiting.is_empty();
        waits.then(|| self.backoff.resume_ms())
    }
}

fn pair_with(keys: Vec<InboxKey>, outcome: InboxOutcome) -> Vec<(InboxKey, InboxOutcome)> {
    keys.into_iter().map(|key| (key, outcome)).collect()
}
