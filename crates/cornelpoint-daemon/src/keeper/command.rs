use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;

use cornelpoint::configuration::Generation;
use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::platform::InstanceList;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::Update;

use super::keeper_dump::KeeperDump;
use super::state_handle::WaitingGossip;
use crate::message::DrainReport;
use crate::message::EndpointSign;
use crate::message::KeeperStatus;
use crate::message::SlotExchange;
use crate::message::SlotExchangeReply;
use crate::message::SyncReply;
use crate::message::SyncRequest;
use crate::message::View;
use crate::message::ViewRequest;

/// Channel for the reply to a command; the requester waits for it with a timeout.
pub(super) type ReplyTo<A> = SyncSender<A>;

/// Commands that the other threads of a keeper send to the state loop.
#[derive(Debug)]
pub(super) enum Command {
    /// A gossip datagram was received.
    Gossip(GossipMessage, WaitingGossip),
    /// A gateway requests updates.
    View(ViewRequest, ReplyTo<View>),
    /// A gateway reports the slots that it uses and requests more.
    Slots(SlotExchange, ReplyTo<SlotExchangeReply>),
    /// Another keeper requests updates.
    Sync(SyncRequest, ReplyTo<SyncReply>),
    /// Applies an update from another keeper, from the platform or from an operator.
    Apply(Update),
    /// Applies the platform's list of instances.
    InstanceList(InstanceList),
    /// An endpoint announced whether it accepts new work.
    Announcement(EndpointSign),
    /// Requests the operators' mark of an endpoint.
    OperatorMark(InstanceId, ReplyTo<Option<EndpointMark>>),
    /// Reports whether the last poll of the platform succeeded.
    PlatformReachable(bool),
    /// Requests the progress of an endpoint's drain.
    Drained(InstanceId, ReplyTo<DrainAnswer>),
    /// Requests the newest generation known.
    Generation(ReplyTo<Generation>),
    /// Requests the members present, this keeper first.
    Members(ReplyTo<Vec<Member>>),
    /// Requests the status.
    Status(ReplyTo<KeeperStatus>),
    /// Requests a dump of the whole state.
    Dump(ReplyTo<Box<KeeperDump>>),
    /// Replies once all earlier commands have been handled.
    Handled(ReplyTo<()>),
    /// Leaves the membership; no slots are lent afterwards.
    Leave(ReplyTo<()>),
    /// Ends the state loop.
    Stop,
}

/// Progress of a drain, or the keeper to request it from.
#[derive(Clone, Debug)]
pub(super) enum DrainAnswer {
    /// This keeper holds the endpoint's slots.
    Report(DrainReport),
    /// The keeper at this address holds the endpoint's slots.
    HeldBy(SocketAddr),
    /// The configuration does not contain the endpoint, or its availability zone has no keeper.
    Unknown,
}
