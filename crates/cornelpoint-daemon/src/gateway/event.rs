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

/// What the other threads of a gateway tell the thread that decides.
#[derive(Debug)]
pub(super) enum Event {
    /// Asks whether a request would be taken now.
    Check(NewRequest, SyncSender<Result<(), Refusal>>),
    /// A request came; its verdicts go to the sender.
    Enqueue(NewRequest, SyncSender<DispatchAction>),
    /// A send ended.
    Complete(u64, SendReport),
    /// A request will not be sent.
    Withdraw(u64),
    /// Reports to a holder were answered, or not.
    Exchanged(Vec<ExchangeResult>),
    /// News of the configuration or of endpoints.
    ReplicatedState(Arc<ReplicatedState>),
    /// News of the members.
    Members(Vec<Member>),
    /// Asks for the state.
    Dump(SyncSender<DecisionDump>),
    /// Ends the thread.
    End,
}

/// State of the thread that decides.
#[derive(Debug)]
pub(super) struct DecisionDump {
    pub(super) dispatcher: DispatcherDump,
    pub(super) exchanges: u64,
}
