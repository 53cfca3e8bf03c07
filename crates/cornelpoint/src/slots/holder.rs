use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::account::Account;
use super::allotment::Allotment;
use super::allotment::Claim;
use super::allotment::allot;
use super::endpoint_use::EndpointUse;
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
/// A new holder knows nothing of what the one before has lent: it takes over
/// what gateways report and at first lends only slots that it saw given back.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: HolderSettings,
    term: u64,
    started_ms: u64,
    endpoints: BTreeMap<InstanceId, EndpointUse>,
    ledger: Ledger,
}

impl Holder {
    /// A holder that starts without state. `term` tells it from all that were
    /// or will be holders of the same endpoints.
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

    /// Sets the endpoints; one that is no longer named takes no new work.
    ///
    /// News of a lower epoch is passed over.
    pub fn set_endpoints(&mut self, endpoints: &[HolderEndpoint], now_ms: u64) {
        self.settle(now_ms);
        for endpoint in endpoints {
            self.endpoints
                .entry(endpoint.instance.clone())
                .or_insert_with(|| EndpointUse::new(endpoint))
                .update(endpoint, now_ms);
        }
        for (instance, known) in &mut self.endpoints {
            if !endpoints.iter().any(|named| named.instance == *instance) {
                known.leave(now_ms);
            }
        }
    }

    /// Takes one gateway's report and answers with its new limits.
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
        self.settle(now_ms);
        if self.is_out_of_date(request) {
            return self.nothing_lent(request);
        }
        let lease_end_ms = now_ms + self.settings.lease_ms;
        let mut account = Account::from_report(request, lease_end_ms);
        let key = (request.gateway.clone(), request.incarnation);
        self.ledger.replace(key.clone(), account.clone());
        self.note_adopted(now_ms);
        let allotment = self.allotment(request, &account, now_ms);
        let limits = self.limits(request, &account, allotment, now_ms);
        let reply = self.reply(request, &account, allotment, &limits);
        account.raise_to(limits);
        self.ledger.replace(key, account);
        reply
    }

    /// Whether an endpoint has every slot back and every request over.
    ///
    /// Never true before a request must be over that another holder, or a
    /// gateway that hears no holder, let start: both stop to start requests
    /// within [`HolderSettings::leaving_known_ms`].
    #[must_use]
    pub fn is_drained(&self, endpoint: &InstanceId, now_ms: u64) -> bool {
        let Some(known) = self.endpoints.get(endpoint) else {
            return now_ms >= self.unknown_until_ms(self.started_ms);
        };
        let Some(left_ms) = known.left_ms() else {
            return false;
        };
        let unknown_until_ms = self.unknown_until_ms(left_ms.max(self.started_ms));
        now_ms >= unknown_until_ms && self.lent(endpoint, now_ms) == 0
    }

    /// Slots lent at an endpoint, those in lapsed leases with them until
    /// their requests must be over.
    #[must_use]
    pub fn lent(&self, endpoint: &InstanceId, now_ms: u64) -> u32 {
        self.ledger
            .accounts()
            .filter(|(_, account)| !self.is_over(account, now_ms))
            .map(|(_, account)| account.count_at(endpoint))
            .sum()
    }

    /// Requests that ran at an endpoint by the gateways' last reports.
    #[must_use]
    pub fn running(&self, endpoint: &InstanceId) -> u32 {
        self.ledger
            .accounts()
            .filter_map(|(_, account)| account.holdings.get(endpoint))
            .map(|holding| holding.in_use)
            .sum()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self, now_ms: u64) -> HolderDump {
        let endpoints = self
            .endpoints
            .iter()
            .map(|(instance, known)| EndpointDump {
                instance: instance.clone(),
                epoch: known.epoch(),
                slots: known.slots(),
                lent: self.lent(instance, now_ms),
                accepts_work: known.accepts_work(),
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

    fn settle(&mut self, now_ms: u64) {
        if let Some(ended_ms) = now_ms.checked_sub(self.settings.max_deadline_ms) {
            self.ledger.remove_ended(ended_ms);
        }
        let ledger = &self.ledger;
        self.endpoints
            .retain(|instance, known| ledger.lent(instance) > 0 || !known.is_old(now_ms));
    }

    fn is_over(&self, account: &Account, now_ms: u64) -> bool {
        account.lease_end_ms + self.settings.max_deadline_ms <= now_ms
    }

    /// Time until which requests may run that this holder does not know of.
    fn unknown_until_ms(&self, since_ms: u64) -> u64 {
        since_ms + self.settings.leaving_known_ms + self.settings.max_deadline_ms
    }

    fn is_adopting(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + self.settings.adopt_ms
    }

    fn is_out_of_date(&self, request: &SlotRequest) -> bool {
        let Some((incarnation, account)) = self.ledger.newest(&request.gateway) else {
            return false;
        };
        let known = (incarnation, account.sequence);
        (request.incarnation, request.sequence) <= known
    }

    fn nothing_lent(&self, request: &SlotRequest) -> SlotReply {
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
            .filter(|(_, known)| !known.accepts_work())
            .map(|(instance, known)| LeavingEndpoint {
                endpoint: instance.clone(),
                epoch: known.epoch(),
            })
            .collect()
    }

    /// Notes the slots that gateways have at once, so that those given back can
    /// be lent. A report from before this term may be out of date: its slots
    /// count as lent, and only as given back once their gateway has heard of
    /// this holder.
    fn note_adopted(&mut self, now_ms: u64) {
        if !self.is_adopting(now_ms) {
            return;
        }
        for (instance, known) in &mut self.endpoints {
            known.note_adopted(self.ledger.lent_in_term(instance, self.term));
        }
    }

    fn free_at(&self, endpoint: &InstanceId, known: &EndpointUse, now_ms: u64) -> u32 {
        let lendable = known.lendable(self.is_adopting(now_ms));
        lendable.saturating_sub(self.ledger.lent(endpoint))
    }

    fn allotment(&self, request: &SlotRequest, account: &Account, now_ms: u64) -> Allotment {
        let others: Vec<Claim> = self
            .ledger
            .accounts()
            .filter(|((gateway, _), _)| *gateway != request.gateway)
            .filter(|(_, other)| other.lease_end_ms > now_ms)
            .map(|(_, other)| other.claim())
            .collect();
        let adopting = self.is_adopting(now_ms);
        let slots = self
            .endpoints
            .values()
            .map(|known| known.lendable(adopting))
            .sum();
        let free = self
            .endpoints
            .iter()
            .map(|(instance, known)| self.free_at(instance, known, now_ms))
            .sum();
        allot(account.claim(), &others, slots, free)
    }

    fn limits(
        &self,
        request: &SlotRequest,
        account: &Account,
        allotment: Allotment,
        now_ms: u64,
    ) -> BTreeMap<InstanceId, u32> {
        let mut limits = self.kept(account);
        let held: u32 = limits.values().sum();
        if held < allotment.upper {
            self.grow(&mut limits, request, allotment.upper - held, now_ms);
        } else {
            let excess = held.saturating_sub(allotment.lower);
            shrink(&mut limits, excess.min(allotment.others_lack));
        }
        limits
    }

    /// What a gateway has, less what an endpoint cannot give.
    fn kept(&self, account: &Account) -> BTreeMap<InstanceId, u32> {
        let mut limits = BTreeMap::new();
        for (instance, holding) in &account.holdings {
            let Some(known) = self.endpoints.get(instance) else {
                continue;
            };
            let excess = self
                .ledger
                .lent(instance)
                .saturating_sub(known.lendable(false));
            let kept = holding.count.saturating_sub(excess);
            if kept > 0 {
                limits.insert(instance.clone(), kept);
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
            .map(|(instance, known)| (instance, self.free_at(instance, known, now_ms)))
            .filter(|(instance, free)| *free > 0 && !request.avoided.contains(instance))
            .collect();
        for _ in 0..wanted {
            let best = free
                .iter_mut()
                .filter(|(_, left)| *left > 0)
                .min_by_key(|(instance, left)| (limits.get(*instance).copied(), u32::MAX - *left));
            let Some((instance, left)) = best else {
                return;
            };
            *left -= 1;
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

    /// Soon when slots are on their way, and the later the more requests
    /// wait for each slot.
    fn ask_again_in_ms(&self, demand: u32, lent: u32, allotment: Allotment) -> u64 {
        if lent < allotment.least.max(1) {
            return self.settings.ask_soon_ms;
        }
        let scaled_ms = self.settings.ask_soon_ms * u64::from(demand / lent);
        scaled_ms.clamp(self.settings.ask_soon_ms, self.settings.ask_later_ms)
    }
}

/// Takes slots away, from the endpoint with the most first.
fn shrink(limits: &mut BTreeMap<InstanceId, u32>, excess: u32) {
    for _ in 0..excess {
        let Some(most) = limits.values_mut().max() else {
            return;
        };
        *most = most.saturating_sub(1);
    }
}
