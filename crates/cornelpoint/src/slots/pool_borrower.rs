use crate::name::AvailabilityZone;
use crate::name::InstanceId;

use super::borrower::Borrower;
use super::borrower_dump::BorrowerDump;
use super::borrower_settings::BorrowerSettings;
use super::holder_endpoint::HolderEndpoint;
use super::slot_permit::SlotPermit;
use super::slot_reply::SlotReply;
use super::slot_request::SlotRequest;

/// Borrows one pool's slots for one gateway from all availability zones.
///
/// Demand goes to the gateway's own availability zone first, and in equal
/// parts to the others while its own lacks slots.
#[derive(Clone, Debug)]
pub struct PoolBorrower {
    own: Borrower,
    others: Vec<Borrower>,
    queued: u32,
    earliest_deadline_ms: Option<u64>,
}

impl PoolBorrower {
    /// Creates a borrower for the gateway's own availability zone and for each
    /// of the others.
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

    /// Records that an endpoint has itself announced that it leaves.
    pub fn endpoint_leaves(&mut self, endpoint: &InstanceId, now_ms: u64) {
        for borrower in self.borrowers_mut() {
            borrower.endpoint_leaves(endpoint, now_ms);
        }
    }

    /// Sets the endpoints that get no requests for the time being, as for
    /// [`Borrower::set_avoided`].
    pub fn set_avoided(&mut self, avoided: &[InstanceId]) {
        for borrower in self.borrowers_mut() {
            borrower.set_avoided(avoided);
        }
    }

    /// Adds an availability zone, unless there is a borrower for it already.
    pub fn add_zone(&mut self, settings: BorrowerSettings, now_ms: u64) {
        if self.borrower_mut(&settings.availability_zone).is_none() {
            self.others.push(Borrower::new(settings, now_ms));
        }
    }

    /// Returns whether slots are lacking in every availability zone, as for
    /// [`Borrower::lacks_slots`].
    #[must_use]
    pub fn lacks_slots(&self) -> bool {
        self.borrowers().all(Borrower::lacks_slots)
    }

    /// Sets the number of requests queued for a slot, and the earliest of their
    /// deadlines, in milliseconds.
    pub fn set_demand(&mut self, queued: u32, earliest_deadline_ms: Option<u64>) {
        self.queued = queued;
        self.earliest_deadline_ms = earliest_deadline_ms;
        self.spread_demand();
    }

    /// Takes a slot for one request, preferably in the gateway's own
    /// availability zone, as for [`Borrower::acquire`].
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
            .borrowers_mut()
            .find_map(|borrower| borrower.acquire(excluded, now_ms))?;
        self.queued = self.queued.saturating_sub(1);
        self.spread_demand();
        Some(slot)
    }

    /// Releases a slot when its request has ended. Releasing it again has no
    /// effect.
    pub fn release(&mut self, slot: &SlotPermit, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(&slot.availability_zone) {
            borrower.release(slot, now_ms);
        }
    }

    /// Returns the requests to send now, each to the holder of the availability
    /// zone that it names.
    pub fn requests_due(&mut self, now_ms: u64) -> Vec<SlotRequest> {
        self.spread_demand();
        self.borrowers_mut()
            .filter_map(|borrower| borrower.request_due(now_ms))
            .collect()
    }

    /// Applies a holder's reply.
    pub fn apply(&mut self, availability_zone: &AvailabilityZone, reply: &SlotReply, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(availability_zone) {
            borrower.apply(reply, now_ms);
        }
    }

    /// Records that the outstanding request to a holder failed or timed out.
    pub fn exchange_failed(&mut self, availability_zone: &AvailabilityZone, now_ms: u64) {
        if let Some(borrower) = self.borrower_mut(availability_zone) {
            borrower.exchange_failed(now_ms);
        }
    }

    /// Returns the free slots at the endpoints that `chosen` accepts.
    #[must_use]
    pub fn free_at(&self, chosen: &dyn Fn(&InstanceId) -> bool) -> u32 {
        self.borrowers()
            .map(|borrower| borrower.free_at(chosen))
            .sum()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.borrowers().map(Borrower::running).sum()
    }

    /// Returns whether nothing is queued, running or lent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.borrowers().all(Borrower::is_idle)
    }

    /// Returns the state for operators, the gateway's own availability zone
    /// first.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> Vec<BorrowerDump> {
        self.borrowers()
            .map(|borrower| borrower.dump(now_ms))
            .collect()
    }

    fn spread_demand(&mut self) {
        self.own.set_demand(self.queued, self.earliest_deadline_ms);
        let own_lacks_slots = self.own.lacks_slots();
        let zones = u32::try_from(self.others.len()).unwrap_or(u32::MAX).max(1);
        let zone_demand = if own_lacks_slots {
            self.queued.div_ceil(zones)
        } else {
            0
        };
        for borrower in &mut self.others {
            borrower.set_demand(zone_demand, self.earliest_deadline_ms);
        }
    }

    fn borrowers(&self) -> impl Iterator<Item = &Borrower> {
        std::iter::once(&self.own).chain(&self.others)
    }

    fn borrowers_mut(&mut self) -> impl Iterator<Item = &mut Borrower> {
        std::iter::once(&mut self.own).chain(&mut self.others)
    }

    fn borrower_mut(&mut self, availability_zone: &AvailabilityZone) -> Option<&mut Borrower> {
        self.borrowers_mut()
            .find(|borrower| borrower.availability_zone() == availability_zone)
    }
}
