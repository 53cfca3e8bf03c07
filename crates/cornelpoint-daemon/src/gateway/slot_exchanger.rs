use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use cornelpoint::dispatch::ExchangeResult;
use cornelpoint::membership::Member;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;

use super::event::Event;
use crate::control::ControlClient;
use crate::message::SlotAnswer;
use crate::message::SlotExchange;
use crate::message::SlotExchangeReply;
use crate::metrics::Counter;
use crate::metrics::Metrics;

/// Batches of slot requests that may be queued for one keeper.
const BATCH_QUEUE_LENGTH: usize = 8;

/// Sends slot requests to holders, with one thread per keeper.
#[derive(Debug)]
pub(super) struct SlotExchanger {
    queues: BTreeMap<SocketAddr, SyncSender<Vec<SlotRequest>>>,
    events: SyncSender<Event>,
    timeout: Duration,
    metrics: Metrics,
}

impl SlotExchanger {
    pub(super) fn new(events: SyncSender<Event>, timeout: Duration, metrics: Metrics) -> Self {
        Self {
            queues: BTreeMap::new(),
            events,
            timeout,
            metrics,
        }
    }

    /// Queues slot requests for a keeper's thread; returns those that it cannot
    /// accept.
    pub(super) fn enqueue(
        &mut self,
        holder: SocketAddr,
        requests: Vec<SlotRequest>,
    ) -> Vec<SlotRequest> {
        let queue = self.queues.entry(holder).or_insert_with(|| {
            let (queue, batches) = sync_channel(BATCH_QUEUE_LENGTH);
            let events = self.events.clone();
            let keeper = KeeperClient {
                address: holder,
                client: ControlClient::new(self.timeout),
                metrics: self.metrics.clone(),
            };
            thread::spawn(move || exchange_all(&keeper, &batches, &events));
            queue
        });
        match queue.try_send(requests) {
            Ok(()) => Vec::new(),
            Err(TrySendError::Full(requests) | TrySendError::Disconnected(requests)) => requests,
        }
    }

    /// Ends the threads of keepers that are no longer members.
    pub(super) fn retain_members(&mut self, members: &[Member]) {
        self.queues
            .retain(|address, _| members.iter().any(|m| &m.keeper_address == address));
    }
}

/// A client of one keeper.
#[derive(Debug)]
struct KeeperClient {
    address: SocketAddr,
    client: ControlClient,
    metrics: Metrics,
}

fn exchange_all(
    keeper: &KeeperClient,
    batches: &Receiver<Vec<SlotRequest>>,
    events: &SyncSender<Event>,
) {
    while let Ok(mut requests) = batches.recv() {
        while let Ok(more) = batches.try_recv() {
            requests.extend(more);
        }
        let results = exchange(keeper, requests);
        if events.send(Event::Exchanged(results)).is_err() {
            return;
        }
    }
}

fn exchange(keeper: &KeeperClient, requests: Vec<SlotRequest>) -> Vec<ExchangeResult> {
    let exchange = SlotExchange { requests };
    let reply =
        keeper
            .client
            .call::<_, SlotExchangeReply>(keeper.address, "/peer/slots", &exchange);
    if reply.is_err() {
        keeper.metrics.count(Counter::KeeperFailure);
    }
    let answers = reply.map(|reply| reply.answers).unwrap_or_default();
    let mut answers = answers.into_iter();
    exchange
        .requests
        .into_iter()
        .map(|request| ExchangeResult {
            pool: request.pool,
            availability_zone: request.availability_zone,
            reply: answers.next().and_then(lent_slots),
        })
        .collect()
}

fn lent_slots(answer: SlotAnswer) -> Option<SlotReply> {
    match answer {
        SlotAnswer::Lent(reply) => Some(reply),
        SlotAnswer::NotHolder { .. } => None,
    }
}
