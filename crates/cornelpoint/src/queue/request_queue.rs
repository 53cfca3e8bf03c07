use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::request::Refusal;

use super::deadline_counts::DeadlineCounts;
use super::drain_rate::DrainRate;
use super::queue_limits::QueueLimits;
use super::request_entry::RequestEntry;
use super::service_time::ServiceTime;

/// Quantile of service times that the remaining time of a request must cover
/// for it to be dequeued by preference, in permille.
const SAFE_QUANTILE_PERMILLE: u32 = 995;
/// Quantile of service times that the remaining time must exceed, or else the
/// deadline is infeasible, in permille.
const MIN_QUANTILE_PERMILLE: u32 = 10;
/// Factor by which the queue may drain faster than estimated before a rejection
/// as [`Refusal::DeadlineTooNear`] proves wrong.
const DRAIN_SPEEDUP_MARGIN: f64 = 1.25;

/// Queued requests of one service at one gateway.
///
/// The request with the earliest deadline is dequeued first. All operations
/// take logarithmic time in the number of requests.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    entries: BTreeMap<(u64, u64), RequestEntry>,
    deadlines_ms: HashMap<u64, u64>,
    counts: DeadlineCounts,
    body_bytes: u64,
    drain_rate: DrainRate,
    slots_scarce: bool,
    service_time: ServiceTime,
}

impl RequestQueue {
    /// Creates an empty queue.
    ///
    /// ```
    /// use cornelpoint::queue::QueueLimits;
    /// use cornelpoint::queue::RequestEntry;
    /// use cornelpoint::queue::RequestQueue;
    ///
    /// let mut queue = RequestQueue::new(QueueLimits {
    ///     max_requests: 100,
    ///     max_body_bytes: 1_000_000,
    ///     max_deadline_ms: 2_000,
    /// });
    /// let late = RequestEntry { id: 1, deadline_ms: 900, body_bytes: 10 };
    /// let soon = RequestEntry { id: 2, deadline_ms: 500, body_bytes: 10 };
    /// queue.push(late, 0).unwrap();
    /// queue.push(soon, 0).unwrap();
    /// assert_eq!(queue.pop(1), Some(soon));
    /// ```
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            deadlines_ms: HashMap::new(),
            counts: DeadlineCounts::new(limits.max_deadline_ms),
            body_bytes: 0,
            drain_rate: DrainRate::new(),
            slots_scarce: true,
            service_time: ServiceTime::new(),
        }
    }

    /// Adds a request. A deadline beyond [`QueueLimits::max_deadline_ms`] is
    /// lowered to it.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::QueueFull`] if a limit would be exceeded or the
    /// number is in use, and [`Refusal::DeadlineTooNear`] if the requests
    /// ahead of it leave no time to run it by its deadline.
    pub fn push(&mut self, entry: RequestEntry, now_ms: u64) -> Result<(), Refusal> {
        self.check_admission(entry, now_ms)?;
        self.insert(self.cap_deadline(entry, now_ms));
        Ok(())
    }

    /// Checks whether `push` would admit a request now.
    ///
    /// # Errors
    ///
    /// The same as for `push`.
    pub fn check_admission(&mut self, entry: RequestEntry, now_ms: u64) -> Result<(), Refusal> {
        let entry = self.cap_deadline(entry, now_ms);
        self.advance(now_ms);
        if self.is_deadline_too_near(entry.deadline_ms, now_ms) {
            return Err(Refusal::DeadlineTooNear);
        }
        if !self.has_room(entry) {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn cap_deadline(&self, entry: RequestEntry, now_ms: u64) -> RequestEntry {
        RequestEntry {
            deadline_ms: entry
                .deadline_ms
                .min(now_ms.saturating_add(self.limits.max_deadline_ms)),
            ..entry
        }
    }

    /// Dequeues the request to run now, if any can still meet its deadline.
    ///
    /// This is the request with the earliest deadline among those whose
    /// remaining time covers nearly all service times, or otherwise among
    /// those whose remaining time covers the shortest ones.
    pub fn pop(&mut self, now_ms: u64) -> Option<RequestEntry> {
        self.advance(now_ms);
        let entry = self
            .first_with_deadline_from(
                now_ms + self.service_time.quantile_ms(SAFE_QUANTILE_PERMILLE),
            )
            .or_else(|| self.first_with_deadline_from(self.infeasible_until_ms(now_ms) + 1))?;
        self.remove_entry(entry);
        self.drain_rate.record_dequeued();
        Some(entry)
    }

    /// Removes one request by its number. Returns false if it is not queued.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(deadline_ms) = self.deadlines_ms.get(&id).copied() else {
            return false;
        };
        let entry = self.entries[&(deadline_ms, id)];
        self.remove_entry(entry);
        true
    }

    /// Removes and returns the requests that can no longer meet their deadline.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<RequestEntry> {
        self.advance(now_ms);
        let until_ms = self.infeasible_until_ms(now_ms);
        let mut expired = Vec::new();
        while let Some(entry) = self.first_with_deadline_from(0) {
            if entry.deadline_ms > until_ms {
                break;
            }
            self.remove_entry(entry);
            expired.push(entry);
        }
        expired
    }

    /// Sets whether slots are known to be scarce.
    ///
    /// While more slots may still be lent, the past drain rate does not predict
    /// the future one, and no request is rejected because of it: a rejection
    /// would hide the demand for which slots are lent.
    pub fn set_slots_scarce(&mut self, slots_scarce: bool) {
        self.slots_scarce = slots_scarce;
    }

    /// Records how long an endpoint took for a request of this service, in
    /// milliseconds.
    pub fn record_service_time(&mut self, service_ms: u64) {
        self.service_time.record(service_ms);
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the queued bodies, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Returns the earliest deadline of the queued requests, in milliseconds.
    #[must_use]
    pub fn earliest_deadline_ms(&self) -> Option<u64> {
        self.entries
            .keys()
            .next()
            .map(|(deadline_ms, _)| *deadline_ms)
    }

    /// Returns the request with the latest deadline.
    #[must_use]
    pub fn last(&self) -> Option<RequestEntry> {
        self.entries.values().next_back().copied()
    }

    fn advance(&mut self, now_ms: u64) {
        let waiting = !self.entries.is_empty();
        self.drain_rate.advance(now_ms, waiting);
    }

    fn infeasible_until_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.service_time.quantile_ms(MIN_QUANTILE_PERMILLE)
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    fn is_deadline_too_near(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let infeasible_until_ms = self.infeasible_until_ms(now_ms);
        if deadline_ms <= infeasible_until_ms {
            return true;
        }
        if !self.slots_scarce {
            return false;
        }
        let left_ms = (deadline_ms - infeasible_until_ms) as f64;
        let ahead = self.counts.count(infeasible_until_ms, deadline_ms);
        self.drain_rate.wait_ms(ahead) / DRAIN_SPEEDUP_MARGIN > left_ms
    }

    fn has_room(&self, entry: RequestEntry) -> bool {
        self.entries.len() < self.limits.max_requests
            && self.body_bytes.saturating_add(entry.body_bytes) <= self.limits.max_body_bytes
            && !self.deadlines_ms.contains_key(&entry.id)
    }

    fn first_with_deadline_from(&self, deadline_ms: u64) -> Option<RequestEntry> {
        self.entries
            .range((deadline_ms, 0)..)
            .next()
            .map(|(_, entry)| *entry)
    }

    fn insert(&mut self, entry: RequestEntry) {
        self.entries.insert((entry.deadline_ms, entry.id), entry);
        self.deadlines_ms.insert(entry.id, entry.deadline_ms);
        self.counts.add(entry.deadline_ms);
        self.body_bytes += entry.body_bytes;
    }

    fn remove_entry(&mut self, entry: RequestEntry) {
        self.entries.remove(&(entry.deadline_ms, entry.id));
        self.deadlines_ms.remove(&entry.id);
        self.counts.subtract(entry.deadline_ms);
        self.body_bytes -= entry.body_bytes;
    }
}
