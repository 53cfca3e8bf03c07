use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::advice::AdviceCalls;
use cornelpoint::advice::CallOutcome;
use cornelpoint_platform::call::Call;
use slog::info;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::state::Node;
use crate::clock;
use crate::http::CallError;
use crate::http::HttpEndpoint;
use crate::http::Response;

/// Longest wait for an answer. The service answers in turn, and its answers are of use also
/// when they are late.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Most connections: calls that get no answer hold some.
const MAX_CONNECTIONS: usize = 24;
/// Status of a call that is refused because too many wait.
const REFUSED_STATUS: u16 = 429;

/// The advice service as this process calls it, for all its pools.
pub(crate) struct AdviceEndpoint {
    endpoint: Option<HttpEndpoint>,
    calls: RefCell<AdviceCalls>,
    /// Ends calls that get no answer any more.
    in_flight: RefCell<HashMap<u64, oneshot::Sender<()>>>,
}

impl AdviceEndpoint {
    pub(super) fn new(address: Option<&str>) -> Self {
        Self {
            endpoint: address.map(|address| HttpEndpoint::new(address, MAX_CONNECTIONS)),
            calls: RefCell::default(),
            in_flight: RefCell::default(),
        }
    }

    /// Returns the number of calls that a pool may send now.
    pub(crate) fn free(&self, pool: &str) -> usize {
        self.calls.borrow().free(pool, clock::now().steady_ms)
    }

    /// Records whether a pool has steps that wait for a call.
    pub(crate) fn set_waiting(&self, pool: &str, waits: bool) {
        self.calls.borrow_mut().set_waiting(pool, waits);
    }

    /// Returns the pool that waits for a call and may send it now.
    pub(crate) fn next_pool(&self) -> Option<String> {
        let calls = self.calls.borrow();
        let pool = calls.next_pool(clock::now().steady_ms);
        pool.map(str::to_owned)
    }

    /// Returns when a pool that waits for a call may send one though none is answered.
    pub(crate) fn next_free_ms(&self) -> Option<u64> {
        self.calls.borrow().next_free_ms(clock::now().steady_ms)
    }

    /// Records that a pool is about to send a call; returns the call's number.
    pub(crate) fn begin(&self, pool: &str) -> u64 {
        let now_ms = clock::now().steady_ms;
        self.calls.borrow_mut().begin(pool, now_ms)
    }
}

impl Node {
    /// Sends a call to the advice service. Returns its answer, which may be late; `None` if
    /// there is none.
    pub(crate) async fn call_advice(self: &Rc<Self>, number: u64, call: &Call) -> Option<Response> {
        let (sender, ended) = oneshot::channel();
        let in_flight = &self.advice.in_flight;
        in_flight.borrow_mut().insert(number, sender);
        let answer = match &self.advice.endpoint {
            Some(endpoint) => tokio::select! {
                answer = endpoint.send(call, TIMEOUT) => answer,
                _ = ended => Err(CallError::NoAnswer),
            },
            None => Err(CallError::NotSent),
        };
        in_flight.borrow_mut().remove(&number);
        let outcome = match &answer {
            Ok(answer) if answer.status == 200 => CallOutcome::Answered,
            Ok(answer) if answer.status == REFUSED_STATUS => CallOutcome::Refused,
            _ => CallOutcome::Failed,
        };
        if outcome != CallOutcome::Answered {
            info!(self.pool_log, "Request for advice failed."; "outcome" => ?outcome,
                "answer" => ?answer.as_ref().map(|answer| answer.status));
        }
        self.advice_settled(number, outcome);
        answer.ok().filter(|answer| answer.status == 200)
    }

    /// Has the next pool send its call, now or after a pause.
    fn advice_settled(self: &Rc<Self>, number: u64, outcome: CallOutcome) {
        let now_ms = clock::now().steady_ms;
        let mut calls = self.advice.calls.borrow_mut();
        let settled = calls.settle(number, outcome, now_ms);
        drop(calls);
        for lost in settled.lost {
            let sender = self.advice.in_flight.borrow_mut().remove(&lost);
            // Fails only if the call has ended by itself.
            let _ = sender.map(|sender| sender.send(()));
        }
        let Some(pool) = settled.next_pool else {
            return;
        };
        let node = Rc::clone(self);
        spawn_local(async move {
            tokio::time::sleep(clock::until(settled.resume_ms)).await;
            if let Some(host) = node.host(&pool) {
                host.wake();
            }
        });
    }
}
