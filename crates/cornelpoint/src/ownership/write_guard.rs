use super::owner_row::OwnerRow;

/// Versions that a shard's owner makes its writes depend on.
///
/// A transaction without an answer may be carried out seconds later. Each one
/// rewrites the owner's sign of life and depends on the version that it found,
/// so that a late one can't follow a newer one.
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
///     released: false,
/// };
/// let mut guard = WriteGuard::new(row.clone(), 40);
/// assert_eq!((guard.owner_version(), guard.store_heartbeat_version()), (40, 0));
/// let found = guard.conflicted(Some((&row, 40)), 38);
/// assert_eq!(found, ConflictOutcome::StillOwner);
/// assert_eq!(guard.store_heartbeat_version(), 38);
/// ```
#[derive(Clone, Debug)]
pub struct WriteGuard {
    owner: OwnerRow,
    owner_version: u64,
    store_heartbeat_version: u64,
}

/// What a conflict means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConflictOutcome {
    /// Still the owner: a transaction without an answer was carried out.
    StillOwner,
    /// Another process owns the shard.
    Fenced,
}

impl WriteGuard {
    /// The guard of a new owner, whose row has this version.
    #[must_use]
    pub fn new(owner: OwnerRow, owner_version: u64) -> Self {
        Self {
            owner,
            owner_version,
            store_heartbeat_version: 0,
        }
    }

    /// Version that the owner's row must have.
    #[must_use]
    pub fn owner_version(&self) -> u64 {
        self.owner_version
    }

    /// Version that the sign of life must have; 0 for none.
    #[must_use]
    pub fn store_heartbeat_version(&self) -> u64 {
        self.store_heartbeat_version
    }

    /// Takes the version of a transaction that was carried out.
    pub fn committed(&mut self, version: u64) {
        self.store_heartbeat_version = version;
    }

    /// Takes the rows that a conflict has shown.
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
