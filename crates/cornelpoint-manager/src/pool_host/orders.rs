use std::rc::Rc;
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
use crate::http::CallError;
use crate::http::HttpEndpoint;
use crate::metrics::ProcessMetrics;

/// Time for an answer to an order; workers answer within milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a report beyond the time that the look may wait.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the advice service, which takes one question after the other.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(3);

impl PoolHost {
    /// Sends an order off.
    pub(super) fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Start {
                incarnation,
                task,
                run,
                spec,
                deadline_clock_ms,
                checkpoint,
                ticket,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                debug!(self.log, "Start."; "task" => %task, "run" => run, "worker" => &link.id,
                    "deadline_clock_ms" => deadline_clock_ms);
                let order = workers::StartOrder {
                    task,
                    run,
                    spec: &spec,
                    deadline_clock_ms,
                    checkpoint: &checkpoint,
                    ticket: ticket.as_deref(),
                };
                let call = workers::start_call(&link.id, self.fencing_token, &order);
                spawn_local(Rc::clone(self).send_start(link, incarnation, call, task, run));
            }
            Action::Stop {
                incarnation,
                task,
                run,
            } => {
                let Some(link) = self.link(incarnation) else {
                    return;
                };
                debug!(self.log, "Stop."; "task" => %task, "run" => run, "worker" => &link.id);
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
                spawn_local(Rc::clone(self).send_renewal(link, incarnation, call, wait_ms));
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
                debug!(self.log, "Pace."; "task" => %task, "run" => run, "worker" => &link.id,
                    "percent" => percent);
                let call = workers::pace_call(&link.id, self.fencing_token, task, run, percent);
                spawn_local(Rc::clone(self).send_pace(link, call, task));
            }
            Action::RequestAdvice { step, incarnations } => {
                spawn_local(Rc::clone(self).request_advice(step, incarnations));
            }
        }
    }

    fn link(&self, incarnation: IncarnationIndex) -> Option<Rc<WorkerLink>> {
        let scheduler = self.scheduler.borrow();
        let (address, id) = scheduler.worker_address(incarnation)?;
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(incarnation)
            .or_insert_with(|| Rc::new(WorkerLink::new(address, id)));
        Some(Rc::clone(link))
    }

    async fn send_start(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        task: TaskId,
        run: u64,
    ) {
        let outcome = order(&link.orders, &call).await;
        let outcome_label = match outcome {
            OrderOutcome::Done { .. } => "done",
            OrderOutcome::Rejected(_) => "rejected",
            OrderOutcome::NotSent => "not_sent",
            OrderOutcome::NoAnswer => "no_answer",
        };
        ProcessMetrics::count(&self.node.metrics.starts, outcome_label);
        if !matches!(outcome, OrderOutcome::Done { .. }) {
            info!(self.log, "Start not carried out."; "task" => %task, "run" => run,
                "worker" => &link.id, "outcome" => ?outcome);
        }
        self.event(|scheduler, now| scheduler.start_replied(incarnation, task, run, outcome, now));
    }

    async fn send_stop(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        task: TaskId,
        run: u64,
    ) {
        let outcome = order(&link.orders, &call).await;
        self.event(|scheduler, now| scheduler.stop_replied(incarnation, task, run, outcome, now));
    }

    async fn send_pace(self: Rc<Self>, link: Rc<WorkerLink>, call: Call, task: TaskId) {
        let outcome = order(&link.orders, &call).await;
        if !matches!(outcome, OrderOutcome::Done { .. }) {
            info!(self.log, "Pace not carried out."; "task" => %task, "worker" => &link.id,
                "outcome" => ?outcome);
        }
    }

    async fn send_renewal(
        self: Rc<Self>,
        link: Rc<WorkerLink>,
        incarnation: IncarnationIndex,
        call: Call,
        wait_ms: u64,
    ) {
        let within = Duration::from_millis(wait_ms) + RENEWAL_TIMEOUT;
        let outcome = match link.renewals.send(&call, within).await {
            Ok(answer) if answer.status == 200 => self.report(&link, &answer.body),
            Ok(answer) if answer.status == 409 => Err(RenewalFailure::Fenced),
            Ok(answer) if answer.status == 421 => Err(RenewalFailure::OtherIncarnation),
            Ok(answer) => {
                info!(self.log, "Look refused."; "worker" => &link.id, "status" => answer.status);
                Err(RenewalFailure::NoAnswer)
            }
            Err(error) => {
                if !link.unresponsive.replace(true) {
                    info!(self.log, "Worker silent."; "worker" => &link.id, "error" => %error);
                }
                Err(RenewalFailure::NoAnswer)
            }
        };
        self.event(|scheduler, now| scheduler.renewal_replied(incarnation, outcome, now));
    }

    fn report(&self, link: &WorkerLink, body: &[u8]) -> Result<WorkerReport, RenewalFailure> {
        match workers::parse_report(body) {
            Ok((report, unread)) => {
                if link.unresponsive.replace(false) {
                    info!(self.log, "Worker answers again."; "worker" => &link.id);
                }
                if unread > 0 {
                    warn!(self.log, "Unreadable rows in a report."; "worker" => &link.id,
                        "rows" => unread);
                }
                Ok(report)
            }
            Err(error) => {
                warn!(self.log, "Unreadable report."; "worker" => &link.id, "error" => %error);
                Err(RenewalFailure::NoAnswer)
            }
        }
    }

    async fn request_advice(self: Rc<Self>, step: StepId, incarnations: Vec<IncarnationIndex>) {
        let tickets = self.advice(step, &incarnations).await;
        self.event(|scheduler, now| scheduler.advice_replied(step, tickets, now));
    }

    async fn advice(
        &self,
        step: StepId,
        incarnations: &[IncarnationIndex],
    ) -> Option<(Vec<(IncarnationIndex, String)>, u64)> {
        let address = self.node.settings.advice_address.as_deref()?;
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
        let answer = self.node.peer(address).send(&call, ADVICE_TIMEOUT).await;
        let answer = match answer {
            Ok(answer) if answer.status == 200 => answer,
            other => {
                info!(self.log, "No advice."; "step" => %step, "answer" => ?other.map(|answer| answer.status));
                // The step asks again with the next look at what is due.
                tokio::time::sleep(Duration::from_millis(200)).await;
                return None;
            }
        };
        match workers::parse_advice(&answer.body) {
            Ok((good, valid_ms)) => {
                let by_life = good.into_iter().filter_map(|(worker, ticket)| {
                    let (incarnation, _) = ids.iter().find(|(_, id)| *id == worker)?;
                    Some((*incarnation, ticket))
                });
                Some((by_life.collect(), valid_ms))
            }
            Err(error) => {
                warn!(self.log, "Unreadable advice."; "step" => %step, "error" => %error);
                None
            }
        }
    }
}

async fn order(endpoint: &HttpEndpoint, call: &Call) -> OrderOutcome {
    match endpoint.send(call, ORDER_TIMEOUT).await {
        Ok(answer) => workers::parse_order_outcome(answer.status, &answer.body),
        Err(CallError::NotSent) => OrderOutcome::NotSent,
        Err(CallError::NoAnswer) => OrderOutcome::NoAnswer,
    }
}
