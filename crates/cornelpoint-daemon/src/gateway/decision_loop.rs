use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use cornelpoint::configuration::Generation;
use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::Exchange;
use cornelpoint::dispatch::ExchangeResult;
use cornelpoint::dispatch::RequestAction;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::slots::SlotRequest;

use super::event::DecisionDump;
use super::event::Event;
use super::slot_exchanger::SlotExchanger;
use crate::clock::MonotonicClock;

/// Longest wait for an event while the dispatcher holds requests.
const BUSY_TICK: Duration = Duration::from_millis(2);
/// Longest wait for an event while the dispatcher holds none.
const IDLE_TICK: Duration = Duration::from_millis(20);
/// Events handled before the next round of decisions.
const EVENTS_PER_ROUND: usize = 256;

/// The thread that makes a gateway's dispatch decisions.
#[derive(Debug)]
pub(super) struct DecisionLoop {
    dispatcher: Dispatcher,
    clock: MonotonicClock,
    events: Receiver<Event>,
    waiters: HashMap<u64, SyncSender<DispatchAction>>,
    exchanger: SlotExchanger,
    leaving_endpoints: SyncSender<InstanceId>,
    members: Vec<Member>,
    generation: Generation,
    exchanges: u64,
}

impl DecisionLoop {
    pub(super) fn new(
        dispatcher: Dispatcher,
        clock: MonotonicClock,
        events: Receiver<Event>,
        exchanger: SlotExchanger,
        leaving_endpoints: SyncSender<InstanceId>,
    ) -> Self {
        Self {
            dispatcher,
            clock,
            events,
            waiters: HashMap::new(),
            exchanger,
            leaving_endpoints,
            members: Vec::new(),
            generation: Generation(0),
            exchanges: 0,
        }
    }

    pub(super) fn run(mut self) {
        loop {
            let tick = if self.dispatcher.requests() > 0 {
                BUSY_TICK
            } else {
                IDLE_TICK
            };
            match self.events.recv_timeout(tick) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for _ in 0..EVENTS_PER_ROUND {
                match self.events.try_recv() {
                    Ok(Event::Stop) => return,
                    Ok(event) => self.handle_event(event),
                    Err(_) => break,
                }
            }
            self.decide();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now_ms = self.clock.now_ms();
        match event {
            Event::Check(request, reply_to) => {
                let _ = reply_to.try_send(self.dispatcher.check(&request, now_ms));
            }
            Event::Enqueue(request, waiter) => {
                let id = request.id;
                self.waiters.insert(id, waiter);
                if let Err(refusal) = self.dispatcher.enqueue(request, now_ms) {
                    self.deliver(id, DispatchAction::Refuse(refusal));
                }
            }
            Event::Complete(id, report) => {
                if let Some(action) = self.dispatcher.complete(id, report, now_ms) {
                    self.deliver(id, action);
                }
            }
            Event::Withdraw(id) => {
                self.waiters.remove(&id);
                self.dispatcher.withdraw(id, now_ms);
            }
            Event::Exchanged(results) => {
                for result in &results {
                    self.dispatcher.apply_exchange_result(result, now_ms);
                }
            }
            Event::ReplicatedState(replicated) => self.apply_replicated_state(&replicated, now_ms),
            Event::Members(members) => {
                self.dispatcher.set_members(&members);
                self.exchanger.retain_members(&members);
                self.members = members;
            }
            Event::Dump(reply_to) => {
                let _ = reply_to.try_send(DecisionDump {
                    dispatcher: self.dispatcher.dump(now_ms),
                    exchanges: self.exchanges,
                });
            }
            Event::Stop => {}
        }
    }

    fn apply_replicated_state(&mut self, replicated: &ReplicatedState, now_ms: u64) {
        let newer = replicated
            .configuration()
            .filter(|configuration| configuration.generation > self.generation);
        if let Some(configuration) = newer {
            self.generation = configuration.generation;
            self.dispatcher.configure(configuration, replicated, now_ms);
            self.dispatcher.set_members(&self.members);
        }
        self.dispatcher.update_endpoint_states(replicated, now_ms);
    }

    fn decide(&mut self) {
        let now_ms = self.clock.now_ms();
        for RequestAction { id, action } in self.dispatcher.dispatch(now_ms) {
            self.deliver(id, action);
        }
        let mut by_holder: BTreeMap<SocketAddr, Vec<SlotRequest>> = BTreeMap::new();
        for Exchange { holder, request } in self.dispatcher.exchanges_due(now_ms) {
            by_holder.entry(holder).or_default().push(request);
        }
        for (holder, requests) in by_holder {
            self.exchange(holder, requests, now_ms);
        }
        for instance in self.dispatcher.take_leaving_endpoints() {
            let _ = self.leaving_endpoints.try_send(instance);
        }
    }

    fn exchange(&mut self, holder: SocketAddr, requests: Vec<SlotRequest>, now_ms: u64) {
        self.exchanges += 1;
        for request in self.exchanger.enqueue(holder, requests) {
            let failed = ExchangeResult {
                pool: request.pool,
                availability_zone: request.availability_zone,
                reply: None,
            };
            self.dispatcher.apply_exchange_result(&failed, now_ms);
        }
    }

    /// Delivers an action to the request's thread. After the last action of a
    /// request, its channel is dropped.
    fn deliver(&mut self, id: u64, action: DispatchAction) {
        let is_final = !matches!(action, DispatchAction::Send(_));
        if let Some(waiter) = self.waiters.get(&id) {
            let _ = waiter.try_send(action);
        }
        if is_final {
            self.waiters.remove(&id);
        }
    }
}
