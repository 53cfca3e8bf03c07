use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cornelpoint::membership::GossipMessage;

use super::command::Command;
use super::command::ReplyTo;

/// Longest wait for a reply of the state loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Datagrams that may wait for the state loop; they take no more room in its queue, so that
/// they don't lock out other commands.
const MAX_WAITING_GOSSIP: usize = 128;

/// Counts a datagram as waiting until it is dropped.
#[derive(Debug)]
pub(super) struct WaitingGossip(Arc<AtomicUsize>);

impl Drop for WaitingGossip {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handle that sends commands to a keeper's state loop.
#[derive(Clone, Debug)]
pub(super) struct StateHandle {
    command_sender: SyncSender<Command>,
    waiting_gossip: Arc<AtomicUsize>,
}

impl StateHandle {
    pub(super) fn new(command_sender: SyncSender<Command>) -> Self {
        Self {
            command_sender,
            waiting_gossip: Arc::default(),
        }
    }

    /// Sends a command; blocks while the queue is full.
    pub(super) fn send(&self, command: Command) {
        let _ = self.command_sender.send(command);
    }

    /// Sends a command and waits until the state loop has handled it or has ended, however
    /// long that takes: what the command holds counts as its sender's until then.
    pub(super) fn send_and_wait(&self, command: Command) {
        let (reply_to, handled) = sync_channel(1);
        self.send(command);
        self.send(Command::Handled(reply_to));
        // Fails only when the state loop has ended.
        let _ = handled.recv();
    }

    /// Passes a datagram on, or drops it when as many wait as may.
    pub(super) fn offer_gossip(&self, message: GossipMessage) {
        if self.waiting_gossip.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_GOSSIP {
            self.waiting_gossip.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let waiting = WaitingGossip(Arc::clone(&self.waiting_gossip));
        let _ = self
            .command_sender
            .try_send(Command::Gossip(message, waiting));
    }

    /// Sends a command and waits for its reply; `None` when the state loop has
    /// ended or does not reply within `REPLY_TIMEOUT`.
    pub(super) fn request<A>(&self, command: impl FnOnce(ReplyTo<A>) -> Command) -> Option<A> {
        let (reply_to, reply) = sync_channel(1);
        self.command_sender.send(command(reply_to)).ok()?;
        reply.recv_timeout(REPLY_TIMEOUT).ok()
    }
}
