use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::Fingerprint;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Service;
use cornelpoint::dispatch::Assignment;
use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::SendReport;
use cornelpoint::name::InstanceId;
use cornelpoint::request::Refusal;
use cornelpoint::retry::SendResult;

use super::admission::Admission;
use super::admission::endpoint_target;
use super::admission::service_of;
use super::admission::service_segment;
use super::decisions::Decisions;
use super::decisions::Ticket;
use super::outgoing::Outgoing;
use super::pause_watch::PauseWatch;
use super::request_claim::RequestClaim;
use super::request_plan::RequestPlan;
use super::sends::Sends;
use super::sends::answered;
use super::sends::refused;
use super::sends::report;
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
pub(super) struct Handler {
    pub(super) instance: InstanceId,
    pub(super) incarnation: u64,
    pub(super) clock: MonotonicClock,
    pub(super) pauses: Arc<PauseWatch>,
    pub(super) admission: Arc<Admission>,
    pub(super) decisions: Decisions,
    pub(super) client: EndpointClient,
    pub(super) claims: ClaimStore,
    pub(super) metrics: Metrics,
    pub(super) next_id: AtomicU64,
}

impl CallerHandler for Handler {
    fn admit(&self, head: &RequestHead) -> Result<BodyLimit, Answer> {
        let limit = self.body_limit(head);
        if let Err(answer) = &limit {
            self.count_end(answer);
        }
        limit
    }

    fn handle(&self, request: CallerRequest) -> Answer {
        self.metrics.count(Counter::Received);
        let answer = match self.serve(&request) {
            Ok(answer) | Err(answer) => answer,
        };
        self.count_end(&answer);
        self.metrics
            .record_since(Timer::Request, request.received_at);
        answer
    }

    fn record_rejection(&self, refusal: Refusal) {
        self.metrics.count_refusal(refusal);
    }
}

impl Handler {
    fn count_end(&self, answer: &Answer) {
        match answer.refusal() {
            Some(refusal) => self.metrics.count_refusal(refusal),
            None => self.metrics.count(Counter::Answered),
        }
    }

    fn body_limit(&self, head: &RequestHead) -> Result<BodyLimit, Answer> {
        let configuration = self.configuration()?;
        let service = find_service(&configuration, &head.target)?;
        RequestPlan::read(head, service, Instant::now())?;
        Ok(BodyLimit {
            max_bytes: service.max_body_bytes,
        })
    }

    fn configuration(&self) -> Result<Arc<Configuration>, Answer> {
        self.admission.configuration().ok_or_else(|| {
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
        let sent_at = self.clock.instant_of(self.pauses.sent_ms(read_ms));
        let plan = RequestPlan::read(&request.head, service, sent_at)?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let outgoing = Outgoing {
            target: endpoint_target(&request.head.target),
            request_id: format!("{}-{:x}-{id}", self.instance, self.incarnation),
            service,
            request,
            plan: &plan,
        };
        let new = NewRequest {
            id,
            service: service.name.clone(),
            deadline_ms: self.clock.millis_of(plan.deadline),
            body_bytes: request.body.len() as u64,
            idempotent: plan.idempotent,
        };
        let mut claim = self.claim(&new, &outgoing)?;
        let answer = match self.decisions.enqueue(new, plan.deadline) {
            Some(ticket) => self.follow(&ticket, &outgoing, &mut claim),
            None => refused(Refusal::Overloaded),
        };
        claim.release();
        Ok(answer)
    }

    /// Claims the key of a request that must run at most once.
    ///
    /// That comes before the request waits for a slot: no slot is idle for
    /// the length of a write, and what would be refused is not claimed.
    fn claim(&self, new: &NewRequest, outgoing: &Outgoing<'_>) -> Result<RequestClaim, Answer> {
        let Some(key) = &outgoing.plan.key else {
            return Ok(RequestClaim::unkeyed());
        };
        self.decisions.check(new).map_err(refused)?;
        let place = ClaimRowName::new(&new.service, key);
        let head = &outgoing.request.head;
        let body = &outgoing.request.body;
        let fingerprint = Fingerprint::new(head.method, &new.service, &outgoing.target, body);
        let start = Instant::now();
        let decision = self
            .claims
            .claim(&place, fingerprint, outgoing.plan.deadline);
        self.metrics.record_since(Timer::Claim, start);
        self.count_claim(&decision);
        match decision {
            ClaimDecision::Granted(claim) => Ok(RequestClaim::held(self.claims.clone(), claim)),
            ClaimDecision::Answered(answer) => Err(answered(answer.into())),
            ClaimDecision::Refused(refusal) => Err(refused(refusal)),
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

    /// Acts on verdicts until the last one.
    fn follow(&self, ticket: &Ticket, outgoing: &Outgoing<'_>, claim: &mut RequestClaim) -> Answer {
        let mut sends = Sends::default();
        loop {
            match ticket.next() {
                Some(DispatchAction::Send(assignment)) => {
                    let report = self.send(&assignment, outgoing, claim, &mut sends);
                    ticket.complete(report);
                    // The verdict on a final answer is known; the caller need
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
        outgoing: &Outgoing<'_>,
        claim: &mut RequestClaim,
        sends: &mut Sends,
    ) -> SendReport {
        // A process that was paused since the assignment must not send.
        if self.clock.now_ms() > assignment.start_by_ms || !claim.begin_send() {
            return report(SendResult::NotSent);
        }
        let headers = outgoing.headers();
        let request = OutgoingRequest {
            method: outgoing.request.head.method,
            target: &outgoing.target,
            headers: &headers,
            body: &outgoing.request.body,
            request_id: &outgoing.request_id,
            max_answer_bytes: outgoing.service.max_answer_bytes,
        };
        let reuse = if outgoing.plan.idempotent {
            Reuse::Pooled
        } else {
            Reuse::Fresh
        };
        let deadline = outgoing.plan.deadline;
        let start = Instant::now();
        let outcome = self
            .client
            .send(assignment.address, &request, deadline, reuse);
        self.count_send(&outcome, start);
        claim.end_send(&outcome);
        sends.take(outcome)
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
