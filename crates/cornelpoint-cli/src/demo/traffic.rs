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

/// Callers that can wait at once.
const CALLERS: usize = 900;
/// Stack of a caller's thread, in bytes.
const CALLER_STACK_BYTES: usize = 192 * 1024;
/// Calls that may wait for a caller.
const CALL_RING: usize = 64;

/// A steady stream of requests for one service.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) service: ServiceName,
    pub(super) rate_per_s: f64,
    pub(super) deadline_ms: u64,
    /// Share of requests that are not idempotent, in percent.
    pub(super) post_percent: u32,
}

#[derive(Debug)]
struct Job {
    call: Call,
    due_ms: u64,
}

/// Callers that make requests at set times, whatever the answers.
#[derive(Debug)]
pub(super) struct Traffic {
    jobs: SyncSender<Job>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<JoinHandle<()>>,
    generator: ChaCha8Rng,
    next_number: u64,
}

impl Traffic {
    pub(super) fn new(seed: u64) -> Self {
        let (jobs, ring) = sync_channel(CALL_RING);
        let ring = Arc::new(Mutex::new(ring));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..CALLERS)
            .filter_map(|_| {
                let ring = Arc::clone(&ring);
                let outcomes = Arc::clone(&outcomes);
                thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn(move || make_calls(&ring, &outcomes))
                    .ok()
            })
            .collect();
        Self {
            jobs,
            outcomes,
            threads,
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_number: 1,
        }
    }

    /// Outcomes so far.
    pub(super) fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Runs streams side by side for a time, over these gateways.
    pub(super) fn run(&mut self, streams: &[Stream], gateways: &[SocketAddr], length: Duration) {
        let begin = Instant::now();
        let mut next: Vec<f64> = streams.iter().map(|_| 0.0).collect();
        loop {
            let Some((position, due_s)) = earliest(&next) else {
                return;
            };
            if due_s >= length.as_secs_f64() {
                break;
            }
            let due = begin + Duration::from_secs_f64(due_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Some(stream) = streams.get(position) {
                self.call(stream, gateways, due);
                let gap_s = self.gap_s(stream.rate_per_s);
                if let Some(time) = next.get_mut(position) {
                    *time += gap_s;
                }
            }
        }
        thread::sleep((begin + length).saturating_duration_since(Instant::now()));
    }

    /// Ends the callers once they have their answers, and gives all outcomes.
    pub(super) fn finish(self) -> Vec<Outcome> {
        drop(self.jobs);
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
        let job = Job {
            call: Call {
                gateway,
                service: stream.service.clone(),
                path: format!("/request/{number}"),
                idempotent,
                deadline_ms: stream.deadline_ms,
            },
            due_ms: unix_ms_of(due),
        };
        let _ = self.jobs.send(job);
    }

    /// Time to the next request of a Poisson stream.
    fn gap_s(&mut self, rate_per_s: f64) -> f64 {
        let uniform: f64 = self.generator.random();
        -(1.0 - uniform).ln() / rate_per_s
    }
}

fn earliest(next: &[f64]) -> Option<(usize, f64)> {
    next.iter()
        .copied()
        .enumerate()
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}

fn make_calls(ring: &Mutex<Receiver<Job>>, outcomes: &Mutex<Vec<Outcome>>) {
    let caller = Caller::new();
    loop {
        let job = ring.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else {
            return;
        };
        let end = caller.call(&job.call);
        let outcome = Outcome {
            service: job.call.service,
            path: job.call.path,
            idempotent: job.call.idempotent,
            due_ms: job.due_ms,
            end,
        };
        outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(outcome);
    }
}

/// When a request was due; a caller may be behind.
fn unix_ms_of(due: Instant) -> u64 {
    let late_ms = due.elapsed().as_millis();
    now_ms().saturating_sub(u64::try_from(late_ms).unwrap_or(u64::MAX))
}
