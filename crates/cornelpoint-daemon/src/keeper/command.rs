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
use crate::message::DrainReport;
use crate::message::EndpointAnnouncement;
use crate::message::KeeperStatus;
use crate::message::SlotExchange;
use crate::message::SlotExchangeReply;
use crate::message::SyncReply;
use crate::message::SyncRequest;
use crate::message::View;
use crate::message::ViewRequest;

/// Answers a command; the asker waits with a bound.
pub(super) type ReplyTo<A> = SyncSender<A>;

/// What the other threads of a keeper ask of the thread that owns the state.
#[derive(Debug)]
pub(super) enum Command {
    /// A datagram came.
    Gossip(GossipMessage),
    /// A gateway asks for news.
    View(ViewRequest, ReplyTo<View>),
    /// A gateway reports its slots.
    Slots(SlotExchange, ReplyTo<SlotExchangeReply>),
    /// Another keeper asks for news.
    Sync(SyncRequest, ReplyTo<SyncReply>),
    /// News came, from another keeper or from the platform.
    Apply(Update),
    /// The platform's list of instances came.
    Listed(InstanceList),
    /// An endpoint said whether it takes new work.
    Sign(EndpointAnnouncement),
    /// Asks for the operators' mark of an endpoint.
    OperatorMark(InstanceId, ReplyTo<Option<EndpointMark>>),
    /// The platform answered, or did not.
    PlatformReachable(bool),
    /// Asks how far a drain is; without an answer this keeper is not the holder.
    Drained(InstanceId, ReplyTo<DrainAnswer>),
    /// Asks for the newest generation known.
    Generation(ReplyTo<Generation>),
    /// Asks for the present members, the own first.
    Members(ReplyTo<Vec<Member>>),
    /// Asks for the status.
    Status(ReplyTo<KeeperStatus>),
    /// Asks for all that is known.
    Dump(ReplyTo<Box<KeeperDump>>),
    /// Leaves the membership; no slots are lent after it.
    Leave(ReplyTo<()>),
    /// Ends the thread.
    End,
}

/// How far a drain is, or who knows.
#[derive(Clone, Debug)]
pub(super) enum DrainAnswer {
    /// This keeper holds the endpoint's slots.
    Report(DrainReport),
    /// The keeper at this address holds them.
    Ask(SocketAddr),
    /// No configuration names the endpoint, or its zone has no keeper.
    Unknown,
}
