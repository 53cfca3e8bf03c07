use std::collections::BTreeMap;

use super::answer::StoredAnswer;
use super::claim_request::ClaimId;
use super::period::Period;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_name::ClaimRowName;
use crate::platform::Key;
use crate::platform::Row;

/// Time between two reads, in milliseconds.
const POLL_MS: u64 = 100;
/// Requests whose rows are read at once.
const READ_REQUESTS: usize = 64;
/// Requests that may wait.
const MAX_WAITING: usize = 1024;

/// How waiting for another claim's answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitAction {
    /// The other claim's request was answered.
    Answered {
        /// The request that waited.
        id: ClaimId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// No answer came in time, or none will come; the request may have run.
    Unresolved {
        /// The request that waited.
        id: ClaimId,
    },
    /// The other claim's request did not run; the key may be claimed again.
    Released {
        /// The request that waited.
        id: ClaimId,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    row_name: ClaimRowName,
    deadline_ms: u64,
}

/// Repeats that wait for the answer to an earlier claim of their key.
///
/// Their rows are read together, ten times a second at most.
#[derive(Clone, Debug, Default)]
pub struct AnswerWaiter {
    waiting: BTreeMap<ClaimId, Waiting>,
    last_read: Option<ClaimId>,
    next_read_ms: u64,
    is_reading: bool,
}

impl AnswerWaiter {
    /// Nobody waits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for the end of another claim, `row`; says at once what the row
    /// shows already.
    pub fn wait(
        &mut self,
        id: ClaimId,
        row_name: ClaimRowName,
        row: &ClaimRow,
        deadline_ms: u64,
    ) -> Option<WaitAction> {
        if let Some(action) = end_of(id, &row.state) {
            return Some(action);
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some(WaitAction::Unresolved { id });
        }
        let waiting = Waiting {
            row_name,
            deadline_ms,
        };
        self.waiting.insert(id, waiting);
        None
    }

    /// Rows to read now, if any; until the outcome is reported, no others.
    pub fn next_read(&mut self, now_ms: u64) -> Option<Vec<Key>> {
        if self.is_reading || self.waiting.is_empty() || now_ms < self.next_read_ms {
            return None;
        }
        self.is_reading = true;
        self.next_read_ms = now_ms + POLL_MS;
        let period = Period::at(now_ms);
        let after_last = |id: &ClaimId| self.last_read.is_none_or(|last| *id > last);
        let later = self.waiting.iter().filter(|(id, _)| after_last(id));
        let chosen: Vec<(&ClaimId, &Waiting)> = later.take(READ_REQUESTS).collect();
        let keys = chosen
            .iter()
            .flat_map(|(_, w)| w.row_name.keys_around(period));
        let keys: Vec<Key> = keys.collect();
        let is_last_page = chosen.len() < READ_REQUESTS;
        let last = chosen.last().map(|(id, _)| **id);
        self.last_read = last.filter(|_| !is_last_page);
        Some(keys)
    }

    /// Takes in the rows that a read found.
    pub fn on_read(&mut self, rows: &[Row]) -> Vec<WaitAction> {
        self.is_reading = false;
        let mut actions = Vec::new();
        for (id, waiting) in &self.waiting {
            let own = rows.iter().find(|r| waiting.row_name.holds(&r.key));
            let claim = own.and_then(|row| ClaimRow::decode(&row.value).ok());
            actions.extend(claim.and_then(|claim| end_of(*id, &claim.state)));
        }
        self.forget(&actions);
        actions
    }

    /// Takes in that a read failed.
    pub fn on_read_failed(&mut self) {
        self.is_reading = false;
    }

    /// Ends the waiting of those whose deadline is past.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WaitAction> {
        let is_over = |waiting: &Waiting| now_ms >= waiting.deadline_ms;
        let over = self.waiting.iter().filter(|(_, w)| is_over(w));
        let actions: Vec<WaitAction> = over
            .map(|(id, _)| WaitAction::Unresolved { id: *id })
            .collect();
        self.forget(&actions);
        actions
    }

    /// Time at which something is due, if nothing happens before.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        let expiry = self.waiting.values().map(|w| w.deadline_ms).min()?;
        if self.is_reading {
            return Some(expiry);
        }
        Some(expiry.min(self.next_read_ms))
    }

    fn forget(&mut self, actions: &[WaitAction]) {
        for action in actions {
            match action {
                WaitAction::Answered { id, .. }
                | WaitAction::Unresolved { id }
                | WaitAction::Released { id } => self.waiting.remove(id),
            };
        }
    }
}

fn end_of(id: ClaimId, state: &ClaimState) -> Option<WaitAction> {
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
