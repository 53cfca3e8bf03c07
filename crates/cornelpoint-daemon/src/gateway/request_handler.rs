use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::Fingerprint;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Service;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::dispatch::Assignment;
use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::SendReport;
use cornelpoint::name::InstanceId;
use cornelpoint::request::Refusal;
use cornelpoint::retry::SendResult;

use super::decision_handle::DecisionHandle;
use super::decision_handle::PendingRequest;
use super::forwarded_request::ForwardedRequest;
use super::pause_detector::PauseDetector;
use super::request_claim::RequestClaim;
use super::request_options::RequestOptions;
use super::send_history::SendHistory;
use super::send_history::caller_answer;
use super::send_history::refusal_answer;
use super::send_history::send_report;
use super::serving_state::ServingState;
use super::serving_state::endpoint_target;
use super::serving_state::service_of;
use super::serving_state::service_segment;
use crate::caller_edge::Answer;
use crate::caller_edge::BodyLimit;
use crate::caller_edge::CallerHandler;
use crate::caller_edge::CallerRequest;
use crate::caller_edge::RequestHead;
use crate::claim_store::ClaimDecision;
use crate::claim_store::ClaimStore;
use crate::clock::MonotonicClock;
use crate::endpoint_client::EndpointClient;
use crate::endpoint_client::OutgoingRequest;
use crate::endpoint_client::Reuse;
use crate::endpoint_client::SendOutcome;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::metrics::Timer;

/// Serves callers' requests, each on the thread of its connection.
#[derive(Debug)]
pub(super) struct RequestHandler {
    pub(super) instance: InstanceId,
    pub(super) incarnation: u64,
    pub(super) clock: MonotonicClock,
    pub(super) pause_detector: Arc<PauseDetector>,
    pub(super) serving_state: Arc<ServingState>,
    pub(super) decisions: DecisionHandle,
    pub(super) client: EndpointClient,
    pub(super) claims: ClaimStore,
    pub(super) metrics: Metrics,
    pub(super) next_id: AtomicU64,
}

impl CallerHandler for RequestHandler {
    fn admit(&self, head: &RequestHead) -> Result<BodyLimit, Answer> {
        let limit = self.body_limit(head);
        if let Err(answer) = &limit {
            self.count_result(answer);
        }
        limit
    }

    fn handle(&self, request: CallerRequest) -> Answer {
        self.metrics.count(Counter::Received);
        let answer = match self.serve(&request) {
            Ok(answer) | Err(answer) => answer,
        };
        self.count_result(&answer);
        self.metrics
            .record_since(Timer::Request, request.received_at);
        answer
    }

    fn record_rejection(&self, refusal: Refusal) {
        self.metrics.count_refusal(refusal);
    }

    fn record_closed(&self, reason: CloseReason) {
        self.metrics.count_closed(reason);
    }
}

impl RequestHandler {
    fn count_result(&self, answer: &Answer) {
        match answer.refusal() {
            Some(refusal) => self.metrics.count_refusal(refusal),
            None => self.metrics.count(Counter::Answered),
        }
    }

    fn body_limit(&self, head: &RequestHead) -> Result<BodyLimit, Answer> {
        let configuration = self.configuration()?;
        let service = find_service(&configuration, &head.target)?;
        RequestOptions::read(head, service, Instant::now())?;
        Ok(BodyLimit {
            max_bytes: service.max_body_bytes,
        })
    }

    fn configuration(&self) -> Result<Arc<Configuration>, Answer> {
        self.serving_state.configuration().ok_or_else(|| {
            Answer::refused(
                Refusal::NotReady,
                "expected a configuration, found none from any keeper yet",
            )
        })
    }

    fn serve(&self, request: &CallerRequest) -> Result<Answer, Answer> {
        let configuration = self.configuration()?;
        let service = find_service(&configuration, &request.head.target)?;
        let read_ms = self.clock.millis_of(request.received_at);
        let sent_at = self
            .clock
            .instant_of(self.pause_detector.earliest_sent_ms(read_ms));
        let options = RequestOptions::read(&request.head, service, sent_at)?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let forwarded = ForwardedRequest {
            target: endpoint_target(&request.head.target),
            request_id: format!("{}-{:x}-{id}", self.instance, self.incarnation),
            service,
            request,
            options: &options,
        };
        let new_request = NewRequest {
            id,
            service: service.name.clone(),
            deadline_ms: self.clock.millis_of(options.deadline),
            body_bytes: request.body.len() as u64,
            idempotent: options.idempotent,
        };
        let mut claim = self.claim(&new_request, &forwarded)?;
        let answer = match self.decisions.enqueue(new_request, options.deadline) {
            Some(pending) => self.execute_actions(&pending, &forwarded, &mut claim),
            None => refusal_answer(Refusal::Overloaded),
        };
        claim.release();
        Ok(answer)
    }

    /// Claims the idempotency key of a request that must run at most once.
    ///
    /// The claim is made before the request waits for a slot, so that no slot
    /// is idle during the write. A request that would be refused is not claimed.
    fn claim(
        &self,
        new_request: &NewRequest,
        forwarded: &ForwardedRequest<'_>,
    ) -> Result<RequestClaim, Answer> {
        let Some(key) = &forwarded.options.key else {
            return Ok(RequestClaim::unkeyed());
        };
        self.decisions.check(new_request).map_err(refusal_answer)?;
        let row_name = ClaimRowName::new(&new_request.service, key);
        let head = &forwarded.request.head;
        let body = &forwarded.request.body;
        let fingerprint =
            Fingerprint::new(head.method, &new_request.service, &forwarded.target, body);
        let start = Instant::now();
        let decision = self
            .claims
            .claim(&row_name, fingerprint, forwarded.options.deadline);
        self.metrics.record_since(Timer::Claim, start);
        self.count_claim(&decision);
        match decision {
            ClaimDecision::Granted(claim) => Ok(RequestClaim::held(self.claims.clone(), claim)),
            ClaimDecision::Answered(answer) => Err(caller_answer(answer.into())),
            ClaimDecision::Refused(refusal) => Err(refusal_answer(refusal)),
        }
    }

    fn count_claim(&self, decision: &ClaimDecision) {
        match decision {
            ClaimDecision::Granted(_) => self.metrics.count(Counter::Claim),
            ClaimDecision::Refused(Refusal::ClaimUnavailable) => {
                self.metrics.count(Counter::ClaimFailure);
            }
            ClaimDecision::Answered(_) | ClaimDecision::Refused(_) => {}
        }
    }

    /// Executes the dispatcher's actions until the last one.
    fn execute_actions(
        &self,
        pending: &PendingRequest,
        forwarded: &ForwardedRequest<'_>,
        claim: &mut RequestClaim,
    ) -> Answer {
        let mut sends = SendHistory::default();
        loop {
            match pending.next() {
                Some(DispatchAction::Send(assignment)) => {
                    let report = self.send(&assignment, forwarded, claim, &mut sends);
                    pending.complete(report);
                    // The action after a final result is known; the caller need
                    // not wait for it.
                    if report.result.is_final() {
                        return sends.into_answer();
                    }
                }
                Some(DispatchAction::Answer) => return sends.into_answer(),
                Some(DispatchAction::Refuse(refusal)) => return sends.into_refusal(refusal),
                None => return sends.into_refusal(Refusal::Overloaded),
            }
        }
    }

    fn send(
        &self,
        assignment: &Assignment,
        forwarded: &ForwardedRequest<'_>,
        claim: &mut RequestClaim,
        sends: &mut SendHistory,
    ) -> SendReport {
        // A process that was paused after the assignment must not send: the
        // assignment has expired.
        if self.clock.now_ms() > assignment.start_by_ms || !claim.begin_send() {
            return send_report(SendResult::NotSent);
        }
        let headers = forwarded.headers();
        let request = OutgoingRequest {
            method: forwarded.request.head.method,
            target: &forwarded.target,
            headers: &headers,
            body: &forwarded.request.body,
            request_id: &forwarded.request_id,
            max_answer_bytes: forwarded.service.max_answer_bytes,
        };
        let reuse = if forwarded.options.idempotent {
            Reuse::Pooled
        } else {
            Reuse::Fresh
        };
        let deadline = forwarded.options.deadline;
        let start = Instant::now();
        let room = &forwarded.request.room;
        let outcome = self.client.send_holding(
            assignment.address,
            &request,
            deadline,
            reuse,
            &|answer_bytes| room.hold_answer(answer_bytes),
        );
        self.count_send(&outcome, start);
        claim.end_send(&outcome);
        sends.record(outcome)
    }

    fn count_send(&self, outcome: &SendOutcome, start: Instant) {
        match outcome {
            SendOutcome::Answered(_) => self.metrics.record_since(Timer::Endpoint, start),
            SendOutcome::NotStarted { .. } => self.metrics.count(Counter::NotStarted),
            SendOutcome::NotSent(_) | SendOutcome::Broken(_) => {}
        }
    }
}

fn find_service<'a>(configuration: &'a Configuration, target: &str) -> Result<&'a Service, Answer> {
    service_of(configuration, target).ok_or_else(|| {
        Answer::refused(
            Refusal::UnknownService,
            &format!(
                "expected a service in the first path segment, found {}",
                service_segment(target).escape_default()
            ),
        )
    })
}
