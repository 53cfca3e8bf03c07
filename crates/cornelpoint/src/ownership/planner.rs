use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::owner_row::OwnerRow;
use super::settings::OwnershipSettings;

/// Processor of an instance that does not say, in thousandths of a core.
const DEFAULT_MILLICORES: u64 = 1000;
/// Keeps fractions apart when use is compared in whole numbers.
const USE_SCALE: u64 = 1_000_000;

/// A process of the system, as last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it takes messages.
    pub address: String,
    /// Start of its process, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether the store answers it.
    pub has_store: bool,
    /// Processor of its instance, in thousandths of a core.
    pub millicores: u64,
}

/// A claim to be made in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The shard.
    pub shard: String,
    /// Version that the owner's row must have; 0 for no row.
    pub expected_version: u64,
    /// Fencing token of the new owner.
    pub fencing_token: u64,
    /// Whether the predecessor's process has ended or given up for sure.
    pub predecessor_ended: bool,
    /// Whether the owner may be well and only unheard: its sign of life in the
    /// store is to be looked at first.
    pub check_store_heartbeat: bool,
}

#[derive(Clone, Debug)]
struct PeerState {
    peer: Peer,
    heard_ms: u64,
    without_store_since_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct ShardState {
    row: Option<OwnerRow>,
    version: u64,
    changed_ms: u64,
    /// Until when the owner is well by its sign of life in the store.
    well_until_ms: u64,
}

/// Decides which shards to claim, from the owners' rows and the peers'
/// heartbeats.
#[derive(Debug)]
pub struct OwnershipPlanner {
    node: String,
    started_unix_ms: u64,
    started_ms: u64,
    millicores: u64,
    settings: OwnershipSettings,
    peers: BTreeMap<String, PeerState>,
    shards: BTreeMap<String, ShardState>,
}

impl OwnershipPlanner {
    /// A planner of a process that starts now.
    ///
    /// ```
    /// use cornelpoint::ownership::OwnershipPlanner;
    /// use cornelpoint::ownership::OwnershipSettings;
    ///
    /// let mut planner = OwnershipPlanner::new("a-1", 5, 0, OwnershipSettings::default());
    /// planner.add_shard("quoting", 0);
    /// assert!(planner.due_claims(0).is_empty());
    /// assert_eq!(planner.due_claims(60_000).len(), 1);
    /// ```
    #[must_use]
    pub fn new(node: &str, started_unix_ms: u64, now_ms: u64, settings: OwnershipSettings) -> Self {
        Self {
            node: node.to_owned(),
            started_unix_ms,
            started_ms: now_ms,
            millicores: DEFAULT_MILLICORES,
            settings,
            peers: BTreeMap::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Sets the processor of this instance, in thousandths of a core. Strong
    /// instances own more shards than weak ones.
    pub fn set_millicores(&mut self, millicores: u64) {
        self.millicores = millicores;
    }

    /// Names a shard that must have an owner.
    pub fn add_shard(&mut self, shard: &str, now_ms: u64) {
        if !self.shards.contains_key(shard) {
            let state = ShardState {
                changed_ms: now_ms,
                ..ShardState::default()
            };
            self.shards.insert(shard.to_owned(), state);
        }
    }

    /// Takes an owner's row as the store has it.
    pub fn owner_read(&mut self, shard: &str, row: Option<OwnerRow>, version: u64, now_ms: u64) {
        let state = self.shards.entry(shard.to_owned()).or_default();
        if version <= state.version {
            return;
        }
        *state = ShardState {
            row,
            version,
            changed_ms: now_ms,
            well_until_ms: 0,
        };
    }

    /// Takes the age of an owner's sign of life in the store.
    pub fn store_heartbeat_read(&mut self, shard: &str, age_ms: u64, now_ms: u64) {
        if let Some(state) = self.shards.get_mut(shard) {
            let left_ms = self
                .settings
                .store_heartbeat_timeout_ms
                .saturating_sub(age_ms);
            state.well_until_ms = now_ms + left_ms;
        }
    }

    /// Whether a peer was heard lately.
    #[must_use]
    pub fn is_responsive(&self, node: &str, now_ms: u64) -> bool {
        let silent_ms = self.settings.silent_after_ms;
        self.peers
            .get(node)
            .is_some_and(|peer| peer.heard_ms + silent_ms > now_ms)
    }

    /// Whether this process hears at least half of its peers, itself counted.
    #[must_use]
    pub fn most_peers_responsive(&self, now_ms: u64) -> bool {
        let kept_ms = self.settings.peer_kept_ms;
        let known = self
            .peers
            .values()
            .filter(|peer| peer.heard_ms + kept_ms > now_ms);
        let silent_ms = self.settings.silent_after_ms;
        let (mut count, mut heard) = (1, 1);
        for peer in known {
            count += 1;
            heard += usize::from(peer.heard_ms + silent_ms > now_ms);
        }
        heard * 2 >= count
    }

    /// Takes a peer's heartbeat.
    pub fn heartbeat_received(&mut self, node: &str, peer: Peer, now_ms: u64) {
        if node == self.node {
            return;
        }
        let known = self.peers.get(node);
        if known.is_some_and(|known| known.peer.started_unix_ms > peer.started_unix_ms) {
            return;
        }
        let since_ms = known.and_then(|known| known.without_store_since_ms);
        let state = PeerState {
            without_store_since_ms: (!peer.has_store).then(|| since_ms.unwrap_or(now_ms)),
            peer,
            heard_ms: now_ms,
        };
        self.peers.insert(node.to_owned(), state);
    }

    /// Whether a process has ended: its instance runs a later one.
    #[must_use]
    pub fn has_ended(&self, row: &OwnerRow) -> bool {
        if row.node == self.node {
            return row.started_unix_ms != self.started_unix_ms;
        }
        self.peers
            .get(&row.node)
            .is_some_and(|peer| peer.peer.started_unix_ms > row.started_unix_ms)
    }

    /// The owner of a shard, by the newest row known.
    #[must_use]
    pub fn owner(&self, shard: &str) -> Option<(&OwnerRow, u64)> {
        let state = self.shards.get(shard)?;
        Some((state.row.as_ref()?, state.version))
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = &str> {
        self.shards.keys().map(String::as_str)
    }

    /// Whether a shard is owned by this process.
    #[must_use]
    pub fn owns(&self, shard: &str) -> bool {
        self.owner(shard).is_some_and(|(row, _)| self.is_self(row))
    }

    fn is_self(&self, row: &OwnerRow) -> bool {
        row.node == self.node && row.started_unix_ms == self.started_unix_ms && !row.released
    }

    /// Claims that are this process's turn to make. The caller must have a
    /// store that answers and must not be leaving.
    #[must_use]
    pub fn due_claims(&self, now_ms: u64) -> Vec<Claim> {
        if now_ms < self.started_ms + self.settings.settle_ms {
            return Vec::new();
        }
        let mut owned = self.owned_counts(now_ms);
        let wait_ms = if self.most_peers_responsive(now_ms) {
            0
        } else {
            self.settings.partition_claim_delay_ms
        };
        let mut claims = Vec::new();
        for (shard, state) in &self.shards {
            let Some(vacant_ms) = self.vacant_since_ms(state) else {
                continue;
            };
            if vacant_ms > now_ms {
                continue;
            }
            let turn = self.turn_of(shard, &mut owned);
            if now_ms < vacant_ms + wait_ms + turn * self.settings.turn_ms {
                continue;
            }
            let token = state.row.as_ref().map_or(0, |row| row.fencing_token);
            claims.push(Claim {
                shard: shard.clone(),
                expected_version: state.version,
                fencing_token: token + 1,
                predecessor_ended: self.predecessor_ended(state),
                check_store_heartbeat: !self.predecessor_ended(state),
            });
        }
        claims
    }

    /// When a shard's owner is to be replaced; `None` while it is well.
    fn vacant_since_ms(&self, state: &ShardState) -> Option<u64> {
        let Some(row) = &state.row else {
            let settled_ms = self.started_ms + self.settings.settle_ms;
            return Some(state.changed_ms.max(settled_ms));
        };
        if self.is_self(row) {
            return None;
        }
        if row.released || row.node == self.node {
            return Some(state.changed_ms);
        }
        let Some(peer) = self.peers.get(&row.node) else {
            let heard_ms = state.changed_ms.max(self.started_ms);
            let silent_ms = heard_ms + self.settings.silent_after_ms;
            return Some(silent_ms.max(state.well_until_ms));
        };
        if peer.peer.started_unix_ms > row.started_unix_ms {
            return Some(state.changed_ms);
        }
        if let Some(since_ms) = peer.without_store_since_ms {
            let without_ms = since_ms + self.settings.without_store_ms;
            return Some(without_ms.max(state.well_until_ms));
        }
        let silent_ms = peer.heard_ms.max(state.changed_ms) + self.settings.silent_after_ms;
        Some(silent_ms.max(state.well_until_ms))
    }

    fn predecessor_ended(&self, state: &ShardState) -> bool {
        let Some(row) = &state.row else { return true };
        row.released || self.has_ended(row)
    }

    /// Shards that each living candidate owns.
    fn owned_counts(&self, now_ms: u64) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::from([(self.node.as_str(), 0)]);
        for (name, state) in &self.peers {
            let silent = state.heard_ms + self.settings.silent_after_ms < now_ms;
            if !silent && !state.peer.leaving && state.peer.has_store {
                counts.insert(name, 0);
            }
        }
        for row in self.shards.values().filter_map(|state| state.row.as_ref()) {
            if let Some(count) = counts.get_mut(row.node.as_str())
                && !row.released
            {
                *count += 1;
            }
        }
        counts
    }

    /// This process's place among the candidates for a shard. The first one
    /// counts as an owner for the shards that follow, so that vacant shards
    /// spread.
    fn turn_of<'a>(&'a self, shard: &str, owned: &mut BTreeMap<&'a str, u64>) -> u64 {
        let mut candidates: Vec<(u64, u64, &str)> = owned
            .iter()
            .map(|(&node, &count)| {
                (
                    self.use_with_one_more(node, count),
                    xxh3_64(format!("{shard}/{node}").as_bytes()),
                    node,
                )
            })
            .collect();
        candidates.sort_unstable();
        if let Some((_, _, first)) = candidates.first()
            && let Some(count) = owned.get_mut(first)
        {
            *count += 1;
        }
        let place = candidates
            .iter()
            .position(|(_, _, node)| *node == self.node);
        place.unwrap_or(candidates.len()) as u64
    }

    /// How much a candidate's processor would be used with one more shard.
    fn use_with_one_more(&self, node: &str, count: u64) -> u64 {
        let millicores = match self.peers.get(node) {
            Some(state) if node != self.node => state.peer.millicores,
            _ => self.millicores,
        };
        (count + 1) * USE_SCALE / millicores.max(1)
    }

    /// When [`Self::due_claims`] may have more to say by time alone.
    #[must_use]
    pub fn next_claim_ms(&self, now_ms: u64) -> Option<u64> {
        let settled_ms = self.started_ms + self.settings.settle_ms;
        let vacant = self
            .shards
            .values()
            .filter_map(|state| self.vacant_since_ms(state));
        let next = vacant.map(|vacant_ms| {
            if vacant_ms > now_ms {
                vacant_ms
            } else {
                let turns = (now_ms - vacant_ms) / self.settings.turn_ms + 1;
                vacant_ms + turns * self.settings.turn_ms
            }
        });
        next.min().map(|next_ms| next_ms.max(settled_ms))
    }
}
