use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cornelpoint::request::Method;
use cornelpoint_standin::caller::CallerRequest;
use cornelpoint_standin::caller::call;
use cornelpoint_standin::history::Outcome;
use cornelpoint_standin::history::Recorder;

use super::fleet::Fleet;
use super::fleet::gateway_name;

/// Time after which a caller gives up; reached only if the test hangs.
const CALLER_TIMEOUT_MS: u64 = 60_000;

const WORK_MS: u64 = 20;

/// Work longer than the notice that a gateway gives before it stops.
const LONG_WORK_MS: u64 = 2800;

/// One of this many orders of a caller is long.
const LONG_EVERY: usize = 20;

/// Request of a caller that is not idempotent, with or without an idempotency key.
#[derive(Clone, Debug)]
pub struct Order {
    pub request: String,
    pub is_keyed: bool,
    pub work_ms: u64,
    pub deadline_ms: u64,
}

impl Order {
    /// Creates an order with an idempotency key and a deadline that no call misses.
    pub fn keyed(request: String) -> Self {
        Self {
            request,
            is_keyed: true,
            work_ms: WORK_MS,
            deadline_ms: 30_000,
        }
    }

    /// Creates orders of which every second one has an idempotency key.
    pub fn several(count: usize, work_ms: u64, deadline_ms: u64) -> Vec<Self> {
        (0..count)
            .map(|number| Self {
                request: format!("order-{number}"),
                is_keyed: number % 2 == 0,
                work_ms,
                deadline_ms,
            })
            .collect()
    }

    /// Sends the order to a gateway and records the call.
    pub fn call(&self, fleet: &Fleet, recorder: &Recorder, gateway: usize) -> Outcome {
        let request = CallerRequest {
            gateway: gateway_name(gateway).as_str().try_into().unwrap(),
            address: fleet.zones[gateway].callers,
            request: self.request.clone(),
            idempotency_key: self.is_keyed.then(|| format!("key-{}", self.request)),
            method: Method::Post,
            path: "/quoting/orders".to_owned(),
            body: self.request.repeat(10).into_bytes(),
            size_bytes: None,
            work_ms: Some(self.work_ms),
            deadline_ms: Some(self.deadline_ms),
            timeout_ms: CALLER_TIMEOUT_MS,
        };
        call(recorder, &request)
    }
}

/// Sends one order at a time until the stop flag is set, each to the first
/// healthy gateway, beginning with the caller's own.
pub fn send_orders(fleet: &Fleet, recorder: &Recorder, caller: usize, stop: &AtomicBool) {
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let own = caller % 2;
        let gateway = if fleet.is_healthy(own) { own } else { 1 - own };
        let is_long = (count + caller).is_multiple_of(LONG_EVERY);
        let order = Order {
            is_keyed: count % 2 == 0,
            work_ms: if is_long { LONG_WORK_MS } else { WORK_MS },
            ..Order::keyed(format!("caller-{caller}-{count}"))
        };
        order.call(fleet, recorder, gateway);
    }
}

/// Returns whether an order was answered with status 200.
pub fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { status: 200, .. })
}
