/// What a read of the operator's rows shows of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationRead {
    /// There is no newer row than the last one that was read.
    Unchanged,
    /// The newest row has this version.
    Parsed {
        /// The version.
        version: u64,
    },
    /// The newest row can't be parsed, or has been removed.
    Unreadable,
}

/// Where a confirmation comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// A read of the store.
    Store,
    /// A peer that reads the store.
    Peer,
}

impl ConfirmationSource {
    /// Returns the source as in logs and metrics.
    ///
    /// ```
    /// assert_eq!(cornelpoint::tenant::ConfirmationSource::Peer.label(), "peer");
    /// ```
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// A newest configuration that can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnreadableRow {
    seen_ms: u64,
    /// Version in force when it was read.
    version: u64,
}

/// How long ago the configuration of a process was the newest one.
///
/// A confirmation at a time says that the configuration in force is not older than any that
/// the store confirmed before that time. All times are by a clock that goes on while the
/// process is paused.
///
/// ```
/// use cornelpoint::tenant::Confirmation;
/// use cornelpoint::tenant::ConfigurationRead;
///
/// let mut known = Confirmation::default();
/// known.read_answered(ConfigurationRead::Parsed { version: 7 }, 100, true, 140);
/// assert_eq!(known.age_ms(150), Some(50));
/// // A truncated response may lack a newer row.
/// known.read_answered(ConfigurationRead::Unchanged, 200, false, 240);
/// assert_eq!(known.age_ms(250), Some(150));
/// known.peer_answered(7, Some(30), 300);
/// assert_eq!(known.age_ms(350), Some(80));
/// // Peers are told the age by this process's own reads.
/// assert_eq!(known.store_age_ms(350), Some(250));
/// known.read_answered(ConfigurationRead::Unreadable, 400, true, 410);
/// assert_eq!(known.age_ms(420), None);
/// known.read_answered(ConfigurationRead::Parsed { version: 8 }, 500, true, 510);
/// assert_eq!(known.age_ms(520), Some(20));
/// // A lower version is not applied, so that nothing is confirmed.
/// known.read_answered(ConfigurationRead::Parsed { version: 7 }, 600, true, 610);
/// assert_eq!(known.age_ms(620), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    version: u64,
    /// When the version came into force.
    applied_ms: u64,
    has_version: bool,
    store_ms: Option<u64>,
    peer_ms: Option<u64>,
    unreadable: Option<UnreadableRow>,
}

impl Confirmation {
    /// Records that a configuration is in force. Versions never go back.
    pub fn applied(&mut self, version: u64, now_ms: u64) {
        if version > self.version || !self.has_version {
            self.version = version;
            self.applied_ms = now_ms;
        }
        self.has_version = true;
    }

    /// Records the response to a read of the store. A response is `complete` if no further
    /// rows may follow.
    ///
    /// The response may be late, so that it confirms from when the read was sent. For the same
    /// reason a lower version than the one in force, which a peer may have sent meanwhile, is
    /// the newest one only if the read was sent after that came into force. It may then revoke
    /// keys, but isn't applied.
    pub fn read_answered(
        &mut self,
        read: ConfigurationRead,
        sent_ms: u64,
        complete: bool,
        now_ms: u64,
    ) {
        match read {
            ConfigurationRead::Unreadable => self.unreadable_seen(now_ms),
            ConfigurationRead::Parsed { version }
                if self.has_version && version < self.version && sent_ms >= self.applied_ms =>
            {
                self.unreadable_seen(now_ms);
            }
            ConfigurationRead::Parsed { version } => {
                self.applied(version, now_ms);
                self.unreadable = None;
            }
            ConfigurationRead::Unchanged => {}
        }
        if complete && self.has_version && self.unreadable.is_none() {
            self.store_ms = self.store_ms.max(Some(sent_ms));
        }
    }

    /// Records that the newest configuration can't be applied.
    pub fn unreadable_seen(&mut self, now_ms: u64) {
        self.unreadable = Some(UnreadableRow {
            seen_ms: now_ms,
            version: self.version,
        });
    }

    /// Records the answer of a peer to a question that was sent at `sent_ms`: the peer's
    /// version and the age of its own confirmation by the store. Returns whether it confirms
    /// the configuration in force.
    ///
    /// A newer configuration that came with the answer has to be applied before. A peer with an
    /// older one doesn't confirm: it may have started after the version went back. After a row
    /// that can't be applied, only a newer version confirms that the store confirmed later.
    pub fn peer_answered(&mut self, version: u64, age_ms: Option<u64>, sent_ms: u64) -> bool {
        let confirmed_ms = age_ms.and_then(|age_ms| sent_ms.checked_sub(age_ms));
        let Some(confirmed_ms) = confirmed_ms.filter(|_| self.has_version) else {
            return false;
        };
        if version != self.version {
            return false;
        }
        if let Some(row) = self.unreadable {
            if version <= row.version || confirmed_ms < row.seen_ms {
                return false;
            }
            self.unreadable = None;
        }
        self.peer_ms = self.peer_ms.max(Some(confirmed_ms));
        true
    }

    /// Whether the newest configuration can't be applied: it can't be parsed, was removed, or
    /// has a lower version than the one in force.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.unreadable.is_some()
    }

    /// Returns the time from which the configuration in force is confirmed.
    #[must_use]
    pub fn confirmed_ms(&self) -> Option<u64> {
        let confirmed_ms = self.store_ms.max(self.peer_ms);
        confirmed_ms.filter(|_| self.unreadable.is_none())
    }

    /// Returns the time since the configuration in force was known to be the newest; `None`
    /// if it is not confirmed.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms()?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns the same by this process's reads of the store only, for peers that ask. An
    /// answer that rests on another peer's could be passed on indefinitely.
    #[must_use]
    pub fn store_age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.store_ms.filter(|_| self.unreadable.is_none())?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns where the latest confirmation comes from.
    #[must_use]
    pub fn source(&self) -> ConfirmationSource {
        if self.peer_ms > self.store_ms {
            ConfirmationSource::Peer
        } else {
            ConfirmationSource::Store
        }
    }
}
