use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelpoint::configuration::Generation;
use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::membership::Membership;
use cornelpoint::membership::OutgoingGossip;
use cornelpoint::name::InstanceId;
use cornelpoint::platform::InstanceList;
use cornelpoint::platform::InstanceState;
use cornelpoint::replication::AppliedChanges;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;
use cornelpoint::slots::Holder;

use super::keeper_dump::KeeperDump;
use super::slot_holders::HolderKey;
use crate::message::EndpointSign;
use crate::message::GatewayStatus;
use crate::message::KeeperStatus;
use crate::message::SyncReply;
use crate::message::SyncRequest;
use crate::message::View;
use crate::message::ViewRequest;

/// Time after which a gateway that no longer polls is dropped from the status.
const GATEWAY_RETENTION_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct GatewayReport {
    applied: Generation,
    last_poll_ms: u64,
}

/// State of a keeper, free of threads and sockets.
#[derive(Debug)]
pub(super) struct State {
    pub(super) membership: Membership,
    pub(super) replicated: ReplicatedState,
    pub(super) holders: BTreeMap<HolderKey, Holder>,
    gateways: BTreeMap<InstanceId, GatewayReport>,
    pub(super) slot_lease_ms: u64,
    pub(super) platform_reachable: bool,
    pub(super) leaving: bool,
    pub(super) pauses: u64,
}

impl State {
    pub(super) fn new(membership: Membership, slot_lease_ms: u64) -> Self {
        Self {
            replicated: ReplicatedState::new(membership.own().incarnation),
            membership,
            holders: BTreeMap::new(),
            gateways: BTreeMap::new(),
            slot_lease_ms,
            platform_reachable: false,
            leaving: false,
            pauses: 0,
        }
    }

    // Queries.

    pub(super) fn replicated(&self) -> &ReplicatedState {
        &self.replicated
    }

    pub(super) fn answer_sync(&self, request: SyncRequest) -> SyncReply {
        SyncReply {
            update: self.replicated.since(request.position, request.generation),
            position: self.replicated.position(),
        }
    }

    pub(super) fn present_members(&self) -> Vec<Member> {
        self.membership.present().cloned().collect()
    }

    pub(super) fn pauses(&self) -> u64 {
        self.pauses
    }

    pub(super) fn status(&self, now_ms: u64) -> KeeperStatus {
        let own = self.membership.own();
        KeeperStatus {
            instance: own.instance.clone(),
            availability_zone: own.availability_zone.clone(),
            generation: self.replicated.generation(),
            platform_reachable: self.platform_reachable,
            gateways: self.gateway_statuses(now_ms),
            members: self.membership.members().cloned().collect(),
            marks: self.replicated.marks().cloned().collect(),
        }
    }

    pub(super) fn dump(&self, now_ms: u64) -> KeeperDump {
        KeeperDump {
            instance: self.membership.own().instance.clone(),
            now_ms,
            platform_reachable: self.platform_reachable,
            pauses: self.pauses,
            configuration: self.replicated.configuration().cloned(),
            members: self.membership.members().cloned().collect(),
            marks: self.replicated.marks().cloned().collect(),
            gateways: self.gateway_statuses(now_ms),
            holders: self.holder_entries(now_ms),
        }
    }

    // Commands.

    /// Detects a pause of the process and drops all slot holders, as their
    /// record of what is lent may be out of date after it.
    pub(super) fn detect_pause(&mut self, now_ms: u64) {
        if self.membership.was_paused(now_ms) {
            self.pauses += 1;
            self.holders.clear();
        }
    }

    pub(super) fn tick(&mut self, now_ms: u64) -> Vec<OutgoingGossip> {
        self.gateways
            .retain(|_, report| now_ms.saturating_sub(report.last_poll_ms) < GATEWAY_RETENTION_MS);
        if self.leaving {
            return Vec::new();
        }
        let outgoing = self.membership.tick(now_ms);
        self.update_holders(now_ms);
        outgoing
    }

    pub(super) fn receive_gossip(
        &mut self,
        message: GossipMessage,
        now_ms: u64,
    ) -> Vec<OutgoingGossip> {
        if self.leaving {
            return Vec::new();
        }
        self.membership.receive(message, now_ms)
    }

    pub(super) fn leave(&mut self) -> Vec<OutgoingGossip> {
        self.leaving = true;
        self.holders.clear();
        self.membership.leave()
    }

    pub(super) fn set_platform_reachable(&mut self, reachable: bool) {
        self.platform_reachable = reachable;
    }

    pub(super) fn apply(&mut self, update: Update, now_ms: u64) -> AppliedChanges {
        let changes = self.replicated.apply(update);
        if !changes.is_empty() {
            self.refresh_holders(now_ms);
        }
        changes
    }

    pub(super) fn apply_instance_list(
        &mut self,
        list: InstanceList,
        now_ms: u64,
    ) -> AppliedChanges {
        let mut marks = Vec::new();
        for listed in list.instances {
            if listed.keeper_address.is_some() {
                continue;
            }
            let mark = EndpointMark {
                instance: listed.instance,
                epoch: listed.epoch,
                accepts_work: listed.state == InstanceState::Live,
                cause: MarkCause::InstanceList,
            };
            marks.extend(self.mark_after_restart(&mark));
            marks.push(mark);
        }
        self.apply(
            Update {
                configuration: None,
                marks,
            },
            now_ms,
        )
    }

    /// Returns the mark that clears an endpoint's announcement to leave, when the
    /// instance list shows that the endpoint has restarted since.
    fn mark_after_restart(&self, listed: &EndpointMark) -> Option<EndpointMark> {
        let restarted = self
            .replicated
            .mark(&listed.instance, MarkCause::InstanceList)
            .is_some_and(|known| listed.epoch > known.epoch);
        let announced = self
            .replicated
            .mark(&listed.instance, MarkCause::Endpoint)?;
        if !restarted || !listed.accepts_work || announced.accepts_work {
            return None;
        }
        Some(EndpointMark {
            instance: listed.instance.clone(),
            epoch: announced.epoch + 1,
            accepts_work: true,
            cause: MarkCause::Endpoint,
        })
    }

    pub(super) fn apply_announcement(
        &mut self,
        announcement: EndpointSign,
        now_ms: u64,
    ) -> AppliedChanges {
        if self.replicated.work_epoch(&announcement.instance) > announcement.work_epoch {
            return AppliedChanges::default();
        }
        let known = self
            .replicated
            .mark(&announcement.instance, MarkCause::Endpoint);
        let accepts_now = known.is_none_or(|mark| mark.accepts_work);
        if accepts_now == announcement.accepts_work {
            return AppliedChanges::default();
        }
        self.mark(
            announcement.instance,
            announcement.accepts_work,
            MarkCause::Endpoint,
            now_ms,
        )
    }

    pub(super) fn mark(
        &mut self,
        instance: InstanceId,
        accepts_work: bool,
        cause: MarkCause,
        now_ms: u64,
    ) -> AppliedChanges {
        let mark = EndpointMark {
            epoch: self.replicated.next_epoch(&instance, cause),
            instance,
            accepts_work,
            cause,
        };
        self.apply(
            Update {
                configuration: None,
                marks: vec![mark],
            },
            now_ms,
        )
    }

    pub(super) fn answer_view(&mut self, request: ViewRequest, now_ms: u64) -> View {
        let update = self.replicated.since(request.position, request.applied);
        self.gateways.insert(
            request.gateway,
            GatewayReport {
                applied: request.applied,
                last_poll_ms: now_ms,
            },
        );
        let members_version = self.membership.version();
        let same_incarnation = request
            .position
            .is_some_and(|position| position.incarnation == self.replicated.position().incarnation);
        let changed = !same_incarnation || request.members_version != Some(members_version);
        View {
            update,
            position: self.replicated.position(),
            members_version,
            members: changed.then(|| self.present_members()),
        }
    }

    pub(super) fn own_instance(&self) -> &InstanceId {
        &self.membership.own().instance
    }

    fn gateway_statuses(&self, now_ms: u64) -> Vec<GatewayStatus> {
        self.gateways
            .iter()
            .map(|(instance, report)| GatewayStatus {
                instance: instance.clone(),
                applied: report.applied,
                seen_ms_ago: now_ms.saturating_sub(report.last_poll_ms),
            })
            .collect()
    }
}

/// Addresses of all members except this keeper.
pub(super) fn peer_addresses(members: &[Member], own: &InstanceId) -> Vec<SocketAddr> {
    members
        .iter()
        .filter(|member| &member.instance != own)
        .map(|member| member.keeper_address)
        .collect()
}
