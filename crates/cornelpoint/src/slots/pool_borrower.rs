use crate::name::AvailabilityZone;
use crate::name::InstanceId;

use super::borrower::Borrower;
use super::borrower_dump::BorrowerDump;
use super::borrower_settings::BorrowerSettings;
use super::holder_endpoint::HolderEndpoint;
use super::slot_permit::SlotPermit;
use super::slot_reply::SlotReply;
use super::slot_request::SlotRequest;

/// One gateway's slots of one pool in all availability zones.
///
/// Demand goes to the gateway's own availability zone first, and to the
/// others in equal parts while the own one has too few slots.
#[derive(Clone, Debug)]
pub struct PoolBorrower {
    own: Borrower,
    others: Vec<Borrower>,
    queued: u32,
    earliest_deadline_ms: Option<u64>,
}

impl PoolBorrower {
    /// A borrower for the own availability zone and for each other one.
    #[must_use]
    pub fn new(own: BorrowerSettings, others: Vec<BorrowerSettings>, now_ms: u64) -> Self {
        Self {
            own: Borrower::new(own, now_ms),
            others: others
                .into_iter()
                .map(|settings| Borrower::new(settings, now_ms))
                .collect(),
            queued: 0,
            earliest_deadline_ms: None,
        }
    }

    /// Sets the endpoints of one availability zone, as for
    /// [`Borrower::set_endpoints`].
    pub fn set_endpoints(
        &mut self,
        availability_zone: &AvailabilityZone,
        endpoints: &[HolderEndpoint],
        now_ms: u64,
    ) {
        if let Some(borrower) = self.borrower_mut(availability_zone) {
            borrower.set_endpoints(endpoints, now_ms);
        }
    }

    /// Notes that an endpoint itself said that it leaves.
    pub fn endpoint_leaves(&mut self, endpoint: &InstanceId, now_ms: u64) {
        for borrower in self.all_mut() {
            borrower.endpoint_leaves(endpoint, now_ms);
        }
    }

    /// Sets the endpoints that get no requests for now, as for
    /// [`Borrower::set_avoided`].
    pub fn set_avoided(&mut self, avoided: &[InstanceId]) {
        for borrower in self.all_mut() {
            borrower.set_avoided(avoided);
        }
    }

    /// Adds an availability zone, unless it is known.
    pub fn add_zone(&mut self, settings: BorrowerSettings, now_ms: u64) {
        if self.borrower_mut(&settings.availability_zone).is_none() {
            self.others.push(Borrower::new(settings, now_ms));
        }
    }

    /// Whether every holder has given less than was asked for and requests
    /// still wait.
    #[must_use]
    pub fn lacks_slots(&self) -> bool {
        self.all().all(Borrower::lacks_slots)
    }

    /// Sets how many requests wait for a slot, and the earliest of their
    /// deadlines, in milliseconds.
    pub fn set_demand(&mut self, queued: u32, earliest_deadline_ms: Option<u64>) {
        self.queued = queued;
        self.earliest_deadline_ms = earliest_deadline_ms;
        self.spread_demand();
    }

    /// Takes a slot for one request, in the own availability zone if there is
    /// one, as for [`Borrower::acquire`].
    ///
    /// ```
    /// use cornelpoint::name::AvailabilityZone;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::name::PoolName;
    /// use cornelpoint::slots::BorrowerSettings;
    /// use cornelpoint::slots::PoolBorrower;
    ///
    /// let own = BorrowerSettings::for_own_zone(
    ///     InstanceId::try_from("entry-1").unwrap(),
    ///     1,
    ///     PoolName::try_from("quoting").unwrap(),
    ///     AvailabilityZone::try_from("a").unwrap(),
    /// );
    /// let mut borrower = PoolBorrower::new(own, Vec::new(), 0);
    /// borrower.set_demand(1, Some(500));
    /// assert!(borrower.acquire(&|_| false, 0).is_none());
    /// assert_eq!(borrower.requests_due(0).len(), 1);
    /// ```
    pub fn acquire(
        &mut self,
        excluded: &dyn Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> Option<SlotPermit> {
        let slot = self
            .all_mut()
            .find_map(|borrower| borrower.acquire(excluded, now_ms))?;
        self.queued = self.queued.saturating_sub(1);
        self.spread_demand();
        Some(slot)
    }

    /// Gives a slot back when its request is over; a repeat has no effect.
    pub fn release(&mut self, slot: &SlotPermit, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(&slot.availability_zone) {
            borrower.release(slot, now_ms);
        }
    }

    /// The messages to send now, each to the holder of the availability zone
    /// that it names.
    pub fn requests_due(&mut self, now_ms: u64) -> Vec<SlotRequest> {
        self.spread_demand();
        self.all_mut()
            .filter_map(|borrower| borrower.request_due(now_ms))
            .collect()
    }

    /// Takes in a holder's answer.
    pub fn apply(&mut self, availability_zone: &AvailabilityZone, reply: &SlotReply, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(availability_zone) {
            borrower.apply(reply, now_ms);
        }
    }

    /// Notes that the message to a holder has no answer.
    pub fn exchange_failed(&mut self, availability_zone: &AvailabilityZone, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(availability_zone) {
            borrower.exchange_failed(now_ms);
        }
    }

    /// Slots in which requests may be started, at the endpoints chosen.
    #[must_use]
    pub fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.all().map(|borrower| borrower.free_at(chosen)).sum()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.all().map(Borrower::running).sum()
    }

    /// Whether nothing waits, runs or is lent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.all().all(Borrower::is_idle)
    }

    /// The whole state, own availability zone first.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> Vec<BorrowerDump> {
        self.all().map(|borrower| borrower.dump(now_ms)).collect()
    }

    fn spread_demand(&mut self) {
        self.own.set_demand(self.queued, self.earliest_deadline_ms);
        let short = self.own.lacks_slots();
        let zones = u32::try_from(self.others.len()).unwrap_or(u32::MAX).max(1);
        let part = if short {
            self.queued.div_ceil(zones)
        } else {
            0
        };
        for borrower in &mut self.others {
            borrower.set_demand(part, self.earliest_deadline_ms);
        }
    }

    fn all(&self) -> impl Iterator<Item = &Borrower> {
        std::iter::once(&self.own).chain(&self.others)
    }

    fn all_mut(&mut self) -> impl Iterator<Item = &mut Borrower> {
        std::iter::once(&mut self.own).chain(&mut self.others)
    }

    fn borrower_mut(&mut self, availability_zone: &AvailabilityZone) -> Option<&mut Borrower> {
        self.all_mut()
            .find(|borrower| borrower.availability_zone() == availability_zone)
    }
}
