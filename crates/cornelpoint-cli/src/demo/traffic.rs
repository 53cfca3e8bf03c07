use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::name::ServiceName;
use cornelpoint_standin::clock::now_ms;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::caller::Call;
use super::caller::Caller;
use super::outcome::Outcome;

/// Number of callers, and so the maximum number of requests that wait for an answer.
const CALLERS: usize = 900;
/// Stack size of a caller's thread, in bytes.
const CALLER_STACK_BYTES: usize = 192 * 1024;
/// Capacity of the queue of calls that wait for a free caller.
const MAX_QUEUED_CALLS: usize = 64;

/// Poisson stream of requests to one service.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) service: ServiceName,
    pub(super) rate_per_s: f64,
    pub(super) deadline_ms: u64,
    /// Share of requests that are not idempotent, in percent.
    pub(super) post_percent: u32,
}

#[derive(Debug)]
struct ScheduledCall {
    call: Call,
    due_ms: u64,
}

/// Open-loop load: requests are made at scheduled times, independent of earlier answers.
#[derive(Debug)]
pub(super) struct Traffic {
    queue_sender: SyncSender<ScheduledCall>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<JoinHandle<()>>,
    generator: ChaCha8Rng,
    next_number: u64,
}

impl Traffic {
    pub(super) fn new(seed: u64) -> Self {
        let (queue_sender, queue_receiver) = sync_channel(MAX_QUEUED_CALLS);
        let queue_receiver = Arc::new(Mutex::new(queue_receiver));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..CALLERS)
            .filter_map(|_| {
                let queue_receiver = Arc::clone(&queue_receiver);
                let outcomes = Arc::clone(&outcomes);
                thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn(move || make_calls(&queue_receiver, &outcomes))
                    .ok()
            })
            .collect();
        Self {
            queue_sender,
            outcomes,
            threads,
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_number: 1,
        }
    }

    /// Returns the outcomes so far.
    pub(super) fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Runs streams concurrently for a duration; each request goes to a random gateway.
    pub(super) fn run(&mut self, streams: &[Stream], gateways: &[SocketAddr], length: Duration) {
        let start = Instant::now();
        let mut next_due_s: Vec<f64> = streams.iter().map(|_| 0.0).collect();
        loop {
            let Some((position, due_s)) = earliest_due(&next_due_s) else {
                return;
            };
            if due_s >= length.as_secs_f64() {
                break;
            }
            let due = start + Duration::from_secs_f64(due_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Some(stream) = streams.get(position) {
                self.call(stream, gateways, due);
                let gap_s = self.gap_s(stream.rate_per_s);
                if let Some(time) = next_due_s.get_mut(position) {
                    *time += gap_s;
                }
            }
        }
        thread::sleep((start + length).saturating_duration_since(Instant::now()));
    }

    /// Waits until the callers have their answers and returns all outcomes.
    pub(super) fn finish(self) -> Vec<Outcome> {
        drop(self.queue_sender);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock();
        outcomes.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn call(&mut self, stream: &Stream, gateways: &[SocketAddr], due: Instant) {
        let Some(&gateway) = gateways.choose(&mut self.generator) else {
            return;
        };
        let number = self.next_number;
        self.next_number += 1;
        let idempotent = self.generator.random_range(0..100) >= stream.post_percent;
        let scheduled = ScheduledCall {
            call: Call {
                gateway,
                service: stream.service.clone(),
                path: format!("/request/{number}"),
                idempotent,
                deadline_ms: stream.deadline_ms,
            },
            due_ms: unix_ms_of(due),
        };
        let _ = self.queue_sender.send(scheduled);
    }

    /// Draws the time to the next request of a Poisson stream, in seconds.
    fn gap_s(&mut self, rate_per_s: f64) -> f64 {
        let uniform: f64 = self.generator.random();
        -(1.0 - uniform).ln() / rate_per_s
    }
}

fn earliest_due(next_due_s: &[f64]) -> Option<(usize, f64)> {
    next_due_s
        .iter()
        .copied()
        .enumerate()
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}

fn make_calls(queue_receiver: &Mutex<Receiver<ScheduledCall>>, outcomes: &Mutex<Vec<Outcome>>) {
    let caller = Caller::new();
    loop {
        let scheduled = queue_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        let Ok(scheduled) = scheduled else {
            return;
        };
        let result = caller.call(&scheduled.call);
        let outcome = Outcome {
            service: scheduled.call.service,
            path: scheduled.call.path,
            idempotent: scheduled.call.idempotent,
            due_ms: scheduled.due_ms,
            result,
        };
        outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(outcome);
    }
}

/// Returns when a request was due, in milliseconds since 1970; that may be in the past.
fn unix_ms_of(due: Instant) -> u64 {
    let late_ms = due.elapsed().as_millis();
    now_ms().saturating_sub(u64::try_from(late_ms).unwrap_or(u64::MAX))
}
