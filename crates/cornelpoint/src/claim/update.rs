use super::claim_request::ClaimId;
use super::period::Period;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_name::ClaimRowName;
use crate::platform::Condition;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Write;

/// A row that the store is known to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FoundRow {
    pub(super) key: Key,
    pub(super) version: u64,
}

impl From<&Row> for FoundRow {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            version: row.version,
        }
    }
}

/// Why a row is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Claims the key for a request that waits.
    Claim(ClaimId),
    /// Claims the key for a request that was refused meanwhile.
    AbandonedClaim,
    /// Says that the claim's request did not run.
    Release,
    /// Says what became of the claim's request.
    Settle,
}

/// One row to be written, with what must hold.
#[derive(Clone, Debug)]
pub(super) struct Update {
    pub(super) row_name: ClaimRowName,
    pub(super) purpose: Purpose,
    pub(super) row: ClaimRow,
    /// Rows of the place that are known to exist.
    pub(super) found: Vec<FoundRow>,
    /// Time after which it is not tried again, in milliseconds.
    pub(super) give_up_ms: u64,
    /// Whether a transaction with it may have taken effect.
    pub(super) is_attempted: bool,
    /// Key that the latest transaction writes.
    pub(super) target: Option<Key>,
}

impl Update {
    /// Whether the row's own claim must be there already.
    fn is_settlement(&self) -> bool {
        self.purpose == Purpose::Settle
    }

    /// Fixes the row that the next transaction writes: a settlement stays
    /// where the claim is, all else goes to the current period.
    pub(super) fn aim(&mut self, period: Period) {
        let settled = self.found.first().filter(|_| self.is_settlement());
        let target = match settled {
            Some(found) => found.key.clone(),
            None => self.row_name.key_in(period),
        };
        self.target = Some(target);
    }

    /// What must hold for the update to take effect.
    pub(super) fn conditions(&self, period: Period) -> Vec<Condition> {
        let mut keys = self.row_name.keys_around(period);
        if self.is_settlement() {
            keys.clear();
        }
        let found = |key: &Key| self.found.iter().any(|f| f.key == *key);
        keys.retain(|key| !found(key));
        let absent = keys.into_iter().map(|key| Condition::Absent { key });
        let present = self.found.iter().map(|found| Condition::Version {
            key: found.key.clone(),
            version: found.version,
        });
        present.chain(absent).collect()
    }

    /// The changes: the row itself, and the removal of older rows of the place.
    pub(super) fn writes(&self) -> Vec<Write> {
        let Some(target) = &self.target else {
            return Vec::new();
        };
        let put = Write::Put {
            key: target.clone(),
            value: self.row.encode(),
        };
        let older = self.found.iter().filter(|f| f.key != *target);
        let deletes = older.map(|f| Write::Delete { key: f.key.clone() });
        deletes.chain([put]).collect()
    }

    /// The row as the store holds it after the transaction took effect.
    pub(super) fn written(&self) -> Option<FoundRow> {
        let target = self.target.as_ref()?;
        let before = self.found.iter().find(|f| f.key == *target);
        Some(FoundRow {
            key: target.clone(),
            version: before.map_or(1, |f| f.version + 1),
        })
    }

    /// The same claim, to be marked as not run.
    pub(super) fn into_release(mut self, give_up_ms: u64) -> Self {
        self.purpose = Purpose::Release;
        self.row.state = ClaimState::Released;
        self.give_up_ms = give_up_ms;
        self
    }

    /// Bytes that the update adds to a transaction, about.
    pub(super) fn bytes(&self) -> usize {
        const ROW_BYTES: usize = 512;
        let answer = match &self.row.state {
            ClaimState::Answered { answer } => answer.row_bytes(),
            ClaimState::Claimed | ClaimState::Unresolved | ClaimState::Released => 0,
        };
        ROW_BYTES + answer
    }
}
