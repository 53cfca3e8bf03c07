use super::owner_row::OwnerRow;

/// Row versions that a shard owner's writes are conditional on.
///
/// The store may carry out an unanswered transaction seconds later. Each
/// transaction therefore rewrites the owner's store heartbeat and is
/// conditional on the version that it found, so that a late transaction can't
/// follow a newer one.
///
/// ```
/// use cornelpoint::ownership::ConflictOutcome;
/// use cornelpoint::ownership::OwnerRow;
/// use cornelpoint::ownership::WriteGuard;
///
/// let row = OwnerRow {
///     node: "a-1".to_owned(),
///     started_unix_ms: 5,
///     address: "10.0.0.1:7060".to_owned(),
///     fencing_token: 2,
///     earlier_over_store_ms: 0,
///     earlier_ended: true,
///     grants_by_quorum: true,
///     released: false,
/// };
/// let mut guard = WriteGuard::new(row.clone(), 40);
/// assert_eq!((guard.owner_version(), guard.store_heartbeat_version()), (40, 0));
/// let outcome = guard.resolve_conflict(Some((&row, 40)), 38);
/// assert_eq!(outcome, ConflictOutcome::StillOwner);
/// assert_eq!(guard.store_heartbeat_version(), 38);
/// ```
#[derive(Clone, Debug)]
pub struct WriteGuard {
    owner: OwnerRow,
    owner_version: u64,
    store_heartbeat_version: u64,
}

/// What a conflict shows about a shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConflictOutcome {
    /// This process still owns the shard; an earlier transaction that had no
    /// answer was carried out.
    StillOwner,
    /// Another process owns the shard.
    Fenced,
}

impl WriteGuard {
    /// Creates the guard of a new owner from its row and the row's version.
    #[must_use]
    pub fn new(owner: OwnerRow, owner_version: u64) -> Self {
        Self {
            owner,
            owner_version,
            store_heartbeat_version: 0,
        }
    }

    /// Returns the version that the owner's row must have for a write to
    /// succeed.
    #[must_use]
    pub fn owner_version(&self) -> u64 {
        self.owner_version
    }

    /// Returns the version that the store heartbeat must have for a write to
    /// succeed; 0 for no row.
    #[must_use]
    pub fn store_heartbeat_version(&self) -> u64 {
        self.store_heartbeat_version
    }

    /// Records the version of a transaction that was carried out.
    pub fn committed(&mut self, version: u64) {
        self.store_heartbeat_version = version;
    }

    /// Determines from the rows returned with a conflict whether this process
    /// still owns the shard, and adopts their versions if it does.
    pub fn resolve_conflict(
        &mut self,
        owner: Option<(&OwnerRow, u64)>,
        store_heartbeat_version: u64,
    ) -> ConflictOutcome {
        match owner {
            Some((row, version)) if *row == self.owner => {
                self.owner_version = version;
                self.store_heartbeat_version = store_heartbeat_version;
                ConflictOutcome::StillOwner
            }
            _ => ConflictOutcome::Fenced,
        }
    }
}
