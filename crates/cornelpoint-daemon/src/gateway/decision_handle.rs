use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::SendReport;
use cornelpoint::request::Refusal;

use super::event::DecisionDump;
use super::event::Event;

/// Longest wait for an answer of the decision thread; the wait for an action is
/// counted from the request's deadline.
const ACTION_GRACE: Duration = Duration::from_secs(1);
/// Longest wait for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of the decision thread.
#[derive(Clone, Debug)]
pub(super) struct DecisionHandle {
    events: SyncSender<Event>,
}

impl DecisionHandle {
    pub(super) fn new(events: SyncSender<Event>) -> Self {
        Self { events }
    }

    /// Checks whether a request would be admitted now.
    ///
    /// # Errors
    ///
    /// Returns why it would be refused; [`Refusal::Overloaded`] if the decision
    /// thread does not answer.
    pub(super) fn check(&self, request: &NewRequest) -> Result<(), Refusal> {
        let (reply_to, reply) = sync_channel(1);
        self.events
            .try_send(Event::Check(request.clone(), reply_to))
            .map_err(|_| Refusal::Overloaded)?;
        reply
            .recv_timeout(ACTION_GRACE)
            .unwrap_or(Err(Refusal::Overloaded))
    }

    /// Enqueues a request; returns `None` if the event queue is full.
    pub(super) fn enqueue(&self, request: NewRequest, deadline: Instant) -> Option<PendingRequest> {
        let (sender, actions) = sync_channel(1);
        let id = request.id;
        self.events
            .try_send(Event::Enqueue(request, sender))
            .ok()
            .map(|()| PendingRequest {
                id,
                events: self.events.clone(),
                actions,
                deadline,
            })
    }

    pub(super) fn notify(&self, event: Event) {
        let _ = self.events.send(event);
    }

    pub(super) fn dump(&self) -> Option<DecisionDump> {
        let (reply_to, reply) = sync_channel(1);
        self.events.send(Event::Dump(reply_to)).ok()?;
        reply.recv_timeout(DUMP_TIMEOUT).ok()
    }
}

/// An enqueued request that waits for its actions.
#[derive(Debug)]
pub(super) struct PendingRequest {
    id: u64,
    events: SyncSender<Event>,
    actions: Receiver<DispatchAction>,
    deadline: Instant,
}

impl PendingRequest {
    /// Waits for the next action. Returns `None` if none arrived in time; the
    /// request is then withdrawn and gets no further actions.
    pub(super) fn next(&self) -> Option<DispatchAction> {
        let left = self
            .deadline
            .saturating_duration_since(Instant::now())
            .saturating_add(ACTION_GRACE);
        let action = self.actions.recv_timeout(left).ok();
        if action.is_none() {
            self.withdraw();
        }
        action
    }

    /// Reports how a send ended; the next action follows.
    pub(super) fn complete(&self, report: SendReport) {
        let _ = self.events.send(Event::Complete(self.id, report));
    }

    /// Reports that the request will not be sent; no action follows.
    pub(super) fn withdraw(&self) {
        let _ = self.events.send(Event::Withdraw(self.id));
    }
}
