//! The advice service: handles one call at a time for each calling machine, in turn. In
//! these scenarios only one machine calls it. A call that its sender has given up is
//! passed over without taking time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::http::lock;
use crate::json::Json;
use crate::record::Record;
use crate::worker::Guard;

/// Calls that may wait.
const MAX_WAITING: usize = 32;

#[derive(Clone, Copy)]
pub struct AdviceTimes {
    pub decide_ms: u64,
    pub each_ms: u64,
    pub valid_ms: u64,
}

#[derive(Default)]
struct Turns {
    next: u64,
    waiting: BTreeSet<u64>,
    busy: bool,
}

#[derive(Default, Clone, Copy, Debug)]
pub struct AdviceCounts {
    pub answered: u64,
    pub given_up: u64,
    pub refused: u64,
}

pub struct Advice {
    times: AdviceTimes,
    turns: Mutex<Turns>,
    turn: Condvar,
    counts: Mutex<AdviceCounts>,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
}

impl Advice {
    pub fn start(times: AdviceTimes, record: &Arc<Record>) -> std::io::Result<(Arc<Self>, String)> {
        let advice = Arc::new(Self {
            times,
            turns: Mutex::default(),
            turn: Condvar::new(),
            counts: Mutex::default(),
            record: Arc::clone(record),
            server: Mutex::default(),
        });
        let handler = Arc::clone(&advice);
        let server = Server::start("127.0.0.1:0", move |request| handler.handle(request))?;
        let address = server.address.to_string();
        *lock(&advice.server) = Some(server);
        Ok((advice, address))
    }

    pub fn counts(&self) -> AdviceCounts {
        *lock(&self.counts)
    }

    /// Workers accept tickets that the service gave for the step and the worker.
    pub fn guard() -> Guard {
        Arc::new(|step, worker, ticket| ticket == ticket_for(step, worker))
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path != "/cornelpoint/advise" {
            return Some((404, String::new()));
        }
        let message = Json::parse(&request.body)?;
        let step = message.get("step").text().to_owned();
        let workers: Vec<String> = message
            .get("workers")
            .list()
            .iter()
            .map(|worker| worker.text().to_owned())
            .collect();
        let mut turns = lock(&self.turns);
        if turns.waiting.len() >= MAX_WAITING {
            drop(turns);
            lock(&self.counts).refused += 1;
            return Some((429, String::new()));
        }
        let own = turns.next;
        turns.next += 1;
        turns.waiting.insert(own);
        loop {
            let is_next = !turns.busy && turns.waiting.first() == Some(&own);
            if is_next {
                break;
            }
            let waited = self.turn.wait(turns);
            turns = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        turns.waiting.remove(&own);
        if request.is_abandoned() {
            drop(turns);
            self.turn.notify_all();
            lock(&self.counts).given_up += 1;
            return None;
        }
        turns.busy = true;
        drop(turns);
        let AdviceTimes {
            decide_ms,
            each_ms,
            valid_ms,
        } = self.times;
        let count = u64::try_from(workers.len()).unwrap_or(0);
        thread::sleep(Duration::from_millis(decide_ms + each_ms * count));
        lock(&self.turns).busy = false;
        self.turn.notify_all();
        if request.is_abandoned() {
            lock(&self.counts).given_up += 1;
            self.record.line(&format!(
                "advice: the call for step {step} was given up before its answer"
            ));
            return None;
        }
        lock(&self.counts).answered += 1;
        self.record.line(&format!("advice: step {step} answered"));
        let good = workers
            .iter()
            .map(|worker| format!("[\"{worker}\",\"{}\"]", ticket_for(&step, worker)));
        let good: Vec<String> = good.collect();
        Some((
            200,
            format!("{{\"good\":[{}],\"valid_ms\":{valid_ms}}}", good.join(",")),
        ))
    }
}

fn ticket_for(step: &str, worker: &str) -> String {
    format!("t-{step}-{worker}")
}
