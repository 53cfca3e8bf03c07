use std::collections::BTreeMap;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

use super::borrowed::BorrowedSlots;
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

/// Messages in one lease when nothing else is to be said.
const RENEWALS_PER_LEASE: u64 = 3;

/// One gateway's slots of one pool in one availability zone.
///
/// The caller asks [`Borrower::request_due`] at each event and every few
/// milliseconds, sends what it returns to the holder, and reports the outcome
/// with [`Borrower::apply`] or [`Borrower::exchange_failed`].
#[derive(Clone, Debug)]
pub struct Borrower {
    settings: BorrowerSettings,
    slots: BorrowedSlots,
    known: KnownEndpoints,
    uses: BTreeMap<u64, RunningRequest>,
    last_use: u64,
    queued: u32,
    earliest_deadline_ms: Option<u64>,
    sequence: u64,
    holder_term: Option<u64>,
    outstanding: Option<PendingExchange>,
    last_sent_ms: Option<u64>,
    reported_held: u32,
    reported_queued: u32,
    lease_from_ms: u64,
    lease_end_ms: u64,
    failing_since_ms: Option<u64>,
    ask_again_ms: u64,
    answered_short: bool,
    contended: bool,
    fallback: bool,
    avoided: Vec<InstanceId>,
    idle_window: IdleWindow,
}

impl Borrower {
    /// A borrower without slots.
    #[must_use]
    pub fn new(settings: BorrowerSettings, now_ms: u64) -> Self {
        Self {
            settings,
            slots: BorrowedSlots::default(),
            known: KnownEndpoints::default(),
            uses: BTreeMap::new(),
            last_use: 0,
            queued: 0,
            earliest_deadline_ms: None,
            sequence: 0,
            holder_term: None,
            outstanding: None,
            last_sent_ms: None,
            reported_held: 0,
            reported_queued: 0,
            lease_from_ms: now_ms,
            lease_end_ms: now_ms,
            failing_since_ms: None,
            ask_again_ms: now_ms,
            answered_short: false,
            contended: false,
            fallback: false,
            avoided: Vec::new(),
            idle_window: IdleWindow::new(now_ms),
        }
    }

    /// Sets the endpoints as the gateway knows them from elsewhere: the
    /// fallback uses those that take work, and those that leave are not used
    /// even if the holder still lends them.
    pub fn set_endpoints(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.known.set_view(endpoints, now_ms);
        self.drop_leaving();
        if self.fallback {
            self.use_fallback();
        }
    }

    /// Notes that an endpoint itself said that it leaves.
    pub fn endpoint_leaves(&mut self, endpoint: &InstanceId, now_ms: u64) {
        let epoch = self.slots.epoch(endpoint).max(self.known.epoch(endpoint));
        self.known.leave(endpoint, epoch, now_ms);
        self.drop_leaving();
    }

    /// Sets how many requests wait for a slot here, and the earliest of their
    /// deadlines, in milliseconds.
    pub fn set_demand(&mut self, queued: u32, earliest_deadline_ms: Option<u64>) {
        self.queued = queued;
        self.earliest_deadline_ms = earliest_deadline_ms;
    }

    /// Sets the endpoints that get no requests for now though they accept
    /// work. Unused slots there go back, and none are asked for.
    pub fn set_avoided(&mut self, avoided: &[InstanceId]) {
        if self.avoided != avoided {
            self.avoided = avoided.to_vec();
            self.drop_avoided();
        }
    }

    /// Takes a slot for one request, at an endpoint that is not excluded.
    ///
    /// The request must be started at once, and ended by its deadline.
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
        self.lapse(now_ms);
        let best = self
            .slots
            .best(|endpoint| !excluded(endpoint), self.last_use);
        let endpoint = best?.clone();
        self.slots.start(&endpoint);
        self.idle_window.note(self.slots.in_use());
        self.last_use += 1;
        let running = RunningRequest {
            endpoint: endpoint.clone(),
            started_ms: now_ms,
        };
        self.uses.insert(self.last_use, running);
        Some(SlotPermit {
            availability_zone: self.settings.availability_zone.clone(),
            endpoint,
            id: self.last_use,
        })
    }

    /// Gives a slot back when its request is over; a repeat has no effect.
    pub fn release(&mut self, slot: &SlotPermit, now_ms: u64) {
        self.lapse(now_ms);
        if let Some(ended) = self.uses.remove(&slot.id) {
            self.slots.end(&ended.endpoint);
        }
    }

    /// The message to send to the holder now, if one is due.
    ///
    /// At most one message is under way: the next is due only after
    /// [`Borrower::apply`] or [`Borrower::exchange_failed`].
    pub fn request_due(&mut self, now_ms: u64) -> Option<SlotRequest> {
        self.lapse(now_ms);
        self.give_back_idle(now_ms);
        if self.outstanding.is_some() || !self.is_due(now_ms) {
            return None;
        }
        Some(self.send(now_ms))
    }

    /// Takes in the holder's answer to the message under way; any other is
    /// passed over.
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
        self.lease_from_ms = pending.since_ms;
        self.lease_end_ms = pending.since_ms + reply.lease_ms;
        self.slots.set_limits(&reply.lent);
        for leaving in &reply.leaving {
            self.known.leave(&leaving.endpoint, leaving.epoch, now_ms);
        }
        self.reported_held = self.reported_held.max(self.slots.held());
        self.answered_short = reply.lent_in_all() < pending.demand;
        self.ask_again_ms = now_ms;
        if self.answered_short {
            self.ask_again_ms += reply.ask_again_in_ms;
        }
        self.contended = reply.contended;
        self.drop_leaving();
        self.drop_avoided();
        self.lapse(now_ms);
    }

    /// Notes that the message under way has no answer, or will have none in
    /// time.
    pub fn exchange_failed(&mut self, now_ms: u64) {
        let Some(pending) = self.outstanding.take() else {
            return;
        };
        self.answered_short = true;
        self.ask_again_ms = now_ms + self.settings.retry_interval_ms;
        let since_ms = *self.failing_since_ms.get_or_insert(pending.since_ms);
        let lapsed = now_ms >= self.lease_end_ms;
        if lapsed && now_ms >= since_ms + self.settings.fallback_after_ms {
            self.fallback = true;
            self.use_fallback();
        }
    }

    /// Whether the holder gave less than was asked for and requests still
    /// wait, so that other availability zones should be asked.
    #[must_use]
    pub fn lacks_slots(&self) -> bool {
        self.answered_short && self.queued > self.slots.free()
    }

    /// The availability zone whose endpoints are used.
    #[must_use]
    pub fn availability_zone(&self) -> &AvailabilityZone {
        &self.settings.availability_zone
    }

    /// Whether nothing waits, runs or is lent, so that no message is due.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queued == 0
            && self.reported_queued == 0
            && self.reported_held == 0
            && self.slots.held() == 0
            && self.outstanding.is_none()
    }

    /// Slots in which requests may be started, at the endpoints chosen.
    #[must_use]
    pub fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.slots.free_at(chosen)
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.slots.in_use()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> BorrowerDump {
        let first_started_ms = self.uses.values().map(|running| running.started_ms).min();
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

    fn lapse(&mut self, now_ms: u64) {
        if now_ms >= self.lease_end_ms && !self.fallback {
            self.slots.clear_limits();
        }
    }

    fn use_fallback(&mut self) {
        let slots = self.known.equal_slots(self.settings.fallback_slots);
        self.slots.set_limits(&slots);
        self.drop_avoided();
    }

    fn drop_avoided(&mut self) {
        for endpoint in &self.avoided {
            self.slots.clear_limit(endpoint);
        }
    }

    fn drop_leaving(&mut self) {
        let known = &self.known;
        self.slots
            .clear_limits_where(|endpoint, epoch| !known.accepts_work(endpoint, epoch));
    }

    fn give_back_idle(&mut self, now_ms: u64) {
        if self.fallback {
            return;
        }
        let Some(peak) = self.idle_window.peak(self.idle_window_ms(), now_ms) else {
            return;
        };
        let needed = peak.max(self.slots.in_use() + self.queued);
        let idle = self.slots.held().saturating_sub(needed);
        self.slots.give_up(idle);
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
        let wants = self.queued > self.slots.free() && now_ms >= self.ask_again_ms;
        let gives_back = self.slots.held() < self.reported_held;
        let stopped_waiting = self.queued == 0 && self.reported_queued > 0;
        let news = gives_back || stopped_waiting;
        let tells = news && now_ms >= last_sent_ms + self.idle_window_ms();
        wants || tells || self.must_renew(now_ms)
    }

    fn must_renew(&self, now_ms: u64) -> bool {
        let lease_ms = self.lease_end_ms - self.lease_from_ms;
        let renewal_ms = self.lease_from_ms + lease_ms / RENEWALS_PER_LEASE;
        self.slots.held() > 0 && now_ms >= renewal_ms.max(self.ask_again_ms)
    }

    fn send(&mut self, now_ms: u64) -> SlotRequest {
        self.sequence += 1;
        self.last_sent_ms = Some(now_ms);
        self.reported_held = self.slots.held();
        self.reported_queued = self.queued;
        self.outstanding = Some(PendingExchange {
            sequence: self.sequence,
            since_ms: now_ms,
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
