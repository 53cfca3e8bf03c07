use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::owner_row::OwnerRow;
use super::settings::OwnershipSettings;

/// CPU of an instance whose CPU is not set, in thousandths of a core.
const DEFAULT_MILLICORES: u64 = 1000;
/// Scale at which utilizations are compared as whole numbers.
const UTILIZATION_SCALE: u64 = 1_000_000;

/// Another process, as described by its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address at which it receives messages.
    pub address: String,
    /// Start of the process, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Whether the process is about to stop.
    pub leaving: bool,
    /// Whether it can reach the store.
    pub has_store: bool,
    /// CPU of its instance, in thousandths of a core.
    pub millicores: u64,
    /// Time until its next heartbeat at the latest; 0 if it is not known.
    pub heartbeat_interval_ms: u64,
    /// Highest fencing token by shard under which it has stopped to act for good.
    pub relinquished: BTreeMap<String, u64>,
}

/// A claim of a shard that is due to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Name of the shard.
    pub shard: String,
    /// Version that the owner's row must still have; 0 for no row.
    pub expected_version: u64,
    /// Fencing token of the new owner.
    pub fencing_token: u64,
    /// Whether the predecessor is known to have ended or to have released the
    /// shard.
    pub predecessor_ended: bool,
    /// Whether the owner may be healthy and only unreachable from here, so that
    /// its store heartbeat has to be checked before the claim is written.
    pub check_store_heartbeat: bool,
}

#[derive(Clone, Debug)]
struct PeerState {
    peer: Peer,
    last_heartbeat_ms: u64,
    store_lost_since_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct ShardState {
    row: Option<OwnerRow>,
    version: u64,
    changed_ms: u64,
    /// Until when the store heartbeat shows that the owner is healthy.
    healthy_until_ms: u64,
}

/// Decides which shards this process claims, from the owners' rows in the store
/// and the heartbeats of its peers.
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
    /// Creates the planner of a process that starts at `now_ms`.
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

    /// Sets the CPU of this instance, in thousandths of a core. Instances with
    /// more CPU own more shards.
    pub fn set_millicores(&mut self, millicores: u64) {
        self.millicores = millicores;
    }

    /// Adds a shard that must have an owner.
    pub fn add_shard(&mut self, shard: &str, now_ms: u64) {
        if !self.shards.contains_key(shard) {
            let state = ShardState {
                changed_ms: now_ms,
                ..ShardState::default()
            };
            self.shards.insert(shard.to_owned(), state);
        }
    }

    /// Applies an owner's row read from the store; older versions are ignored.
    pub fn owner_read(&mut self, shard: &str, row: Option<OwnerRow>, version: u64, now_ms: u64) {
        let state = self.shards.entry(shard.to_owned()).or_default();
        if version <= state.version {
            return;
        }
        *state = ShardState {
            row,
            version,
            changed_ms: now_ms,
            healthy_until_ms: 0,
        };
    }

    /// Applies the age of an owner's store heartbeat.
    pub fn store_heartbeat_read(&mut self, shard: &str, age_ms: u64, now_ms: u64) {
        if let Some(state) = self.shards.get_mut(shard) {
            let left_ms = self
                .settings
                .store_heartbeat_timeout_ms
                .saturating_sub(age_ms);
            state.healthy_until_ms = now_ms + left_ms;
        }
    }

    /// Whether a heartbeat of a peer arrived within its timeout.
    #[must_use]
    pub fn is_responsive(&self, node: &str, now_ms: u64) -> bool {
        self.peers
            .get(node)
            .is_some_and(|peer| self.unresponsive_ms(peer) > now_ms)
    }

    /// Returns the names and addresses of the responsive peers that can reach the store, in
    /// the order of their names.
    pub fn peers_with_store(&self, now_ms: u64) -> impl Iterator<Item = (&str, &str)> {
        let peers = self.peers.iter().filter(move |(_, state)| {
            let has_store = state.peer.has_store && !state.peer.leaving;
            has_store && self.unresponsive_ms(state) > now_ms
        });
        peers.map(|(name, state)| (name.as_str(), state.peer.address.as_str()))
    }

    /// Returns when a peer counts as unresponsive unless another heartbeat of it
    /// arrives. Among many processes, heartbeats are further apart.
    fn unresponsive_ms(&self, peer: &PeerState) -> u64 {
        let interval_ms = peer.peer.heartbeat_interval_ms;
        let announced_ms = interval_ms.saturating_mul(self.settings.peer_timeout_percent) / 100;
        let announced_ms = announced_ms.min(self.settings.peer_retention_ms);
        peer.last_heartbeat_ms + announced_ms.max(self.settings.peer_timeout_ms)
    }

    /// Whether at least half of all known processes, including this one, are
    /// responsive.
    #[must_use]
    pub fn most_peers_responsive(&self, now_ms: u64) -> bool {
        let retention_ms = self.settings.peer_retention_ms;
        let known = self
            .peers
            .values()
            .filter(|peer| peer.last_heartbeat_ms + retention_ms > now_ms);
        let (mut count, mut responsive) = (1, 1);
        for peer in known {
            count += 1;
            responsive += usize::from(self.unresponsive_ms(peer) > now_ms);
        }
        responsive * 2 >= count
    }

    /// Applies a peer's heartbeat. Those of its earlier processes are ignored,
    /// unless the later one is unresponsive: a process that starts after its
    /// instance's clock was set back seems to be the earlier one.
    pub fn heartbeat_received(&mut self, node: &str, peer: Peer, now_ms: u64) {
        if node == self.node {
            return;
        }
        let known = self.peers.get(node);
        if known.is_some_and(|known| known.peer.started_unix_ms > peer.started_unix_ms)
            && self.is_responsive(node, now_ms)
        {
            return;
        }
        let since_ms = known.and_then(|known| known.store_lost_since_ms);
        let state = PeerState {
            store_lost_since_ms: (!peer.has_store).then(|| since_ms.unwrap_or(now_ms)),
            peer,
            last_heartbeat_ms: now_ms,
        };
        self.peers.insert(node.to_owned(), state);
    }

    /// Whether an owner's process has ended, because its instance runs a later
    /// one.
    #[must_use]
    pub fn has_ended(&self, row: &OwnerRow) -> bool {
        if row.node == self.node {
            return row.started_unix_ms != self.started_unix_ms;
        }
        self.peers
            .get(&row.node)
            .is_some_and(|peer| peer.peer.started_unix_ms > row.started_unix_ms)
    }

    /// Whether a former owner's process, which runs on, has stopped to act on a shard.
    #[must_use]
    pub fn has_relinquished(&self, shard: &str, row: &OwnerRow) -> bool {
        let peer = self.peers.get(&row.node).map(|state| &state.peer);
        peer.is_some_and(|peer| {
            let token = peer.relinquished.get(shard);
            peer.started_unix_ms == row.started_unix_ms
                && token.is_some_and(|token| *token >= row.fencing_token)
        })
    }

    /// Returns the newest known row of a shard's owner and its version.
    #[must_use]
    pub fn owner(&self, shard: &str) -> Option<(&OwnerRow, u64)> {
        let state = self.shards.get(shard)?;
        Some((state.row.as_ref()?, state.version))
    }

    /// Returns until when the owners before the newest known one may act on a shard, by
    /// the clock of [`Self::owner_read`]; `None` if they had ended when it was claimed.
    /// The claim was carried out before its row was read.
    #[must_use]
    pub fn earlier_owners_act_until_ms(&self, shard: &str) -> Option<u64> {
        let state = self.shards.get(shard)?;
        let row = state.row.as_ref()?;
        let unconfirmed_ms = self.settings.max_unconfirmed_ms;
        (!row.earlier_ended).then_some(state.changed_ms + unconfirmed_ms)
    }

    /// Returns the names of all shards.
    pub fn shards(&self) -> impl Iterator<Item = &str> {
        self.shards.keys().map(String::as_str)
    }

    /// Whether this process owns a shard.
    #[must_use]
    pub fn owns(&self, shard: &str) -> bool {
        self.owner(shard).is_some_and(|(row, _)| self.is_self(row))
    }

    fn is_self(&self, row: &OwnerRow) -> bool {
        row.node == self.node && row.started_unix_ms == self.started_unix_ms && !row.released
    }

    /// Returns the claims that are due for this process. The caller must be able
    /// to reach the store and must not be leaving.
    #[must_use]
    pub fn due_claims(&self, now_ms: u64) -> Vec<Claim> {
        if now_ms < self.started_ms + self.settings.startup_delay_ms {
            return Vec::new();
        }
        let mut owned = self.shard_counts(now_ms);
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
            let rank = self.claim_rank(shard, &mut owned);
            if now_ms < vacant_ms + wait_ms + rank * self.settings.claim_stagger_ms {
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

    /// Returns when a shard becomes vacant unless newer information about its
    /// owner arrives; `None` if this process owns it.
    fn vacant_since_ms(&self, state: &ShardState) -> Option<u64> {
        let Some(row) = &state.row else {
            let started_up_ms = self.started_ms + self.settings.startup_delay_ms;
            return Some(state.changed_ms.max(started_up_ms));
        };
        if self.is_self(row) {
            return None;
        }
        if row.released || row.node == self.node {
            return Some(state.changed_ms);
        }
        let Some(peer) = self.peers.get(&row.node) else {
            let active_ms = state.changed_ms.max(self.started_ms);
            let unresponsive_ms = active_ms + self.settings.peer_timeout_ms;
            return Some(unresponsive_ms.max(state.healthy_until_ms));
        };
        if peer.peer.started_unix_ms > row.started_unix_ms {
            return Some(state.changed_ms);
        }
        if let Some(since_ms) = peer.store_lost_since_ms {
            let store_timeout_ms = since_ms + self.settings.store_loss_timeout_ms;
            return Some(store_timeout_ms.max(state.healthy_until_ms));
        }
        let unresponsive_ms = self
            .unresponsive_ms(peer)
            .max(state.changed_ms + self.settings.peer_timeout_ms);
        Some(unresponsive_ms.max(state.healthy_until_ms))
    }

    fn predecessor_ended(&self, state: &ShardState) -> bool {
        let Some(row) = &state.row else { return true };
        row.released || self.has_ended(row)
    }

    /// Returns the number of shards that each candidate owns. A candidate is
    /// responsive, can reach the store and is not leaving.
    fn shard_counts(&self, now_ms: u64) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::from([(self.node.as_str(), 0)]);
        for (name, state) in &self.peers {
            let unresponsive = self.unresponsive_ms(state) < now_ms;
            if !unresponsive && !state.peer.leaving && state.peer.has_store {
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

    /// Returns this process's rank among the candidates for a shard, from 0. The
    /// first candidate counts as the owner in later calls, so that vacant shards
    /// spread over the candidates.
    fn claim_rank<'a>(&'a self, shard: &str, owned: &mut BTreeMap<&'a str, u64>) -> u64 {
        let mut candidates: Vec<(u64, u64, &str)> = owned
            .iter()
            .map(|(&node, &count)| {
                (
                    self.utilization_with_one_more(node, count),
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
        let rank = candidates
            .iter()
            .position(|(_, _, node)| *node == self.node);
        rank.unwrap_or(candidates.len()) as u64
    }

    /// Returns a candidate's shards per core if it owned one more, scaled by
    /// [`UTILIZATION_SCALE`].
    fn utilization_with_one_more(&self, node: &str, count: u64) -> u64 {
        let millicores = match self.peers.get(node) {
            Some(state) if node != self.node => state.peer.millicores,
            _ => self.millicores,
        };
        (count + 1) * UTILIZATION_SCALE / millicores.max(1)
    }

    /// Returns when [`Self::due_claims`] may next change without any other
    /// event.
    #[must_use]
    pub fn next_claim_ms(&self, now_ms: u64) -> Option<u64> {
        let started_up_ms = self.started_ms + self.settings.startup_delay_ms;
        let vacant = self
            .shards
            .values()
            .filter_map(|state| self.vacant_since_ms(state));
        let next = vacant.map(|vacant_ms| {
            if vacant_ms > now_ms {
                vacant_ms
            } else {
                let turns = (now_ms - vacant_ms) / self.settings.claim_stagger_ms + 1;
                vacant_ms + turns * self.settings.claim_stagger_ms
            }
        });
        next.min().map(|next_ms| next_ms.max(started_up_ms))
    }
}
