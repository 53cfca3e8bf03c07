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

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// The thread that owns a keeper's state.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) state: State,
    pub(super) clock: MonotonicClock,
    pub(super) socket: UdpSocket,
    pub(super) commands: Receiver<Command>,
    /// News that the push thread sends on.
    pub(super) news: SyncSender<Update>,
    pub(super) logger: Logger,
}

/// What was last logged of the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Logged {
    present: usize,
    pauses: u64,
}

impl Core {
    pub(super) fn run(mut self) {
        let mut last_tick_ms = self.clock.now_ms();
        let mut logged = Logged::default();
        loop {
            let command = self.commands.recv_timeout(TICK);
            let now_ms = self.clock.now_ms();
            self.state.wake(now_ms);
            match command {
                Ok(Command::End) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.handle(command, now_ms),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if now_ms.saturating_sub(last_tick_ms) >= tick_ms() {
                last_tick_ms = now_ms;
                let outgoing = self.state.tick(now_ms);
                self.send(outgoing);
                logged = self.log_members(logged);
            }
        }
    }

    fn log_members(&self, logged: Logged) -> Logged {
        let now = Logged {
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
            Command::Gossip(message) => {
                let outgoing = self.state.gossip(message, now_ms);
                self.send(outgoing);
            }
            Command::View(request, to) => drop(to.try_send(self.state.view(request, now_ms))),
            Command::Slots(exchange, to) => {
                drop(to.try_send(self.state.slots(&exchange, now_ms)));
            }
            Command::Sync(request, to) => drop(to.try_send(self.state.sync(request))),
            Command::Apply(update) => {
                let adoption = self.state.apply(update, now_ms);
                self.spread(adoption);
            }
            Command::Listed(list) => {
                let adoption = self.state.listed(list, now_ms);
                self.spread(adoption);
            }
            Command::Sign(sign) => {
                let adoption = self.state.sign(sign, now_ms);
                self.spread(adoption);
            }
            Command::OperatorMark(instance, to) => {
                let mark = self.state.facts().mark(&instance, MarkCause::Operator);
                drop(to.try_send(mark.cloned()));
            }
            Command::PlatformReachable(reachable) => self.state.set_platform_reachable(reachable),
            Command::Drained(instance, to) => {
                drop(to.try_send(self.state.drained(&instance, now_ms)));
            }
            Command::Generation(to) => {
                let _ = to.try_send(self.state.facts().generation());
            }
            Command::Members(to) => drop(to.try_send(self.state.present_members())),
            Command::Status(to) => drop(to.try_send(self.state.status(now_ms))),
            Command::Dump(to) => drop(to.try_send(Box::new(self.state.dump(now_ms)))),
            Command::Leave(to) => {
                let outgoing = self.state.leave();
                self.send(outgoing);
                let _ = to.try_send(());
            }
            Command::End => {}
        }
    }

    fn send(&self, outgoing: Vec<OutgoingGossip>) {
        for gossip in outgoing {
            if let Ok(datagram) = rmp_serde::to_vec(&gossip.message) {
                // A datagram may be lost; the next probe makes up for it.
                let _ = self.socket.send_to(&datagram, gossip.to);
            }
        }
    }

    fn spread(&self, adoption: AppliedChanges) {
        if adoption.is_empty() {
            return;
        }
        for mark in &adoption.marks {
            info!(self.logger, "Endpoint mark changed.";
                "endpoint" => %mark.instance, "accepts_work" => mark.accepts_work);
        }
        let configuration = self.state.facts().configuration();
        if adoption.configuration {
            info!(self.logger, "Configuration in force.";
                "generation" => %self.state.facts().generation());
        }
        let update = Update {
            configuration: configuration.filter(|_| adoption.configuration).cloned(),
            marks: adoption.marks,
        };
        if self.news.try_send(update).is_err() {
            warn!(self.logger, "News ring is full; peers will ask.");
        }
    }
}

fn tick_ms() -> u64 {
    u64::try_from(TICK.as_millis()).unwrap_or(u64::MAX)
}
