use std::collections::BTreeSet;

use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::scheduler_event::SchedulerEvent;
use super::stored_batch::WorkerRecord;
use super::worker_state::Contact;

/// Time after its last confirmation by the store for which an owner grants leases without
/// a quorum of workers. The store confirms an owner that reaches it twice a second.
const CONFIRMED_MS: u64 = 1500;
/// Age up to which an answered renewal counts for the quorum: two answers of a worker that
/// is asked every [`RENEWAL_INTERVAL_MS`] and may wait as long, and as much for delays.
const MAX_ANSWER_AGE_MS: u64 = 1200;
/// Time without a confirmation after which an owner collects the answers of a quorum: longer
/// than two intervals of its store heartbeats, which a batch that is stored delays.
const COLLECT_AFTER_MS: u64 = 1100;
/// Interval at which it then renews leases.
const RENEWAL_INTERVAL_MS: u64 = 300;
/// Rows of workers that the store may hold at most: more than one only while it leaves writes
/// unanswered.
const MAX_ROWS: usize = 8;

/// An incarnation of a worker: its identifier and its start.
type Incarnation = (String, u64);

/// What a successor knows of the owners before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredecessorBounds {
    /// Time by which the store had replaced the predecessor, by the monotonic clock.
    pub replaced_ms: u64,
    /// When all leases granted by the owners before the predecessor have expired.
    pub earlier_leases_end_ms: u64,
    /// Longest time after which a lease has expired.
    pub lease_expiry_ms: u64,
}

/// Incarnations of workers that the store records for a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RecordedWorkers(BTreeSet<Incarnation>);

/// The rows of workers that the store may hold.
///
/// An owner that the store has not confirmed lately may have a successor. It grants leases
/// only as long as a quorum of the recorded workers answers it. The successor fences the
/// workers one by one; any two quorums have a worker in common, so that its predecessor has
/// none once a quorum is fenced, and the successor need not wait for the workers that are
/// silent.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredRows {
    rows: Vec<RecordedWorkers>,
}

/// The workers that a predecessor recorded, and those of them that have reported to the
/// successor or have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct FencedWorkers {
    bounds: Option<PredecessorBounds>,
    recorded: RecordedWorkers,
    fenced: BTreeSet<Incarnation>,
}

impl RecordedWorkers {
    pub(super) fn new<'a>(records: impl Iterator<Item = &'a WorkerRecord>) -> Self {
        Self(
            records
                .map(|record| (record.id.clone(), record.born_unix_ms))
                .collect(),
        )
    }

    /// Whether the workers that `counts` selects are a quorum. The first one weighs more
    /// than half of another, so that a half is a quorum with it. One whose start is not known
    /// can't be told from its next incarnation, which has lost the fence, and never counts.
    fn is_quorum(&self, counts: impl Fn(&Incarnation) -> bool) -> bool {
        let weights = (0..self.0.len()).map(|place| if place == 0 { 3 } else { 2 });
        let total: usize = weights.clone().sum();
        let counted = self.0.iter().zip(weights);
        let counted = counted.filter(|(worker, _)| worker.1 != 0 && counts(worker));
        let weight: usize = counted.map(|(_, weight)| weight).sum();
        2 * weight > total
    }
}

impl StoredRows {
    /// Records that a row may be stored.
    pub(super) fn writing(&mut self, row: RecordedWorkers) {
        // Beyond the limit there is no quorum until a row is stored.
        if !self.rows.contains(&row) && self.rows.len() <= MAX_ROWS {
            self.rows.push(row);
        }
    }

    /// Records that a row is stored. Earlier writes can't be carried out any more.
    pub(super) fn stored(&mut self, row: RecordedWorkers) {
        self.rows = vec![row];
    }

    fn have_quorum(&self, counts: impl Fn(&Incarnation) -> bool) -> bool {
        (1..=MAX_ROWS).contains(&self.rows.len())
            && self.rows.iter().all(|row| row.is_quorum(&counts))
    }
}

impl FencedWorkers {
    pub(super) fn new(records: &[WorkerRecord]) -> Self {
        Self {
            bounds: None,
            recorded: RecordedWorkers::new(records.iter()),
            fenced: BTreeSet::new(),
        }
    }

    /// Records that a worker answers no predecessor any more. Returns when all leases that one
    /// may have granted end, as soon as a quorum is fenced.
    fn insert(&mut self, worker: Incarnation, now_ms: u64) -> Option<u64> {
        let bounds = self.bounds?;
        if !self.recorded.0.contains(&worker) || !self.fenced.insert(worker) {
            return None;
        }
        let is_fenced = |worker: &Incarnation| self.fenced.contains(worker);
        if !self.recorded.is_quorum(is_fenced) {
            return None;
        }
        self.bounds = None;
        let acts_until_ms = (bounds.replaced_ms + CONFIRMED_MS).max(now_ms + MAX_ANSWER_AGE_MS);
        let leases_end_ms = acts_until_ms + bounds.lease_expiry_ms;
        Some(leases_end_ms.max(bounds.earlier_leases_end_ms))
    }
}

impl PoolScheduler {
    /// Sets what is known of a predecessor that grants leases only while the store or a
    /// quorum of its workers has confirmed it lately. Follows
    /// [`Self::set_predecessor`].
    pub fn bound_predecessor(&mut self, bounds: PredecessorBounds) {
        self.fenced_workers.bounds = Some(bounds);
    }

    /// Whether this owner may grant leases: the store, or a quorum of the workers, has
    /// confirmed it lately. `confirmed_ms` is the time of the last request by which the store
    /// confirmed ownership, by the monotonic clock.
    #[must_use]
    pub fn may_grant_leases(&self, confirmed_ms: u64, now: Instant) -> bool {
        let confirmed_ms = self.ownership_confirmed_ms.max(confirmed_ms);
        now.steady_ms < confirmed_ms + CONFIRMED_MS || self.has_quorum(now)
    }

    fn has_quorum(&self, now: Instant) -> bool {
        self.stored_rows.have_quorum(|(id, born_unix_ms)| {
            let worker = self.incarnation_of_id.get(id);
            let worker = worker.and_then(|incarnation| self.incarnations.get(incarnation));
            worker.is_some_and(|worker| {
                worker.entry.born_unix_ms == *born_unix_ms
                    && worker.contact != Contact::Unknown
                    && now.steady_ms < worker.report_requested_ms + MAX_ANSWER_AGE_MS
            })
        })
    }

    /// Whether to collect the answers of a quorum: the store has not confirmed ownership
    /// lately, and leases are to be granted.
    pub(super) fn collects_quorum(&self, now: Instant) -> bool {
        let is_due = now.steady_ms >= self.ownership_confirmed_ms + COLLECT_AFTER_MS;
        let mut workers = self.incarnations.values();
        is_due && (!self.ready.is_empty() || workers.any(|worker| !worker.runs.is_empty()))
    }

    /// Renews leases more often, also those of idle workers.
    pub(super) fn collect_quorum(&mut self, now: Instant) {
        for worker in self.incarnations.values_mut() {
            if worker.recorded && worker.contact == Contact::Responsive {
                worker.renew_by(worker.report_requested_ms + RENEWAL_INTERVAL_MS);
            }
        }
        self.next_collection_ms = Some(now.steady_ms + RENEWAL_INTERVAL_MS);
    }

    /// Longest time that renewals may wait at a worker while a quorum is collected.
    pub(super) const COLLECTING_WAIT_MS: u64 = RENEWAL_INTERVAL_MS;

    /// Notes that all incarnations of a worker up to one have ended.
    pub(super) fn worker_ended(&mut self, id: &str, born_unix_ms: u64, now: Instant) {
        let recorded = self.fenced_workers.recorded.0.iter();
        let ended = recorded.filter(|(known, born)| known == id && *born <= born_unix_ms);
        let ended: Vec<u64> = ended.map(|(_, born)| *born).collect();
        for born_unix_ms in ended {
            self.worker_fenced(id, born_unix_ms, now);
        }
    }

    /// Notes that a worker has reported to this owner, or has ended, for the wait for the
    /// predecessor's leases.
    pub(super) fn worker_fenced(&mut self, id: &str, born_unix_ms: u64, now: Instant) {
        let worker = (id.to_owned(), born_unix_ms);
        let end_ms = self.fenced_workers.insert(worker, now.steady_ms);
        if let Some(end_ms) = end_ms {
            self.predecessor_leases_end_ms = self.predecessor_leases_end_ms.min(end_ms);
            self.events.push(SchedulerEvent::PredecessorFenced {
                recorded: self.fenced_workers.recorded.0.len(),
                fenced: self.fenced_workers.fenced.len(),
                wait_ms: self.predecessor_leases_end_ms.saturating_sub(now.steady_ms),
            });
        }
    }
}
