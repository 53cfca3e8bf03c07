use std::rc::Rc;
use std::time::Duration;

use cornelpoint::admission::RefusalReason;
use cornelpoint::inbox::InboxKey;
use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::scheduler::CancelAnswer;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::tenant::Caller;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::host::PoolHost;
use crate::message::MAX_COUNT_AGE_MS;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::metrics::ProcessMetrics;
use crate::node::OTHER_TENANT;

/// Longest wait for the store before the caller is told that the outcome is
/// uncertain.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for pending commits when the pool is released.
const PENDING_COMMITS_TIMEOUT: Duration = Duration::from_millis(300);

impl PoolHost {
    /// Handles a request to the owner of the pool.
    pub(crate) async fn handle_request(self: &Rc<Self>, request: PoolRequest) -> PoolResponse {
        match request {
            PoolRequest::Submit { job, record } => self.submit(job, *record).await,
            PoolRequest::Cancel { job, caller } => {
                if !self.may_access(job, &caller) {
                    return PoolResponse::UnknownJob;
                }
                self.cancel(job).await
            }
            PoolRequest::Status { job, caller } => {
                if !self.may_access(job, &caller) {
                    return PoolResponse::UnknownJob;
                }
                let status = self.scheduler.borrow().status(job);
                status.map_or(PoolResponse::UnknownJob, PoolResponse::Status)
            }
            PoolRequest::Waiting { queue } => self.waiting(&queue),
        }
    }

    /// Whether a caller may see a job; also if the job is unknown.
    fn may_access(&self, job: JobId, caller: &Caller) -> bool {
        let scheduler = self.scheduler.borrow();
        let Some(record) = scheduler.job_record(job) else {
            return true;
        };
        let allowed = caller.may_access(record.tenant.as_deref());
        if !allowed {
            self.node
                .call_refused(OTHER_TENANT, &job.to_string(), &record.queue);
        }
        allowed
    }

    fn waiting(&self, queue: &str) -> PoolResponse {
        let age_ms = self.view_age_ms();
        if age_ms > MAX_COUNT_AGE_MS {
            return PoolResponse::Outdated { age_ms };
        }
        PoolResponse::Waiting(self.scheduler.borrow().waiting(queue))
    }

    async fn submit(self: &Rc<Self>, id: JobId, record: JobRecord) -> PoolResponse {
        let Ok(spec) = JobSpec::try_from(record.job.clone()) else {
            return PoolResponse::UnknownJob;
        };
        let tenant = record.tenant.clone().map(Caller::Tenant);
        if !self.may_access(id, &tenant.unwrap_or_default()) {
            return PoolResponse::UnknownJob;
        }
        let queue = record.queue.clone();
        let tenant = record.tenant.clone();
        let answer = self.apply(|scheduler, now| scheduler.submit(id, record, spec, now));
        match answer {
            SubmitAnswer::Accepted => PoolResponse::Accepted,
            SubmitAnswer::Moved => PoolResponse::Uncertain,
            SubmitAnswer::Storing => {
                if self.scheduler.borrow().is_overloaded(crate::clock::now()) {
                    self.node.report_load();
                }
                self.wait_for_store(InboxKey::Submit(id)).await
            }
            SubmitAnswer::Rejected { retry_after_ms } => {
                self.node.report_load();
                let mut scheduler = self.scheduler.borrow_mut();
                let load = scheduler.recent_load(crate::clock::now());
                let verdict = scheduler.last_verdict().copied().unwrap_or_default();
                let reason = verdict.refused.map_or("unknown", RefusalReason::name);
                ProcessMetrics::count(&self.node.metrics.job_refusals, reason);
                info!(self.log, "Job rejected."; "job" => %id, "queue" => queue,
                    "tenant" => tenant, "reason" => reason,
                    "wait_ms" => verdict.wait_ms, "allowed_ms" => verdict.allowed_ms,
                    "share_class" => ?verdict.class,
                    "pool_wait_ms" => load.wait_ms(), "backlog_core_ms" => load.backlog_core_ms,
                    "capacity_millicores" => load.capacity_millicores,
                    "promised_returns" => scheduler.promised_returns(),
                    "retry_after_ms" => retry_after_ms);
                PoolResponse::Refused { retry_after_ms }
            }
        }
    }

    async fn cancel(self: &Rc<Self>, id: JobId) -> PoolResponse {
        match self.apply(|scheduler, now| scheduler.cancel(id, now)) {
            CancelAnswer::Done => PoolResponse::Cancelled,
            CancelAnswer::Unknown => PoolResponse::UnknownJob,
            CancelAnswer::Storing => match self.wait_for_store(InboxKey::Cancel(id)).await {
                PoolResponse::Uncertain => PoolResponse::Uncertain,
                _ => PoolResponse::Cancelled,
            },
        }
    }

    async fn wait_for_store(&self, request: InboxKey) -> PoolResponse {
        let (sender, receiver) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .entry(request)
            .or_default()
            .push(sender);
        match timeout(STORE_TIMEOUT, receiver).await {
            Ok(Ok(response)) => response,
            _ => PoolResponse::Uncertain,
        }
    }

    /// Waits until no caller waits for a commit, at most [`PENDING_COMMITS_TIMEOUT`].
    pub(crate) async fn wait_for_pending_commits(&self) {
        let pause = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while !self.waiters.borrow().is_empty() && waited < PENDING_COMMITS_TIMEOUT {
            tokio::time::sleep(pause).await;
            waited += pause;
        }
    }
}
