use crate::configuration::Service;
use crate::queue::QueueLimits;
use crate::queue::RequestQueue;
use crate::retry::RetryBudget;

/// Retries per second that are allowed even when there are few first attempts.
const MIN_RETRIES_PER_S: u32 = 2;

/// A retry that waits for an endpoint that has not failed the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParkedRetry {
    pub(super) id: u64,
    pub(super) since_ms: u64,
}

/// Queue and retry budget of one service at a gateway.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) service: Service,
    pub(super) queue: RequestQueue,
    pub(super) budget: RetryBudget,
    pub(super) running: u32,
    pub(super) parked: Vec<ParkedRetry>,
    /// Time since which the queue has not been empty, in milliseconds.
    pub(super) waiting_since_ms: Option<u64>,
}

impl Lane {
    pub(super) fn new(service: Service) -> Self {
        Self {
            queue: RequestQueue::new(queue_limits(&service)),
            budget: RetryBudget::new(service.retry_percent, MIN_RETRIES_PER_S),
            running: 0,
            parked: Vec::new(),
            waiting_since_ms: None,
            service,
        }
    }

    /// Applies a changed service. The queue keeps its limits if it holds
    /// requests.
    pub(super) fn update(&mut self, service: &Service) {
        if &self.service == service {
            return;
        }
        if self.queue.is_empty() {
            self.queue = RequestQueue::new(queue_limits(service));
        }
        self.budget = RetryBudget::new(service.retry_percent, MIN_RETRIES_PER_S);
        self.service = service.clone();
    }

    pub(super) fn update_waiting_since(&mut self, now_ms: u64) {
        if self.queue.is_empty() {
            self.waiting_since_ms = None;
        } else if self.waiting_since_ms.is_none() {
            self.waiting_since_ms = Some(now_ms);
        }
    }
}

fn queue_limits(service: &Service) -> QueueLimits {
    QueueLimits {
        max_requests: service.queue_limit as usize,
        max_body_bytes: service.queue_limit_bytes,
        max_deadline_ms: service.max_deadline_ms,
    }
}
