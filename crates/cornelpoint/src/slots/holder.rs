use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::account::Account;
use super::allotment::Allotment;
use super::allotment::SlotUsage;
use super::allotment::allot;
use super::endpoint_state::EndpointState;
use super::holder_dump::EndpointDump;
use super::holder_dump::GatewayDump;
use super::holder_dump::HolderDump;
use super::holder_endpoint::HolderEndpoint;
use super::holder_settings::HolderSettings;
use super::ledger::Ledger;
use super::slot_reply::LeavingEndpoint;
use super::slot_reply::LentSlots;
use super::slot_reply::SlotReply;
use super::slot_request::SlotRequest;

/// Lends the slots of one pool's endpoints in one availability zone.
///
/// A new holder has no record of the slots that its predecessor lent. It
/// adopts the slots that gateways report as held, and until
/// [`HolderSettings::adopt_ms`] has passed it lends only adopted slots that
/// gateways have returned.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: HolderSettings,
    term: u64,
    started_ms: u64,
    endpoints: BTreeMap<InstanceId, EndpointState>,
    ledger: Ledger,
}

impl Holder {
    /// Creates a holder without state.
    ///
    /// `term` must differ from the term of every earlier and later holder of
    /// the same endpoints.
    #[must_use]
    pub fn new(settings: HolderSettings, term: u64, now_ms: u64) -> Self {
        Self {
            settings,
            term,
            started_ms: now_ms,
            endpoints: BTreeMap::new(),
            ledger: Ledger::default(),
        }
    }

    /// Sets the endpoints. An endpoint that is missing from the list accepts
    /// no new work.
    ///
    /// An entry with a lower epoch than the one known is ignored.
    pub fn set_endpoints(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.remove_expired(now_ms);
        for endpoint in endpoints {
            self.endpoints
                .entry(endpoint.instance.clone())
                .or_insert_with(|| EndpointState::new(endpoint))
                .update(endpoint, now_ms);
        }
        for (instance, state) in &mut self.endpoints {
            if !endpoints.iter().any(|named| named.instance == *instance) {
                state.mark_leaving(now_ms);
            }
        }
    }

    /// Processes one gateway's report and returns its new limits.
    ///
    /// ```
    /// use cornelpoint::name::AvailabilityZone;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::name::PoolName;
    /// use cornelpoint::slots::Holder;
    /// use cornelpoint::slots::HolderEndpoint;
    /// use cornelpoint::slots::HolderSettings;
    /// use cornelpoint::slots::SlotRequest;
    ///
    /// let settings = HolderSettings::for_max_deadline(2_000);
    /// let mut holder = Holder::new(settings, 1, 0);
    /// let endpoint = HolderEndpoint {
    ///     instance: InstanceId::try_from("quoting-1").unwrap(),
    ///     epoch: 1,
    ///     slots: 8,
    ///     accepts_work: true,
    /// };
    /// holder.set_endpoints(&[endpoint], 0);
    /// let request = SlotRequest {
    ///     gateway: InstanceId::try_from("entry-1").unwrap(),
    ///     incarnation: 1,
    ///     sequence: 1,
    ///     holder_term: None,
    ///     pool: PoolName::try_from("quoting").unwrap(),
    ///     availability_zone: AvailabilityZone::try_from("a").unwrap(),
    ///     queued: 3,
    ///     earliest_deadline_in_ms: Some(500),
    ///     held: Vec::new(),
    ///     avoided: Vec::new(),
    /// };
    /// let reply = holder.exchange(&request, settings.adopt_ms);
    /// assert_eq!(reply.lent[0].count, 3);
    /// ```
    pub fn exchange(&mut self, request: &SlotRequest, now_ms: u64) -> SlotReply {
        self.remove_expired(now_ms);
        if self.is_stale(request) {
            return self.empty_reply(request);
        }
        let lease_end_ms = now_ms + self.settings.lease_ms;
        let mut account = Account::from_report(request, lease_end_ms);
        let key = (request.gateway.clone(), request.incarnation);
        self.ledger.replace(key.clone(), account.clone());
        self.record_adopted(now_ms);
        let allotment = self.allotment(request, &account, now_ms);
        let limits = self.limits(request, &account, allotment, now_ms);
        let reply = self.reply(request, &account, allotment, &limits);
        account.raise_to(limits);
        self.ledger.replace(key, account);
        reply
    }

    /// Returns whether all slots of a leaving endpoint have been returned and
    /// all of its requests have ended.
    ///
    /// A gateway that uses another holder, or that reaches no holder, may
    /// start requests for up to [`HolderSettings::leaving_known_ms`] after the
    /// endpoint has begun to leave. The result stays false until the longest
    /// deadline of such requests has passed. For an endpoint that is not known,
    /// this time counts from the start of the holder.
    #[must_use]
    pub fn is_drained(&self, endpoint: &InstanceId, now_ms: u64) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else {
            return now_ms >= self.untracked_until_ms(self.started_ms);
        };
        let Some(leaving_since_ms) = state.leaving_since_ms() else {
            return false;
        };
        let untracked_until_ms = self.untracked_until_ms(leaving_since_ms.max(self.started_ms));
        now_ms >= untracked_until_ms && self.lent(endpoint, now_ms) == 0
    }

    /// Returns the slots lent at an endpoint. Slots in an expired lease count
    /// until the longest deadline has passed as well.
    #[must_use]
    pub fn lent(&self, endpoint: &InstanceId, now_ms: u64) -> u32 {
        self.ledger
            .accounts()
            .filter(|(_, account)| !self.is_reclaimable(account, now_ms))
            .map(|(_, account)| account.count_at(endpoint))
            .sum()
    }

    /// Returns the requests running at an endpoint according to the gateways'
    /// last reports.
    #[must_use]
    pub fn running(&self, endpoint: &InstanceId) -> u32 {
        self.ledger
            .accounts()
            .filter_map(|(_, account)| account.holdings.get(endpoint))
            .map(|holding| holding.in_use)
            .sum()
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> HolderDump {
        let endpoints = self
            .endpoints
            .iter()
            .map(|(instance, state)| EndpointDump {
                instance: instance.clone(),
                epoch: state.epoch(),
                slots: state.slots(),
                lent: self.lent(instance, now_ms),
                accepts_work: state.accepts_work(),
                drained: self.is_drained(instance, now_ms),
            })
            .collect();
        let gateways = self
            .ledger
            .accounts()
            .map(|((gateway, incarnation), account)| GatewayDump {
                gateway: gateway.clone(),
                incarnation: *incarnation,
                queued: account.queued,
                lease_left_ms: account.lease_end_ms.saturating_sub(now_ms),
                held: account.held_slots(),
            })
            .collect();
        HolderDump {
            adopting: self.is_adopting(now_ms),
            endpoints,
            gateways,
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        if let Some(ended_ms) = now_ms.checked_sub(self.settings.max_deadline_ms) {
            self.ledger.remove_ended(ended_ms);
        }
        let ledger = &self.ledger;
        self.endpoints.retain(|instance, state| {
            ledger.lent(instance) > 0 || !state.is_retention_over(now_ms)
        });
    }

    fn is_reclaimable(&self, account: &Account, now_ms: u64) -> bool {
        account.lease_end_ms + self.settings.max_deadline_ms <= now_ms
    }

    /// Returns the time until which requests that this holder does not track
    /// may still be running.
    fn untracked_until_ms(&self, since_ms: u64) -> u64 {
        since_ms + self.settings.leaving_known_ms + self.settings.max_deadline_ms
    }

    fn is_adopting(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + self.settings.adopt_ms
    }

    fn is_stale(&self, request: &SlotRequest) -> bool {
        let Some((incarnation, account)) = self.ledger.newest(&request.gateway) else {
            return false;
        };
        let newest = (incarnation, account.sequence);
        (request.incarnation, request.sequence) <= newest
    }

    fn empty_reply(&self, request: &SlotRequest) -> SlotReply {
        SlotReply {
            incarnation: request.incarnation,
            sequence: request.sequence,
            holder_term: self.term,
            lease_ms: 0,
            lent: Vec::new(),
            leaving: self.leaving(),
            contended: false,
            ask_again_in_ms: self.settings.ask_later_ms,
        }
    }

    fn leaving(&self) -> Vec<LeavingEndpoint> {
        self.endpoints
            .iter()
            .filter(|(_, state)| !state.accepts_work())
            .map(|(instance, state)| LeavingEndpoint {
                endpoint: instance.clone(),
                epoch: state.epoch(),
            })
            .collect()
    }

    /// Records the peak of slots that gateways hold at the same time, so that
    /// returned slots can be lent again.
    ///
    /// A report from a gateway that has not yet received a reply of this term
    /// may be outdated. Its slots count as lent, but they raise the peak only
    /// once the gateway reports under this term.
    fn record_adopted(&mut self, now_ms: u64) {
        if !self.is_adopting(now_ms) {
            return;
        }
        for (instance, state) in &mut self.endpoints {
            state.record_adopted(self.ledger.lent_in_term(instance, self.term));
        }
    }

    fn free_at(&self, endpoint: &InstanceId, state: &EndpointState, now_ms: u64) -> u32 {
        let lendable = state.lendable(self.is_adopting(now_ms));
        lendable.saturating_sub(self.ledger.lent(endpoint))
    }

    fn allotment(&self, request: &SlotRequest, account: &Account, now_ms: u64) -> Allotment {
        let others: Vec<SlotUsage> = self
            .ledger
            .accounts()
            .filter(|((gateway, _), _)| *gateway != request.gateway)
            .filter(|(_, other)| other.lease_end_ms > now_ms)
            .map(|(_, other)| other.usage())
            .collect();
        let adopting = self.is_adopting(now_ms);
        let slots = self
            .endpoints
            .values()
            .map(|state| state.lendable(adopting))
            .sum();
        let free = self
            .endpoints
            .iter()
            .map(|(instance, state)| self.free_at(instance, state, now_ms))
            .sum();
        allot(account.usage(), &others, slots, free)
    }

    fn limits(
        &self,
        request: &SlotRequest,
        account: &Account,
        allotment: Allotment,
        now_ms: u64,
    ) -> BTreeMap<InstanceId, u32> {
        let mut limits = self.retained_limits(account);
        let held: u32 = limits.values().sum();
        if held < allotment.upper {
            self.grow(&mut limits, request, allotment.upper - held, now_ms);
        } else {
            let excess = held.saturating_sub(allotment.lower);
            shrink(&mut limits, excess.min(allotment.others_shortfall));
        }
        limits
    }

    /// Returns a gateway's slots, reduced where more slots are lent at an
    /// endpoint than it offers.
    fn retained_limits(&self, account: &Account) -> BTreeMap<InstanceId, u32> {
        let mut limits = BTreeMap::new();
        for (instance, holding) in &account.holdings {
            let Some(state) = self.endpoints.get(instance) else {
                continue;
            };
            let excess = self
                .ledger
                .lent(instance)
                .saturating_sub(state.lendable(false));
            let retained = holding.count.saturating_sub(excess);
            if retained > 0 {
                limits.insert(instance.clone(), retained);
            }
        }
        limits
    }

    fn grow(
        &self,
        limits: &mut BTreeMap<InstanceId, u32>,
        request: &SlotRequest,
        wanted: u32,
        now_ms: u64,
    ) {
        let mut free: Vec<(&InstanceId, u32)> = self
            .endpoints
            .iter()
            .map(|(instance, state)| (instance, self.free_at(instance, state, now_ms)))
            .filter(|(instance, free)| *free > 0 && !request.avoided.contains(instance))
            .collect();
        for _ in 0..wanted {
            let best = free
                .iter_mut()
                .filter(|(_, remaining)| *remaining > 0)
                .min_by_key(|(instance, remaining)| {
                    (limits.get(*instance).copied(), u32::MAX - *remaining)
                });
            let Some((instance, remaining)) = best else {
                return;
            };
            *remaining -= 1;
            *limits.entry((*instance).clone()).or_default() += 1;
        }
    }

    fn reply(
        &self,
        request: &SlotRequest,
        account: &Account,
        allotment: Allotment,
        limits: &BTreeMap<InstanceId, u32>,
    ) -> SlotReply {
        let lent = limits
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(instance, count)| LentSlots {
                endpoint: instance.clone(),
                epoch: self.endpoints[instance].epoch(),
                count: *count,
            })
            .collect();
        let total: u32 = limits.values().sum();
        SlotReply {
            incarnation: request.incarnation,
            sequence: request.sequence,
            holder_term: self.term,
            lease_ms: self.settings.lease_ms,
            lent,
            leaving: self.leaving(),
            contended: allotment.contended,
            ask_again_in_ms: self.ask_again_in_ms(account.demand(), total, allotment),
        }
    }

    /// Returns the shortest interval while the gateway is below its minimum
    /// share. Otherwise the interval grows with the requests per lent slot.
    fn ask_again_in_ms(&self, demand: u32, lent: u32, allotment: Allotment) -> u64 {
        if lent < allotment.min_share.max(1) {
            return self.settings.ask_soon_ms;
        }
        let scaled_ms = self.settings.ask_soon_ms * u64::from(demand / lent);
        scaled_ms.clamp(self.settings.ask_soon_ms, self.settings.ask_later_ms)
    }
}

/// Lowers the limits by `excess` slots, one at a time from the highest limit.
fn shrink(limits: &mut BTreeMap<InstanceId, u32>, excess: u32) {
    for _ in 0..excess {
        let Some(most) = limits.values_mut().max() else {
            return;
        };
        *most = most.saturating_sub(1);
    }
}
