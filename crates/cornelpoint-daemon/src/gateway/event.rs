use std::sync::Arc;
use std::sync::mpsc::SyncSender;

use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::DispatcherDump;
use cornelpoint::dispatch::ExchangeResult;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::SendReport;
use cornelpoint::membership::Member;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::request::Refusal;

/// An event that another thread sends to the decision thread.
#[derive(Debug)]
pub(super) enum Event {
    /// Checks whether a request would be admitted now.
    Check(NewRequest, SyncSender<Result<(), Refusal>>),
    /// A request arrived; its actions go to the sender.
    Enqueue(NewRequest, SyncSender<DispatchAction>),
    /// A send ended.
    Complete(u64, SendReport),
    /// A request will not be sent.
    Withdraw(u64),
    /// Results of slot requests to a holder, whether it answered or not.
    Exchanged(Vec<ExchangeResult>),
    /// The configuration or the endpoints' marks changed.
    ReplicatedState(Arc<ReplicatedState>),
    /// The current members.
    Members(Vec<Member>),
    /// Requests the state for a dump.
    Dump(SyncSender<DecisionDump>),
    /// Ends the thread.
    Stop,
}

/// State of the decision thread.
#[derive(Debug)]
pub(super) struct DecisionDump {
    pub(super) dispatcher: DispatcherDump,
    pub(super) exchanges: u64,
}
