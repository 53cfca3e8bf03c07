use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cornelpoint::job::StepId;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::WorkerReport;
use cornelpoint_platform::call::Call;
use cornelpoint_platform::workers;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::task::spawn_local;

use super::host::PoolHost;
use super::worker_link::WorkerLink;
use crate::clock;
use crate::http::Admission;
use crate::http::CallError;
use crate::http::CheckedResponse;
use crate::http::HttpEndpoint;
use crate::http::PeerCheck;
use crate::http::Response;
use crate::metrics::ProcessMetrics;

/// Timeout of an order; workers respond within milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a lease renewal, in addition to the time that it may wait at the
/// worker.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to a worker.
#[derive(Clone, Copy)]
struct OutgoingCall<'a> {
    call: &'a Call,
    /// Whether runs may go on for longer, or begin, because of it.
    grants_lease: bool,
    /// Task that the call starts.
    starts: Option<TaskId>,
    /// Makes the call for the next incarnation of the worker, by a reading of that one's
    /// clock, if it may be sent there.
    translate: &'a dyn Fn(u64) -> Option<Call>,
}

impl<'a> OutgoingCall<'a> {
    /// A call that grants no lease and is for one incarnation only.
    fn new(call: &'a Call) -> Self {
        Self {
            call,
            grants_lease: false,
            starts: None,
            translate: &|_| None,
        }
    }
}

/// An order to start, before it is sent to an incarnation of its worker.
#[derive(Clone, Debug)]
struct PendingStart {
    task: TaskId,
    run: u64,
    spec: Arc<str>,
    deadline_clock_ms: u64,
    lease_end_ms: u64,
    checkpoint: String,
    ticket: Option<String>,
}

impl PoolHost {
    /// Starts to carry out an action; its outcome updates the scheduler later.
    pub(super) fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Start {
                incarnation,
                task,
                run,
                spec,
                deadline_clock_ms,
                lease_end_ms,
                checkpoint,
                ticket,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                debug!(self.log, "Starting a run."; "task" => %task, "run" => run,
                    "worker" => &link.id, "deadline_clock_ms" => deadline_clock_ms);
                let order = PendingStart {
                    task,
                    run,
                    spec,
                    deadline_clock_ms,
                    lease_end_ms,
                    checkpoint,
                    ticket,
                };
                spawn_local(Rc::clone(self).send_start(link, incarnation, order));
            }
            Action::Stop {
                incarnation,
                task,
                run,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                debug!(self.log, "Stopping a run."; "task" => %task, "run" => run,
                    "worker" => &link.id);
                let call = workers::stop_call(&link.id, self.fencing_token, task, run);
                spawn_local(Rc::clone(self).send_stop(link, incarnation, call, task, run));
            }
            Action::RenewLease {
                incarnation,
                acknowledged,
                deadline_clock_ms,
                wait_ms,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                let call = workers::renew_lease_call(
                    &link.id,
                    self.fencing_token,
                    acknowledged,
                    deadline_clock_ms,
                    wait_ms,
                );
                let grants_lease = deadline_clock_ms.is_some();
                let sent =
                    Rc::clone(self).send_renewal(link, incarnation, call, grants_lease, wait_ms);
                spawn_local(sent);
            }
            Action::Pace {
                incarnation,
                task,
                run,
                percent,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                debug!(self.log, "Setting the pace of a run."; "task" => %task, "run" => run,
                    "worker" => &link.id, "percent" => percent);
                let call = workers::pace_call(&link.id, self.fencing_token, task, run, percent);
                spawn_local(Rc::clone(self).send_pace(link, incarnation, call, task));
            }
            Action::RequestAdvice { step, incarnations } => {
                let number = self.node.advice.begin(&self.pool);
                spawn_local(Rc::clone(self).request_advice(number, step, incarnations));
            }
        }
    }

    fn link(&self, incarnation: IncarnationIndex) -> Option<Rc<WorkerLink>> {
        let scheduler = self.scheduler.borrow();
        let (address, id) = scheduler.worker_address(incarnation)?;
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(incarnation)
            .or_insert_with(|| Rc::new(WorkerLink::new(address, id, self.fencing_token)));
        Some(Rc::clone(link))
    }

    async fn send_start(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        order: PendingStart,
    ) {
        let (task, run) = (order.task, order.run);
        let call = order.call(&link.id, self.fencing_token, order.deadline_clock_ms);
        let translate = |clock_ms| {
            let lease_ms = order.lease_end_ms.saturating_sub(clock::now().steady_ms);
            (lease_ms > 0).then(|| order.call(&link.id, self.fencing_token, clock_ms + lease_ms))
        };
        let outgoing = OutgoingCall {
            call: &call,
            grants_lease: true,
            starts: Some(task),
            translate: &translate,
        };
        let outcome = self.send_order(&link, incarnation, outgoing).await;
        let outcome_label = match outcome {
            OrderOutcome::Done { .. } => "done",
            OrderOutcome::Rejected(_) => "rejected",
            OrderOutcome::NotSent => "not_sent",
            OrderOutcome::Busy => "busy",
            OrderOutcome::NoAnswer => "no_answer",
        };
        ProcessMetrics::count(&self.node.metrics.starts, outcome_label);
        if !matches!(outcome, OrderOutcome::Done { .. }) {
            info!(self.log, "Start order failed."; "task" => %task, "run" => run,
                "worker" => &link.id, "outcome" => ?outcome);
        }
        self.apply(|scheduler, now| scheduler.start_replied(incarnation, task, run, outcome, now));
    }

    async fn send_stop(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        task: TaskId,
        run: u64,
    ) {
        let outcome = self
            .send_order(&link, incarnation, OutgoingCall::new(&call))
            .await;
        self.apply(|scheduler, now| scheduler.stop_replied(incarnation, task, run, outcome, now));
    }

    async fn send_pace(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        task: TaskId,
    ) {
        let outcome = self
            .send_order(&link, incarnation, OutgoingCall::new(&call))
            .await;
        if !matches!(outcome, OrderOutcome::Done { .. }) {
            info!(self.log, "Pace order failed."; "task" => %task, "worker" => &link.id,
                "outcome" => ?outcome);
        }
    }

    async fn send_renewal(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        grants_lease: bool,
        wait_ms: u64,
    ) {
        let timeout = Duration::from_millis(wait_ms) + RENEWAL_TIMEOUT;
        let outgoing = OutgoingCall {
            grants_lease,
            ..OutgoingCall::new(&call)
        };
        let sent = self.send_confirmed(&link, &link.renewals, incarnation, outgoing, timeout);
        // A report of the next incarnation counts as its first one.
        let answer = sent.await.map(|response| match response {
            CheckedResponse::Answered(answer) | CheckedResponse::Refused(answer) => answer,
        });
        let outcome = match answer {
            Ok(answer) if answer.status == 200 => self.parse_report(&link, &answer.body),
            Ok(answer) if answer.status == 409 => Err(RenewalFailure::Fenced),
            Ok(answer) if answer.status == 421 => Err(RenewalFailure::OtherIncarnation),
            Ok(answer) => {
                info!(self.log, "Lease renewal rejected."; "worker" => &link.id,
                    "status" => answer.status);
                Err(RenewalFailure::NoAnswer)
            }
            Err(error) => {
                if !link.unresponsive.replace(true) {
                    info!(self.log, "Worker unresponsive."; "worker" => &link.id,
                        "error" => %error);
                }
                Err(RenewalFailure::NoAnswer)
            }
        };
        self.apply(|scheduler, now| scheduler.renewal_replied(incarnation, outcome, now));
    }

    fn parse_report(&self, link: &WorkerLink, body: &[u8]) -> Result<WorkerReport, RenewalFailure> {
        match workers::parse_report(body) {
            Ok((report, skipped)) => {
                if link.unresponsive.replace(false) {
                    info!(self.log, "Worker responsive again."; "worker" => &link.id);
                }
                if skipped > 0 {
                    warn!(self.log, "Rows of a worker report can't be parsed; ignored.";
                        "worker" => &link.id, "rows" => skipped);
                }
                Ok(report)
            }
            Err(error) => {
                warn!(self.log, "Worker report can't be parsed."; "worker" => &link.id,
                    "error" => %error);
                Err(RenewalFailure::NoAnswer)
            }
        }
    }

    async fn request_advice(
        self: Rc<Self>,
        number: u64,
        step: StepId,
        incarnations: Vec<IncarnationIndex>,
    ) {
        let tickets = self.fetch_advice(number, step, &incarnations).await;
        self.apply(|scheduler, now| scheduler.advice_replied(step, tickets, now));
    }

    async fn fetch_advice(
        &self,
        number: u64,
        step: StepId,
        incarnations: &[IncarnationIndex],
    ) -> Option<(Vec<(IncarnationIndex, String)>, u64)> {
        let incarnations = &incarnations[..incarnations.len().min(workers::MAX_WORKERS_PER_ADVICE)];
        let ids: Vec<(IncarnationIndex, String)> = {
            let scheduler = self.scheduler.borrow();
            let known = incarnations.iter().filter_map(|&incarnation| {
                let (_, id) = scheduler.worker_address(incarnation)?;
                Some((incarnation, id.to_owned()))
            });
            known.collect()
        };
        let names: Vec<&str> = ids.iter().map(|(_, id)| id.as_str()).collect();
        let call = workers::advise_call(step, &names);
        let answer = self.node.call_advice(number, &call).await?;
        match workers::parse_advice(&answer.body) {
            Ok((tickets, valid_ms)) => {
                let by_incarnation = tickets.into_iter().filter_map(|(worker, ticket)| {
                    let (incarnation, _) = ids.iter().find(|(_, id)| *id == worker)?;
                    Some((*incarnation, ticket))
                });
                Some((by_incarnation.collect(), valid_ms))
            }
            Err(error) => {
                warn!(self.log, "Advice can't be parsed."; "step" => %step, "error" => %error);
                None
            }
        }
    }

    async fn send_order(
        &self,
        link: &WorkerLink,
        incarnation: IncarnationIndex,
        outgoing: OutgoingCall<'_>,
    ) -> OrderOutcome {
        let sent = self.send_confirmed(link, &link.orders, incarnation, outgoing, ORDER_TIMEOUT);
        match sent.await {
            Ok(CheckedResponse::Answered(answer)) => {
                workers::parse_order_outcome(answer.status, &answer.body)
            }
            Ok(CheckedResponse::Refused(answer)) => {
                info!(self.log, "Order not sent: another incarnation may answer.";
                    "worker" => &link.id, "status" => answer.status);
                OrderOutcome::NotSent
            }
            Err(CallError::NotSent) => OrderOutcome::NotSent,
            Err(CallError::Busy) => OrderOutcome::Busy,
            Err(CallError::NoAnswer) => OrderOutcome::NoAnswer,
        }
    }

    /// Sends a call to a worker, unless this process may no longer order: a successor
    /// may have taken over, whose token the worker need not know yet.
    ///
    /// Calls name the worker, but deadlines and acknowledgements mean something to one of its
    /// incarnations only. A connection ends with its incarnation, so that a call without an
    /// answer was carried out by the one that has been identified there, or by none.
    async fn send_confirmed(
        &self,
        link: &WorkerLink,
        endpoint: &HttpEndpoint,
        incarnation: IncarnationIndex,
        outgoing: OutgoingCall<'_>,
        timeout: Duration,
    ) -> Result<CheckedResponse, CallError> {
        let intended = self.scheduler.borrow().worker_born_unix_ms(incarnation);
        let Some(intended) = intended else {
            return Err(CallError::NotSent);
        };
        let admit = |answer: &Response| {
            let found = workers::parse_incarnation(&answer.body);
            let Some(found) = found.filter(|_| answer.status == 200) else {
                return Admission::Refused;
            };
            if intended == 0 || [0, intended].contains(&found.born_unix_ms) {
                return Admission::Intended;
            }
            info!(self.log, "Worker has restarted."; "worker" => &link.id,
                "known_born_unix_ms" => intended, "born_unix_ms" => found.born_unix_ms);
            let translated = (outgoing.translate)(found.clock_ms);
            translated.map_or(Admission::Refused, Admission::Instead)
        };
        let check = PeerCheck {
            question: &link.question,
            admit: &admit,
        };
        let may_send = || {
            let now = clock::now();
            let may_send = if outgoing.grants_lease {
                self.may_grant_leases(now)
            } else {
                self.is_confirmed(now)
            };
            let may_start = |task| {
                let scheduler = self.scheduler.borrow();
                scheduler.may_send_start(task, now) && scheduler.knows_cancellations(now)
            };
            may_send && outgoing.starts.is_none_or(may_start) && !self.stopped.get()
        };
        endpoint
            .send_checked(outgoing.call, timeout, &may_send, check)
            .await
    }
}

impl PendingStart {
    fn call(&self, worker: &str, fencing_token: u64, deadline_clock_ms: u64) -> Call {
        let order = workers::StartOrder {
            task: self.task,
            run: self.run,
            spec: &self.spec,
            deadline_clock_ms,
            checkpoint: &self.checkpoint,
            ticket: self.ticket.as_deref(),
        };
        workers::start_call(worker, fencing_token, &order)
    }
}
