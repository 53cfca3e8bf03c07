use std::net::UdpSocket;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use cornelpoint::membership::OutgoingGossip;
use cornelpoint::replication::AppliedChanges;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::Update;
use slog::Logger;
use slog::info;
use slog::warn;

use super::command::Command;
use super::state::State;
use crate::clock::MonotonicClock;

/// Interval between two ticks of the state.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Event loop of the thread that owns a keeper's state.
#[derive(Debug)]
pub(super) struct StateLoop {
    pub(super) state: State,
    pub(super) clock: MonotonicClock,
    pub(super) socket: UdpSocket,
    pub(super) commands: Receiver<Command>,
    /// Updates that [`PeerSync`](super::peer_sync::PeerSync) pushes to peers.
    pub(super) updates: SyncSender<Update>,
    pub(super) logger: Logger,
}

/// Values of the last log line about the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoggedMembers {
    present: usize,
    pauses: u64,
}

impl StateLoop {
    pub(super) fn run(mut self) {
        let mut last_tick_ms = self.clock.now_ms();
        let mut logged = LoggedMembers::default();
        loop {
            let command = self.commands.recv_timeout(TICK_INTERVAL);
            let now_ms = self.clock.now_ms();
            self.state.detect_pause(now_ms);
            match command {
                Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.handle(command, now_ms),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if now_ms.saturating_sub(last_tick_ms) >= tick_interval_ms() {
                last_tick_ms = now_ms;
                let outgoing = self.state.tick(now_ms);
                self.send(outgoing);
                logged = self.log_members(logged);
            }
        }
    }

    fn log_members(&self, logged: LoggedMembers) -> LoggedMembers {
        let now = LoggedMembers {
            present: self.state.present_members().len(),
            pauses: self.state.pauses(),
        };
        if now != logged {
            info!(self.logger, "Members changed.";
                "present" => now.present, "pauses" => now.pauses);
        }
        now
    }

    fn handle(&mut self, command: Command, now_ms: u64) {
        match command {
            Command::Gossip(message, waiting) => {
                drop(waiting);
                let outgoing = self.state.receive_gossip(message, now_ms);
                self.send(outgoing);
            }
            Command::View(request, to) => {
                drop(to.try_send(self.state.answer_view(request, now_ms)));
            }
            Command::Slots(exchange, to) => {
                drop(to.try_send(self.state.exchange_slots(&exchange, now_ms)));
            }
            Command::Sync(request, to) => drop(to.try_send(self.state.answer_sync(request))),
            Command::Apply(update) => {
                let changes = self.state.apply(update, now_ms);
                self.publish(changes);
            }
            Command::InstanceList(list) => {
                let changes = self.state.apply_instance_list(list, now_ms);
                self.publish(changes);
            }
            Command::Announcement(announcement) => {
                let changes = self.state.apply_announcement(announcement, now_ms);
                self.publish(changes);
            }
            Command::OperatorMark(instance, to) => {
                let mark = self.state.replicated().mark(&instance, MarkCause::Operator);
                drop(to.try_send(mark.cloned()));
            }
            Command::PlatformReachable(reachable) => self.state.set_platform_reachable(reachable),
            Command::Drained(instance, to) => {
                drop(to.try_send(self.state.drain_answer(&instance, now_ms)));
            }
            Command::Generation(to) => {
                let _ = to.try_send(self.state.replicated().generation());
            }
            Command::Members(to) => drop(to.try_send(self.state.present_members())),
            Command::Status(to) => drop(to.try_send(self.state.status(now_ms))),
            Command::Dump(to) => drop(to.try_send(Box::new(self.state.dump(now_ms)))),
            Command::Handled(to) => drop(to.try_send(())),
            Command::Leave(to) => {
                let outgoing = self.state.leave();
                self.send(outgoing);
                let _ = to.try_send(());
            }
            Command::Stop => {}
        }
    }

    fn send(&self, outgoing: Vec<OutgoingGossip>) {
        for gossip in outgoing {
            if let Ok(datagram) = rmp_serde::to_vec(&gossip.message) {
                // Gossip tolerates loss: the next probe repeats the information.
                let _ = self.socket.send_to(&datagram, gossip.to);
            }
        }
    }

    fn publish(&self, changes: AppliedChanges) {
        if changes.is_empty() {
            return;
        }
        for mark in &changes.marks {
            info!(self.logger, "Endpoint mark changed.";
                "endpoint" => %mark.instance, "accepts_work" => mark.accepts_work);
        }
        let configuration = self.state.replicated().configuration();
        if changes.configuration {
            info!(self.logger, "Configuration in force.";
                "generation" => %self.state.replicated().generation());
        }
        let update = Update {
            configuration: configuration.filter(|_| changes.configuration).cloned(),
            marks: changes.marks,
        };
        if self.updates.try_send(update).is_err() {
            warn!(
                self.logger,
                "Update queue full; peers will fetch the update."
            );
        }
    }
}

fn tick_interval_ms() -> u64 {
    u64::try_from(TICK_INTERVAL.as_millis()).unwrap_or(u64::MAX)
}
