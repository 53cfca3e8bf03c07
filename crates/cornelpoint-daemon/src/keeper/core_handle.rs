use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use super::command::Command;
use super::command::ReplyTo;

/// Longest wait for the thread that owns the state.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// The way to the thread that owns a keeper's state.
#[derive(Clone, Debug)]
pub(super) struct CoreHandle {
    ring: SyncSender<Command>,
}

impl CoreHandle {
    pub(super) fn new(ring: SyncSender<Command>) -> Self {
        Self { ring }
    }

    /// Hands over a command, waiting while the ring is full.
    pub(super) fn tell(&self, command: Command) {
        let _ = self.ring.send(command);
    }

    /// Hands over a command unless the ring is full.
    pub(super) fn offer(&self, command: Command) {
        let _ = self.ring.try_send(command);
    }

    /// Asks and waits for the answer; `None` when the thread has ended or
    /// does not answer in time.
    pub(super) fn ask<A>(&self, command: impl FnOnce(ReplyTo<A>) -> Command) -> Option<A> {
        let (reply_to, reply) = sync_channel(1);
        self.ring.send(command(reply_to)).ok()?;
        reply.recv_timeout(REPLY_TIMEOUT).ok()
    }
}
