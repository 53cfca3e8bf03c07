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

/// Time after the deadline in which a verdict must have come.
const VERDICT_GRACE: Duration = Duration::from_secs(1);
/// Longest wait for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// The way to the thread that decides.
#[derive(Clone, Debug)]
pub(super) struct Decisions {
    ring: SyncSender<Event>,
}

impl Decisions {
    pub(super) fn new(ring: SyncSender<Event>) -> Self {
        Self { ring }
    }

    /// Asks whether a request would be taken now.
    ///
    /// # Errors
    ///
    /// Why it would be refused.
    pub(super) fn check(&self, request: &NewRequest) -> Result<(), Refusal> {
        let (reply_to, reply) = sync_channel(1);
        self.ring
            .try_send(Event::Check(request.clone(), reply_to))
            .map_err(|_| Refusal::Overloaded)?;
        reply
            .recv_timeout(VERDICT_GRACE)
            .unwrap_or(Err(Refusal::Overloaded))
    }

    /// Hands in a request; `None` when the ring is full.
    pub(super) fn enqueue(&self, request: NewRequest, deadline: Instant) -> Option<Ticket> {
        let (sender, actions) = sync_channel(1);
        let id = request.id;
        self.ring
            .try_send(Event::Enqueue(request, sender))
            .ok()
            .map(|()| Ticket {
                id,
                ring: self.ring.clone(),
                actions,
                deadline,
            })
    }

    pub(super) fn tell(&self, event: Event) {
        let _ = self.ring.send(event);
    }

    pub(super) fn dump(&self) -> Option<DecisionDump> {
        let (reply_to, reply) = sync_channel(1);
        self.ring.send(Event::Dump(reply_to)).ok()?;
        reply.recv_timeout(DUMP_TIMEOUT).ok()
    }
}

/// One request's way to its verdicts.
#[derive(Debug)]
pub(super) struct Ticket {
    id: u64,
    ring: SyncSender<Event>,
    actions: Receiver<DispatchAction>,
    deadline: Instant,
}

impl Ticket {
    /// Waits for the next verdict; `None` when none came in time, and then
    /// none will.
    pub(super) fn next(&self) -> Option<DispatchAction> {
        let left = self
            .deadline
            .saturating_duration_since(Instant::now())
            .saturating_add(VERDICT_GRACE);
        let action = self.actions.recv_timeout(left).ok();
        if action.is_none() {
            self.withdraw();
        }
        action
    }

    /// Reports how a send ended; the next verdict follows.
    pub(super) fn complete(&self, report: SendReport) {
        let _ = self.ring.send(Event::Complete(self.id, report));
    }

    /// Says that the request will not be sent; no verdict follows.
    pub(super) fn withdraw(&self) {
        let _ = self.ring.send(Event::Withdraw(self.id));
    }
}
