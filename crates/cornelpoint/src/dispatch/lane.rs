use crate::configuration::Service;
use crate::queue::QueueLimits;
use crate::queue::RequestQueue;
use crate::retry::RetryBudget;

/// Retries a second that are allowed however few first tries there are.
const MIN_RETRIES_PER_S: u32 = 2;

/// A request that waits for an endpoint that has not failed it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParkedRetry {
    pub(super) id: u64,
    pub(super) since_ms: u64,
}

/// One service at a gateway: its queue and its retry budget.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) service: Service,
    pub(super) queue: RequestQueue,
    pub(super) budget: RetryBudget,
    pub(super) running: u32,
    pub(super) parked: Vec<ParkedRetry>,
    /// Since when requests have waited without a break.
    pub(super) waiting_since_ms: Option<u64>,
}

impl Lane {
    pub(super) fn new(service: Service) -> Self {
        Self {
            queue: RequestQueue::new(limits(&service)),
            budget: RetryBudget::new(service.retry_percent, MIN_RETRIES_PER_S),
            running: 0,
            parked: Vec::new(),
            waiting_since_ms: None,
            service,
        }
    }

    /// Takes a changed service in; a queue keeps its limits while it holds
    /// requests.
    pub(super) fn update(&mut self, service: &Service) {
        if &self.service == service {
            return;
        }
        if self.queue.is_empty() {
            self.queue = RequestQueue::new(limits(service));
        }
        self.budget = RetryBudget::new(service.retry_percent, MIN_RETRIES_PER_S);
        self.service = service.clone();
    }

    pub(super) fn note_waiting(&mut self, now_ms: u64) {
        if self.queue.is_empty() {
            self.waiting_since_ms = None;
        } else if self.waiting_since_ms.is_none() {
            self.waiting_since_ms = Some(now_ms);
        }
    }
}

fn limits(service: &Service) -> QueueLimits {
    QueueLimits {
        max_requests: service.queue_limit as usize,
        max_body_bytes: service.queue_limit_bytes,
        max_deadline_ms: service.max_deadline_ms,
    }
}
