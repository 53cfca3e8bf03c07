use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::request::Refusal;

use super::deadline_counts::DeadlineCounts;
use super::drain_rate::DrainRate;
use super::queue_limits::QueueLimits;
use super::request_entry::RequestEntry;
use super::service_time::ServiceTime;

/// Share of requests that a request must be able to match to be worth a
/// start while others wait, in permille.
const LIKELY_PERMILLE: u32 = 995;
/// Share of requests that are so short that less time left is hopeless, in
/// permille.
const SHORTEST_PERMILLE: u32 = 10;
/// The queue may be drained this many times faster than learnt before a
/// refusal for a near deadline turns out wrong.
const SPEED_MARGIN: f64 = 1.25;

/// The waiting requests of one service at one gateway.
///
/// The request with the earliest deadline leaves first. All commands take
/// logarithmic time in the number of requests.
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
    /// An empty queue.
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

    /// Adds a request. A deadline beyond the longest is cut to it.
    ///
    /// # Errors
    ///
    /// [`Refusal::QueueFull`] when a limit would be passed or the number is
    /// taken, [`Refusal::DeadlineTooNear`] when the requests before it leave
    /// no time to run it by its deadline.
    pub fn push(&mut self, entry: RequestEntry, now_ms: u64) -> Result<(), Refusal> {
        self.check_admission(entry, now_ms)?;
        self.insert(self.cut(entry, now_ms));
        Ok(())
    }

    /// Judges whether `push` would take a request now.
    ///
    /// # Errors
    ///
    /// As for `push`.
    pub fn check_admission(&mut self, entry: RequestEntry, now_ms: u64) -> Result<(), Refusal> {
        let entry = self.cut(entry, now_ms);
        self.advance(now_ms);
        if self.is_too_near(entry.deadline_ms, now_ms) {
            return Err(Refusal::DeadlineTooNear);
        }
        if !self.has_room(entry) {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn cut(&self, entry: RequestEntry, now_ms: u64) -> RequestEntry {
        RequestEntry {
            deadline_ms: entry
                .deadline_ms
                .min(now_ms.saturating_add(self.limits.max_deadline_ms)),
            ..entry
        }
    }

    /// Takes out the request to run now, if there is one that can still be
    /// done in time.
    ///
    /// That is the earliest deadline among those with time enough for nearly
    /// all service times, or else among those with time for the shortest.
    pub fn pop(&mut self, now_ms: u64) -> Option<RequestEntry> {
        self.advance(now_ms);
        let entry = self
            .first_from(now_ms + self.service_time.quantile_ms(LIKELY_PERMILLE))
            .or_else(|| self.first_from(self.hopeless_until_ms(now_ms) + 1))?;
        self.take(entry);
        self.drain_rate.record_taken();
        Some(entry)
    }

    /// Takes out one request by its number; false when it is not here.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(deadline_ms) = self.deadlines_ms.get(&id).copied() else {
            return false;
        };
        let entry = self.entries[&(deadline_ms, id)];
        self.take(entry);
        true
    }

    /// Takes out the requests that can no longer be done in time.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<RequestEntry> {
        self.advance(now_ms);
        let until_ms = self.hopeless_until_ms(now_ms);
        let mut expired = Vec::new();
        while let Some(entry) = self.first_from(0) {
            if entry.deadline_ms > until_ms {
                break;
            }
            self.take(entry);
            expired.push(entry);
        }
        expired
    }

    /// Notes whether slots are known to be short.
    ///
    /// While they may still come, the rate at which the queue was drained
    /// says nothing of the rate to come, and no request is refused for it:
    /// a refusal would hide the demand that brings the slots.
    pub fn set_slots_scarce(&mut self, slots_scarce: bool) {
        self.slots_scarce = slots_scarce;
    }

    /// Notes how long an endpoint took for a request of this service, in
    /// milliseconds.
    pub fn record_service_time(&mut self, service_ms: u64) {
        self.service_time.record(service_ms);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the waiting bodies.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Earliest deadline of the waiting requests, in milliseconds.
    #[must_use]
    pub fn earliest_deadline_ms(&self) -> Option<u64> {
        self.entries
            .keys()
            .next()
            .map(|(deadline_ms, _)| *deadline_ms)
    }

    /// The request that would leave last.
    #[must_use]
    pub fn last(&self) -> Option<RequestEntry> {
        self.entries.values().next_back().copied()
    }

    fn advance(&mut self, now_ms: u64) {
        let waiting = !self.entries.is_empty();
        self.drain_rate.advance(now_ms, waiting);
    }

    fn hopeless_until_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.service_time.quantile_ms(SHORTEST_PERMILLE)
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    fn is_too_near(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let hopeless_until_ms = self.hopeless_until_ms(now_ms);
        if deadline_ms <= hopeless_until_ms {
            return true;
        }
        if !self.slots_scarce {
            return false;
        }
        let left_ms = (deadline_ms - hopeless_until_ms) as f64;
        let ahead = self.counts.count(hopeless_until_ms, deadline_ms);
        self.drain_rate.wait_ms(ahead) / SPEED_MARGIN > left_ms
    }

    fn has_room(&self, entry: RequestEntry) -> bool {
        self.entries.len() < self.limits.max_requests
            && self.body_bytes.saturating_add(entry.body_bytes) <= self.limits.max_body_bytes
            && !self.deadlines_ms.contains_key(&entry.id)
    }

    fn first_from(&self, deadline_ms: u64) -> Option<RequestEntry> {
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

    fn take(&mut self, entry: RequestEntry) {
        self.entries.remove(&(entry.deadline_ms, entry.id));
        self.deadlines_ms.remove(&entry.id);
        self.counts.subtract(entry.deadline_ms);
        self.body_bytes -= entry.body_bytes;
    }
}
