use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use super::command::Command;
use super::command::ReplyTo;

/// Longest wait for a reply of the state loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle that sends commands to a keeper's state loop.
#[derive(Clone, Debug)]
pub(super) struct StateHandle {
    command_sender: SyncSender<Command>,
}

impl StateHandle {
    pub(super) fn new(command_sender: SyncSender<Command>) -> Self {
        Self { command_sender }
    }

    /// Sends a command; blocks while the queue is full.
    pub(super) fn send(&self, command: Command) {
        let _ = self.command_sender.send(command);
    }

    /// Sends a command, or drops it when the queue is full.
    pub(super) fn try_send(&self, command: Command) {
        let _ = self.command_sender.try_send(command);
    }

    /// Sends a command and waits for its reply; `None` when the state loop has
    /// ended or does not reply within `REPLY_TIMEOUT`.
    pub(super) fn request<A>(&self, command: impl FnOnce(ReplyTo<A>) -> Command) -> Option<A> {
        let (reply_to, reply) = sync_channel(1);
        self.command_sender.send(command(reply_to)).ok()?;
        reply.recv_timeout(REPLY_TIMEOUT).ok()
    }
}
