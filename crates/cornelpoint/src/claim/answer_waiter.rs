use std::collections::BTreeMap;

use super::answer::StoredAnswer;
use super::claim_request::ClaimId;
use super::period::Period;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_name::ClaimRowName;
use crate::platform::Key;
use crate::platform::Row;

/// Interval between two reads, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Most requests whose rows one read covers.
const MAX_REQUESTS_PER_READ: usize = 64;
/// Most requests that wait at a time.
const MAX_WAITING: usize = 1024;

/// How waiting for the answer to another claim's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitAction {
    /// The other claim's request was answered.
    Answered {
        /// The request that waited.
        id: ClaimId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// No answer came before the deadline, or none will come; the other
    /// claim's request may have run.
    Unresolved {
        /// The request that waited.
        id: ClaimId,
    },
    /// The other claim's request did not run; the key can be claimed again.
    Released {
        /// The request that waited.
        id: ClaimId,
    },
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    row_name: ClaimRowName,
    deadline_ms: u64,
}

/// Repeated requests that wait for the answer to an earlier claim of their
/// key.
///
/// Polls the rows of their claims in shared reads, at most ten a second.
#[derive(Clone, Debug, Default)]
pub struct AnswerWaiter {
    waiting: BTreeMap<ClaimId, WaitingRequest>,
    last_read: Option<ClaimId>,
    next_read_ms: u64,
    is_reading: bool,
}

impl AnswerWaiter {
    /// Creates a waiter without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a request to wait until `row`, the claim of another request,
    /// is settled or released.
    ///
    /// Returns an action at once if the row is settled or released already, or
    /// if too many requests wait.
    pub fn wait(
        &mut self,
        id: ClaimId,
        row_name: ClaimRowName,
        row: &ClaimRow,
        deadline_ms: u64,
    ) -> Option<WaitAction> {
        if let Some(action) = wait_action(id, &row.state) {
            return Some(action);
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some(WaitAction::Unresolved { id });
        }
        let waiting = WaitingRequest {
            row_name,
            deadline_ms,
        };
        self.waiting.insert(id, waiting);
        None
    }

    /// Returns the keys of rows to read now, if a read is due.
    ///
    /// No further read is due until the outcome of this one is reported.
    pub fn next_read(&mut self, now_ms: u64) -> Option<Vec<Key>> {
        if self.is_reading || self.waiting.is_empty() || now_ms < self.next_read_ms {
            return None;
        }
        self.is_reading = true;
        self.next_read_ms = now_ms + POLL_INTERVAL_MS;
        let period = Period::at(now_ms);
        let after_last = |id: &ClaimId| self.last_read.is_none_or(|last| *id > last);
        let later = self.waiting.iter().filter(|(id, _)| after_last(id));
        let chosen: Vec<(&ClaimId, &WaitingRequest)> = later.take(MAX_REQUESTS_PER_READ).collect();
        let keys = chosen
            .iter()
            .flat_map(|(_, w)| w.row_name.keys_around(period));
        let keys: Vec<Key> = keys.collect();
        let is_last_page = chosen.len() < MAX_REQUESTS_PER_READ;
        let last = chosen.last().map(|(id, _)| **id);
        self.last_read = last.filter(|_| !is_last_page);
        Some(keys)
    }

    /// Reports the rows that a read found.
    pub fn on_read(&mut self, rows: &[Row]) -> Vec<WaitAction> {
        self.is_reading = false;
        let mut actions = Vec::new();
        for (id, waiting) in &self.waiting {
            let own = rows.iter().find(|r| waiting.row_name.matches(&r.key));
            let claim = own.and_then(|row| ClaimRow::decode(&row.value).ok());
            actions.extend(claim.and_then(|claim| wait_action(*id, &claim.state)));
        }
        self.remove_finished(&actions);
        actions
    }

    /// Reports that a read failed.
    pub fn on_read_failed(&mut self) {
        self.is_reading = false;
    }

    /// Removes the requests whose deadline has passed, as unresolved.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WaitAction> {
        let is_expired = |waiting: &WaitingRequest| now_ms >= waiting.deadline_ms;
        let expired = self.waiting.iter().filter(|(_, w)| is_expired(w));
        let actions: Vec<WaitAction> = expired
            .map(|(id, _)| WaitAction::Unresolved { id: *id })
            .collect();
        self.remove_finished(&actions);
        actions
    }

    /// Returns the time of the next read or deadline, if any request waits.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        let expiry = self.waiting.values().map(|w| w.deadline_ms).min()?;
        if self.is_reading {
            return Some(expiry);
        }
        Some(expiry.min(self.next_read_ms))
    }

    fn remove_finished(&mut self, actions: &[WaitAction]) {
        for action in actions {
            match action {
                WaitAction::Answered { id, .. }
                | WaitAction::Unresolved { id }
                | WaitAction::Released { id } => self.waiting.remove(id),
            };
        }
    }
}

fn wait_action(id: ClaimId, state: &ClaimState) -> Option<WaitAction> {
    match state {
        ClaimState::Claimed => None,
        ClaimState::Answered { answer } => Some(WaitAction::Answered {
            id,
            answer: answer.clone(),
        }),
        ClaimState::Unresolved => Some(WaitAction::Unresolved { id }),
        ClaimState::Released => Some(WaitAction::Released { id }),
    }
}
