use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::InboxOutcome;
use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::tenant::Caller;
use cornelpoint_platform::callers;
use slog::info;

use super::callers::rejection;
use super::peers::is_owner_slow;
use super::peers::request_owner;
use crate::clock;
use crate::http::CallError;
use crate::http::Reply;
use crate::http::reply;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::node::OTHER_TENANT;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::PROGRESS_TABLE;
use crate::store::decode;
use crate::store::encode;

/// Timeout of a request to the owner that needs no write to the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request to the owner that waits for a write to the store.
const OWNER_STORE_TIMEOUT: Duration = Duration::from_millis(1200);
/// `Retry-After` where only this process may be isolated; another one can serve
/// the retry.
const ISOLATED_RETRY_S: u64 = 1;
/// `Retry-After` while the owner answers late: a surge, which passes in seconds.
const SLOW_OWNER_RETRY_S: u64 = 2;
/// `Retry-After` while the store is unavailable; its outages usually last
/// seconds.
const STORE_UNAVAILABLE_RETRY_S: u64 = 2;

/// Submits a job to the pool's owner; stores it in the owner's inbox if the
/// owner can't be reached.
pub(super) async fn submit(
    node: &Rc<Node>,
    queue: &Queue,
    job: JobId,
    body: &[u8],
    caller: &Caller,
    timeout: Duration,
) -> Reply {
    let raw = match callers::parse_job(body) {
        Ok(raw) => raw,
        Err(error) => return reply(400, error.to_string()),
    };
    if let Err(error) = JobSpec::try_from(raw.clone()) {
        info!(node.edge_log, "Malformed job rejected."; "job" => %job, "error" => %error);
        return reply(400, error.to_string());
    }
    let record = JobRecord {
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        accepted_unix_ms: clock::now().unix_ms,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        tenant: caller.tenant().map(str::to_owned),
        job: raw,
    };
    let request = PoolRequest::Submit {
        job,
        record: Box::new(record.clone()),
    };
    let limit = timeout.min(OWNER_STORE_TIMEOUT);
    match request_owner(node, &queue.pool, request, limit).await {
        Ok(PoolResponse::Accepted | PoolResponse::Status(_) | PoolResponse::Cancelled) => {
            reply(200, "")
        }
        Ok(PoolResponse::Refused { retry_after_ms }) => {
            rejection(429, retry_after_ms.div_ceil(1000))
        }
        // The identifier is that of another tenant's job.
        Ok(PoolResponse::UnknownJob) => reply(410, ""),
        Ok(_) => reply(504, ""),
        // The owner may still accept the job.
        Err(CallError::NoAnswer) if is_owner_slow(node, &queue.pool) => {
            info!(node.edge_log, "Owner slow; left the job to it."; "job" => %job,
                "pool" => &queue.pool);
            reply(504, "")
        }
        Err(CallError::Busy) if is_owner_slow(node, &queue.pool) => {
            info!(node.edge_log, "Owner slow; job rejected."; "job" => %job,
                "pool" => &queue.pool);
            rejection(503, SLOW_OWNER_RETRY_S)
        }
        Err(error) => {
            info!(node.edge_log, "Owner unreachable; submitting through its inbox."; "job" => %job,
                "pool" => &queue.pool, "error" => %error);
            store_for_owner(node, job, &record, error).await
        }
    }
}

/// Stores a job in the inbox of an owner that can't be reached.
async fn store_for_owner(
    node: &Rc<Node>,
    job: JobId,
    record: &JobRecord,
    owner_error: CallError,
) -> Reply {
    let not_sent = owner_error != CallError::NoAnswer;
    if not_sent && !node.store.is_available() {
        info!(node.edge_log, "Job not stored: owner and store unreachable."; "job" => %job);
        return rejection(503, ISOLATED_RETRY_S);
    }
    let writer = node.inbox_writer(&record.pool);
    let stored = writer.store(node, InboxKey::Submit(job), encode(record));
    match stored.await {
        InboxOutcome::Stored => reply(200, ""),
        // Unless the request was not sent, the owner may have accepted the job.
        InboxOutcome::Refused if not_sent => {
            info!(node.edge_log, "Job not stored: owner unreachable and write to the store failed.";
                "job" => %job);
            rejection(503, STORE_UNAVAILABLE_RETRY_S)
        }
        InboxOutcome::Refused | InboxOutcome::Uncertain => reply(504, ""),
    }
}

/// Returns a job's status from its owner, or else from the store.
pub(super) async fn status(
    node: &Rc<Node>,
    queue: &Queue,
    job: JobId,
    caller: &Caller,
    timeout: Duration,
) -> Reply {
    let request = PoolRequest::Status {
        job,
        caller: caller.clone(),
    };
    let limit = timeout.min(OWNER_TIMEOUT);
    if let Ok(PoolResponse::Status(status)) = request_owner(node, &queue.pool, request, limit).await
    {
        return reply(200, callers::status_body(status));
    }
    if !node.store.is_available() {
        return rejection(503, ISOLATED_RETRY_S);
    }
    match stored_status(node, queue, job, caller).await {
        Some(Some(status)) => reply(200, callers::status_body(status)),
        Some(None) => reply(410, ""),
        None => rejection(503, 1),
    }
}

/// Reads a job's status from the store; `None` if a read fails, `Some(None)` if
/// the job is not stored or is another tenant's.
async fn stored_status(
    node: &Rc<Node>,
    queue: &Queue,
    job: JobId,
    caller: &Caller,
) -> Option<Option<JobStatus>> {
    let id = job.to_string();
    let progress = node
        .store
        .read_value(PROGRESS_TABLE, &queue.pool, &id)
        .await?;
    let progress = progress.and_then(|value| decode::<JobProgress>(&value));
    if let Some(progress) = progress {
        // A progress doesn't name the tenant.
        if !caller.is_unchecked() {
            let record = node.store.read_value(JOB_TABLE, &queue.pool, &id).await?;
            if !may_access(node, queue, job, caller, record.as_deref()) {
                return Some(None);
            }
        }
        let running = !progress.status.is_final();
        return Some(Some(if running {
            JobStatus::Running
        } else {
            progress.status
        }));
    }
    // The owner moves jobs from its inbox to the job table; in this order one of
    // the reads finds the row.
    let submission = InboxKey::Submit(job).to_string();
    let inbox = node
        .store
        .read_row(INBOX_TABLE, &queue.pool, &submission)
        .await?;
    if let Some(row) = inbox {
        let allowed = may_access(node, queue, job, caller, row.value.as_deref());
        return Some(allowed.then_some(JobStatus::Pending));
    }
    if caller.is_unchecked() {
        let record = node.store.read_row(JOB_TABLE, &queue.pool, &id).await?;
        return Some(record.map(|_| JobStatus::Pending));
    }
    let record = node.store.read_value(JOB_TABLE, &queue.pool, &id).await?;
    let allowed = record.is_some_and(|value| may_access(node, queue, job, caller, Some(&value)));
    Some(allowed.then_some(JobStatus::Pending))
}

/// Whether a caller may see a job with this record. One that can't be decoded, or is no
/// longer stored, shows no tenant and is accessible only where keys aren't checked.
fn may_access(
    node: &Node,
    queue: &Queue,
    job: JobId,
    caller: &Caller,
    record: Option<&[u8]>,
) -> bool {
    if caller.is_unchecked() {
        return true;
    }
    let Some(record) = record.and_then(decode::<JobRecord>) else {
        return false;
    };
    let allowed = caller.may_access(record.tenant.as_deref());
    if !allowed {
        node.call_refused(OTHER_TENANT, &job.to_string(), &queue.name);
    }
    allowed
}

/// Cancels a job through the pool's owner; stores the cancellation in the
/// owner's inbox if the owner can't be reached or does not know the job.
pub(super) async fn cancel(
    node: &Rc<Node>,
    queue: &Queue,
    job: JobId,
    caller: &Caller,
    timeout: Duration,
) -> Reply {
    let request = PoolRequest::Cancel {
        job,
        caller: caller.clone(),
    };
    let limit = timeout.min(OWNER_STORE_TIMEOUT);
    match request_owner(node, &queue.pool, request, limit).await {
        Ok(PoolResponse::Cancelled | PoolResponse::Status(_)) => return reply(200, ""),
        Ok(PoolResponse::UnknownJob) => {}
        Ok(_) => return reply(504, ""),
        Err(error) => info!(node.edge_log, "Owner unreachable; cancelling through its inbox.";
            "job" => %job, "pool" => &queue.pool, "error" => %error),
    }
    match stored_status(node, queue, job, caller).await {
        Some(None) => return reply(410, ""),
        Some(Some(status)) if status.is_final() => return reply(200, ""),
        Some(Some(_)) => {}
        None => return rejection(503, STORE_UNAVAILABLE_RETRY_S),
    }
    let writer = node.inbox_writer(&queue.pool);
    let stored = writer.store(node, InboxKey::Cancel(job), Vec::new());
    match stored.await {
        InboxOutcome::Stored => reply(200, ""),
        InboxOutcome::Refused => rejection(503, STORE_UNAVAILABLE_RETRY_S),
        InboxOutcome::Uncertain => reply(504, ""),
    }
}
