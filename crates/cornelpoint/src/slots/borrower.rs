use std::collections::BTreeMap;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

use super::borrowed_slots::BorrowedSlots;
use super::borrower_dump::BorrowerDump;
use super::borrower_settings::BorrowerSettings;
use super::holder_endpoint::HolderEndpoint;
use super::idle_window::IdleWindow;
use super::known_endpoints::KnownEndpoints;
use super::pending_exchange::PendingExchange;
use super::running_request::RunningRequest;
use super::slot_permit::SlotPermit;
use super::slot_reply::SlotReply;
use super::slot_request::SlotRequest;

/// Renewals per lease when there is nothing else to report.
const RENEWALS_PER_LEASE: u64 = 3;

/// Borrows one pool's slots in one availability zone for one gateway.
///
/// The caller calls [`Borrower::request_due`] at each event and every few
/// milliseconds, sends the request that it returns to the holder, and reports
/// the result with [`Borrower::apply`] or [`Borrower::exchange_failed`].
#[derive(Clone, Debug)]
pub struct Borrower {
    settings: BorrowerSettings,
    slots: BorrowedSlots,
    known: KnownEndpoints,
    running_requests: BTreeMap<u64, RunningRequest>,
    last_permit_id: u64,
    queued: u32,
    earliest_deadline_ms: Option<u64>,
    sequence: u64,
    holder_term: Option<u64>,
    outstanding: Option<PendingExchange>,
    last_sent_ms: Option<u64>,
    reported_held: u32,
    reported_queued: u32,
    lease_start_ms: u64,
    lease_end_ms: u64,
    failing_since_ms: Option<u64>,
    ask_again_ms: u64,
    demand_unmet: bool,
    contended: bool,
    fallback: bool,
    avoided: Vec<InstanceId>,
    idle_window: IdleWindow,
}

impl Borrower {
    /// Creates a borrower without slots.
    #[must_use]
    pub fn new(settings: BorrowerSettings, now_ms: u64) -> Self {
        Self {
            settings,
            slots: BorrowedSlots::default(),
            known: KnownEndpoints::default(),
            running_requests: BTreeMap::new(),
            last_permit_id: 0,
            queued: 0,
            earliest_deadline_ms: None,
            sequence: 0,
            holder_term: None,
            outstanding: None,
            last_sent_ms: None,
            reported_held: 0,
            reported_queued: 0,
            lease_start_ms: now_ms,
            lease_end_ms: now_ms,
            failing_since_ms: None,
            ask_again_ms: now_ms,
            demand_unmet: false,
            contended: false,
            fallback: false,
            avoided: Vec::new(),
            idle_window: IdleWindow::new(now_ms),
        }
    }

    /// Sets the endpoints from a source other than the holder. The fallback
    /// uses those that accept work; those that leave get no new requests even
    /// if the holder still lends their slots.
    pub fn set_endpoints(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.known.set_view(endpoints, now_ms);
        self.clear_leaving();
        if self.fallback {
            self.use_fallback();
        }
    }

    /// Records that an endpoint has itself announced that it leaves.
    pub fn endpoint_leaves(&mut self, endpoint: &InstanceId, now_ms: u64) {
        let epoch = self.slots.epoch(endpoint).max(self.known.epoch(endpoint));
        self.known.mark_leaving(endpoint, epoch, now_ms);
        self.clear_leaving();
    }

    /// Sets the number of requests queued for a slot here, and the earliest of
    /// their deadlines, in milliseconds.
    pub fn set_demand(&mut self, queued: u32, earliest_deadline_ms: Option<u64>) {
        self.queued = queued;
        self.earliest_deadline_ms = earliest_deadline_ms;
    }

    /// Sets the endpoints that get no requests for the time being although
    /// they accept work. Unused slots there are returned, and none are
    /// requested.
    pub fn set_avoided(&mut self, avoided: &[InstanceId]) {
        if self.avoided != avoided {
            self.avoided = avoided.to_vec();
            self.clear_avoided();
        }
    }

    /// Takes a slot for one request, at an endpoint that is not excluded.
    ///
    /// The caller must start the request at once and end it by its deadline.
    ///
    /// ```
    /// use cornelpoint::name::AvailabilityZone;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::name::PoolName;
    /// use cornelpoint::slots::Borrower;
    /// use cornelpoint::slots::BorrowerSettings;
    /// use cornelpoint::slots::LentSlots;
    /// use cornelpoint::slots::SlotReply;
    ///
    /// let settings = BorrowerSettings::for_own_zone(
    ///     InstanceId::try_from("entry-1").unwrap(),
    ///     1,
    ///     PoolName::try_from("quoting").unwrap(),
    ///     AvailabilityZone::try_from("a").unwrap(),
    /// );
    /// let mut borrower = Borrower::new(settings, 0);
    /// borrower.set_demand(1, Some(500));
    /// assert!(borrower.acquire(&|_| false, 0).is_none());
    /// let request = borrower.request_due(0).unwrap();
    /// let lent = LentSlots {
    ///     endpoint: InstanceId::try_from("quoting-1").unwrap(),
    ///     epoch: 1,
    ///     count: 1,
    /// };
    /// let reply = SlotReply {
    ///     incarnation: request.incarnation,
    ///     sequence: request.sequence,
    ///     holder_term: 1,
    ///     lease_ms: 900,
    ///     lent: vec![lent],
    ///     leaving: Vec::new(),
    ///     contended: false,
    ///     ask_again_in_ms: 100,
    /// };
    /// borrower.apply(&reply, 2);
    /// let slot = borrower.acquire(&|_| false, 2).unwrap();
    /// assert_eq!(slot.endpoint.as_str(), "quoting-1");
    /// borrower.release(&slot, 40);
    /// ```
    pub fn acquire(
        &mut self,
        excluded: &dyn Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> Option<SlotPermit> {
        self.expire_lease(now_ms);
        let best = self
            .slots
            .most_free(|endpoint| !excluded(endpoint), self.last_permit_id);
        let endpoint = best?.clone();
        self.slots.record_start(&endpoint);
        self.idle_window.record(self.slots.in_use());
        self.last_permit_id += 1;
        let running = RunningRequest {
            endpoint: endpoint.clone(),
            started_ms: now_ms,
        };
        self.running_requests.insert(self.last_permit_id, running);
        Some(SlotPermit {
            availability_zone: self.settings.availability_zone.clone(),
            endpoint,
            id: self.last_permit_id,
        })
    }

    /// Releases a slot when its request has ended. Releasing it again has no
    /// effect.
    pub fn release(&mut self, slot: &SlotPermit, now_ms: u64) {
        self.expire_lease(now_ms);
        if let Some(ended) = self.running_requests.remove(&slot.id) {
            self.slots.record_end(&ended.endpoint);
        }
    }

    /// Returns the request to send to the holder now, if one is due.
    ///
    /// At most one request is outstanding: the next is due only after
    /// [`Borrower::apply`] or [`Borrower::exchange_failed`].
    pub fn request_due(&mut self, now_ms: u64) -> Option<SlotRequest> {
        self.expire_lease(now_ms);
        self.return_idle(now_ms);
        if self.outstanding.is_some() || !self.is_due(now_ms) {
            return None;
        }
        Some(self.start_exchange(now_ms))
    }

    /// Applies the holder's reply to the outstanding request; any other reply
    /// is ignored.
    pub fn apply(&mut self, reply: &SlotReply, now_ms: u64) {
        let Some(pending) = self.outstanding else {
            return;
        };
        let expected = (self.settings.incarnation, pending.sequence);
        if (reply.incarnation, reply.sequence) != expected {
            return;
        }
        self.holder_term = Some(reply.holder_term);
        if reply.lease_ms == 0 {
            self.exchange_failed(now_ms);
            return;
        }
        self.outstanding = None;
        self.fallback = false;
        self.failing_since_ms = None;
        self.lease_start_ms = pending.sent_ms;
        self.lease_end_ms = pending.sent_ms + reply.lease_ms;
        self.slots.set_limits(&reply.lent);
        for leaving in &reply.leaving {
            self.known
                .mark_leaving(&leaving.endpoint, leaving.epoch, now_ms);
        }
        self.reported_held = self.reported_held.max(self.slots.held());
        self.demand_unmet = reply.total_lent() < pending.demand;
        self.ask_again_ms = now_ms;
        if self.demand_unmet {
            self.ask_again_ms += reply.ask_again_in_ms;
        }
        self.contended = reply.contended;
        self.clear_leaving();
        self.clear_avoided();
        self.expire_lease(now_ms);
    }

    /// Records that the outstanding request failed or timed out.
    pub fn exchange_failed(&mut self, now_ms: u64) {
        let Some(pending) = self.outstanding.take() else {
            return;
        };
        self.demand_unmet = true;
        self.ask_again_ms = now_ms + self.settings.retry_interval_ms;
        let since_ms = *self.failing_since_ms.get_or_insert(pending.sent_ms);
        let lease_expired = now_ms >= self.lease_end_ms;
        if lease_expired && now_ms >= since_ms + self.settings.fallback_after_ms {
            self.fallback = true;
            self.use_fallback();
        }
    }

    /// Returns whether the last exchange left demand unmet and requests are
    /// still queued, so that slots should be requested in other availability
    /// zones.
    #[must_use]
    pub fn lacks_slots(&self) -> bool {
        self.demand_unmet && self.queued > self.slots.free()
    }

    /// Returns the availability zone whose slots are borrowed.
    #[must_use]
    pub fn availability_zone(&self) -> &AvailabilityZone {
        &self.settings.availability_zone
    }

    /// Returns whether nothing is queued, running, lent or outstanding, so that
    /// no request is due.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queued == 0
            && self.reported_queued == 0
            && self.reported_held == 0
            && self.slots.held() == 0
            && self.outstanding.is_none()
    }

    /// Returns the free slots at the endpoints that `chosen` accepts.
    #[must_use]
    pub fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.slots.free_at(chosen)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.slots.in_use()
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> BorrowerDump {
        let first_started_ms = self
            .running_requests
            .values()
            .map(|running| running.started_ms)
            .min();
        BorrowerDump {
            availability_zone: self.settings.availability_zone.clone(),
            sequence: self.sequence,
            lease_left_ms: self.lease_end_ms.saturating_sub(now_ms),
            fallback: self.fallback,
            queued: self.queued,
            longest_run_ms: now_ms - first_started_ms.unwrap_or(now_ms).min(now_ms),
            endpoints: self.slots.dump(),
        }
    }

    fn expire_lease(&mut self, now_ms: u64) {
        if now_ms >= self.lease_end_ms && !self.fallback {
            self.slots.clear_limits();
        }
    }

    fn use_fallback(&mut self) {
        let slots = self.known.uniform_slots(self.settings.fallback_slots);
        self.slots.set_limits(&slots);
        self.clear_avoided();
    }

    fn clear_avoided(&mut self) {
        for endpoint in &self.avoided {
            self.slots.clear_limit(endpoint);
        }
    }

    fn clear_leaving(&mut self) {
        let known = &self.known;
        self.slots
            .clear_limits_where(|endpoint, epoch| !known.accepts_work(endpoint, epoch));
    }

    fn return_idle(&mut self, now_ms: u64) {
        if self.fallback {
            return;
        }
        let Some(peak) = self.idle_window.peak(self.idle_window_ms(), now_ms) else {
            return;
        };
        let needed = peak.max(self.slots.in_use() + self.queued);
        let idle = self.slots.held().saturating_sub(needed);
        self.slots.reduce_limits(idle);
        self.idle_window.restart(self.slots.in_use(), now_ms);
    }

    fn idle_window_ms(&self) -> u64 {
        if self.contended {
            self.settings.min_interval_ms
        } else {
            self.settings.idle_return_ms
        }
    }

    fn is_due(&self, now_ms: u64) -> bool {
        let Some(last_sent_ms) = self.last_sent_ms else {
            return self.queued > self.slots.free();
        };
        if now_ms < last_sent_ms + self.settings.min_interval_ms {
            return false;
        }
        let needs_slots = self.queued > self.slots.free() && now_ms >= self.ask_again_ms;
        let returns_slots = self.slots.held() < self.reported_held;
        let queue_emptied = self.queued == 0 && self.reported_queued > 0;
        let changed = returns_slots || queue_emptied;
        let reports_change = changed && now_ms >= last_sent_ms + self.idle_window_ms();
        needs_slots || reports_change || self.is_renewal_due(now_ms)
    }

    fn is_renewal_due(&self, now_ms: u64) -> bool {
        let lease_ms = self.lease_end_ms - self.lease_start_ms;
        let renewal_ms = self.lease_start_ms + lease_ms / RENEWALS_PER_LEASE;
        self.slots.held() > 0 && now_ms >= renewal_ms.max(self.ask_again_ms)
    }

    fn start_exchange(&mut self, now_ms: u64) -> SlotRequest {
        self.sequence += 1;
        self.last_sent_ms = Some(now_ms);
        self.reported_held = self.slots.held();
        self.reported_queued = self.queued;
        self.outstanding = Some(PendingExchange {
            sequence: self.sequence,
            sent_ms: now_ms,
            demand: self.slots.in_use().saturating_add(self.queued),
        });
        SlotRequest {
            gateway: self.settings.gateway.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            holder_term: self.holder_term,
            pool: self.settings.pool.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            queued: self.queued,
            earliest_deadline_in_ms: self
                .earliest_deadline_ms
                .map(|deadline_ms| deadline_ms.saturating_sub(now_ms)),
            held: self.slots.report(),
            avoided: self.avoided.clone(),
        }
    }
}
