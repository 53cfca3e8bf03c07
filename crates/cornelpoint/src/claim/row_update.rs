use super::claim_request::ClaimId;
use super::period::Period;
use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_name::ClaimRowName;
use crate::platform::Condition;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Write;

/// Key and version of a row that the store is known to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RowVersion {
    pub(super) key: Key,
    pub(super) version: u64,
}

impl From<&Row> for RowVersion {
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
    /// Claims the key for a request that waits for the decision.
    Claim(ClaimId),
    /// Claims the key for a request that has been rejected since; to be released
    /// if it takes effect.
    AbandonedClaim,
    /// Records that the claim's request did not run.
    Release,
    /// Records the outcome of the claim's request.
    Settle,
}

/// A conditional write of a claim's row.
#[derive(Clone, Debug)]
pub(super) struct RowUpdate {
    pub(super) row_name: ClaimRowName,
    pub(super) purpose: Purpose,
    pub(super) row: ClaimRow,
    /// Rows of this name that are known to exist.
    pub(super) existing: Vec<RowVersion>,
    /// Time from which the update is not retried, in milliseconds since the Unix
    /// epoch.
    pub(super) expires_at_ms: u64,
    /// Whether a transaction with this update may have taken effect.
    pub(super) may_have_committed: bool,
    /// Key of the row that the latest transaction writes.
    pub(super) target: Option<Key>,
}

impl RowUpdate {
    /// Returns whether the update requires the row of its own claim to exist.
    fn is_settlement(&self) -> bool {
        self.purpose == Purpose::Settle
    }

    /// Sets the row that the next transaction writes: for a settlement the row
    /// of the claim, else the row in the current period's table.
    pub(super) fn set_target(&mut self, period: Period) {
        let settled = self.existing.first().filter(|_| self.is_settlement());
        let target = match settled {
            Some(existing) => existing.key.clone(),
            None => self.row_name.key_in(period),
        };
        self.target = Some(target);
    }

    /// Returns the conditions under which the update takes effect.
    pub(super) fn conditions(&self, period: Period) -> Vec<Condition> {
        let mut keys = self.row_name.keys_around(period);
        if self.is_settlement() {
            keys.clear();
        }
        let exists = |key: &Key| self.existing.iter().any(|e| e.key == *key);
        keys.retain(|key| !exists(key));
        let absent = keys.into_iter().map(|key| Condition::Absent { key });
        let present = self.existing.iter().map(|existing| Condition::Version {
            key: existing.key.clone(),
            version: existing.version,
        });
        present.chain(absent).collect()
    }

    /// Returns the writes: the row itself, and the removal of the name's other
    /// rows.
    pub(super) fn writes(&self) -> Vec<Write> {
        let Some(target) = &self.target else {
            return Vec::new();
        };
        let put = Write::Put {
            key: target.clone(),
            value: self.row.encode(),
        };
        let older = self.existing.iter().filter(|e| e.key != *target);
        let deletes = older.map(|e| Write::Delete { key: e.key.clone() });
        deletes.chain([put]).collect()
    }

    /// Returns key and version of the row once the transaction has taken effect.
    pub(super) fn committed_version(&self) -> Option<RowVersion> {
        let target = self.target.as_ref()?;
        let before = self.existing.iter().find(|e| e.key == *target);
        Some(RowVersion {
            key: target.clone(),
            version: before.map_or(1, |e| e.version + 1),
        })
    }

    /// Converts the update into the release of its claim.
    pub(super) fn into_release(mut self, expires_at_ms: u64) -> Self {
        self.purpose = Purpose::Release;
        self.row.state = ClaimState::Released;
        self.expires_at_ms = expires_at_ms;
        self
    }

    /// Returns the approximate size of the update in a transaction, in bytes.
    pub(super) fn bytes(&self) -> usize {
        const ROW_OVERHEAD_BYTES: usize = 512;
        let answer = match &self.row.state {
            ClaimState::Answered { answer } => answer.row_bytes(),
            ClaimState::Claimed | ClaimState::Unresolved | ClaimState::Released => 0,
        };
        ROW_OVERHEAD_BYTES + answer
    }
}
