use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::InboxOutcome;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::tenant::Caller;
use cornelpoint_platform::callers;
use slog::info;

use super::callers::rejection;
use super::job_place::Found;
use super::job_place::JobPlace;
use super::peers::is_owner_slow;
use super::peers::request_owner;
use crate::clock;
use crate::http::CallError;
use crate::http::Reply;
use crate::http::reply;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::store::encode;

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
        advice: queue.advice,
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
        InboxOutcome::Withdrawn(Withdrawal::Cancelled) => reply(410, ""),
        InboxOutcome::Uncertain => {
            let now_ms = clock::now().steady_ms;
            node.uncertain_jobs.borrow_mut().insert(job, now_ms);
            reply(504, "")
        }
        // Another pool has the job, or may accept it.
        InboxOutcome::Withdrawn(Withdrawal::Moved)
        | InboxOutcome::Refused
        | InboxOutcome::JobExists => reply(504, ""),
    }
}

/// Answers a request that repeats the submission of a job whose route has led elsewhere;
/// `None` if no such pool has the job.
pub(super) async fn repeat(
    node: &Rc<Node>,
    place: &JobPlace<'_>,
    caller: &Caller,
    timeout: Duration,
) -> Option<Reply> {
    let pools = place.former_pools();
    let found = place.find(node, pools, &Caller::Unchecked, timeout).await;
    match found {
        Found::At { pool, .. } => {
            info!(node.edge_log, "Repeated job is in the pool of an earlier route.";
                "job" => %place.job, "pool" => &pool);
            let visible = place.find(node, &[pool], caller, timeout).await;
            Some(match visible {
                Found::At { .. } => reply(200, ""),
                // The identifier is that of another tenant's job.
                Found::Nowhere => reply(410, ""),
                Found::Unknown => reply(504, ""),
            })
        }
        Found::Nowhere => withdraw_from_former_pools(node, place).await,
        Found::Unknown => Some(reply(504, "")),
    }
}

/// Keeps the pools of earlier routes from accepting a job: a submission to one of them may
/// still be under way. Returns an answer unless the job may now be accepted elsewhere.
async fn withdraw_from_former_pools(node: &Rc<Node>, place: &JobPlace<'_>) -> Option<Reply> {
    for pool in place.former_pools() {
        let writer = node.inbox_writer(pool);
        let value = Withdrawal::Moved.value().to_vec();
        let stored = writer.store(node, InboxKey::Withdraw(place.job), value);
        match stored.await {
            InboxOutcome::Stored => {}
            InboxOutcome::JobExists => return Some(reply(200, "")),
            InboxOutcome::Refused | InboxOutcome::Uncertain | InboxOutcome::Withdrawn(_) => {
                return Some(reply(504, ""));
            }
        }
    }
    None
}

/// Returns a job's status from its owner, or else from the store.
pub(super) async fn status(
    node: &Rc<Node>,
    place: &JobPlace<'_>,
    caller: &Caller,
    timeout: Duration,
) -> Reply {
    match place.find(node, &place.pools, caller, timeout).await {
        Found::At { status, .. } => reply(200, callers::status_body(status)),
        Found::Nowhere if node.is_uncertain(place.job) => rejection(503, ISOLATED_RETRY_S),
        Found::Nowhere if place.queue.is_none() => reply(404, ""),
        Found::Nowhere => reply(410, ""),
        Found::Unknown => rejection(503, ISOLATED_RETRY_S),
    }
}

/// Cancels a job through its pool's owner; stores the cancellation in the
/// owner's inbox if the owner can't be reached or does not know the job.
pub(super) async fn cancel(
    node: &Rc<Node>,
    place: &JobPlace<'_>,
    caller: &Caller,
    timeout: Duration,
) -> Reply {
    let job = place.job;
    for pool in &place.pools {
        let request = PoolRequest::Cancel {
            job,
            caller: caller.clone(),
        };
        let limit = timeout.min(OWNER_STORE_TIMEOUT);
        match request_owner(node, pool, request, limit).await {
            Ok(PoolResponse::Cancelled | PoolResponse::Status(_)) => return reply(200, ""),
            Ok(PoolResponse::UnknownJob) => {}
            Ok(_) => return reply(504, ""),
            Err(error) => info!(node.edge_log, "Owner unreachable; cancelling through its inbox.";
                "job" => %job, "pool" => pool, "error" => %error),
        }
    }
    let pool = match place.find_stored(node, &place.pools, caller).await {
        Found::At { status, .. } if status.is_final() => return reply(200, ""),
        Found::At { pool, .. } => pool,
        Found::Nowhere => return withdraw(node, place, caller).await,
        Found::Unknown => return rejection(503, STORE_UNAVAILABLE_RETRY_S),
    };
    let writer = node.inbox_writer(&pool);
    let stored = writer.store(node, InboxKey::Cancel(job), Vec::new());
    cancelled(stored.await, 200)
}

/// Answers the cancellation of a job that the caller can't see. One that is unknown has to
/// stay so: a write of its submission may still be done.
async fn withdraw(node: &Rc<Node>, place: &JobPlace<'_>, caller: &Caller) -> Reply {
    if !caller.is_unchecked() {
        let everyone = Caller::Unchecked;
        match place.find_stored(node, &place.pools, &everyone).await {
            Found::At { .. } => return reply(410, ""),
            Found::Nowhere => {}
            Found::Unknown => return rejection(503, STORE_UNAVAILABLE_RETRY_S),
        }
    }
    for pool in &place.pools {
        let writer = node.inbox_writer(pool);
        let value = Withdrawal::Cancelled.value().to_vec();
        let outcome = writer.store(node, InboxKey::Withdraw(place.job), value);
        let outcome = outcome.await;
        if outcome != InboxOutcome::Stored {
            return cancelled(outcome, 410);
        }
    }
    reply(410, "")
}

/// Returns the answer to a cancellation, with this status if it is stored.
fn cancelled(outcome: InboxOutcome, status: u16) -> Reply {
    match outcome {
        InboxOutcome::Stored => reply(status, ""),
        InboxOutcome::Refused => rejection(503, STORE_UNAVAILABLE_RETRY_S),
        // The job has been submitted meanwhile, or the write may be done later.
        InboxOutcome::Uncertain | InboxOutcome::Withdrawn(_) | InboxOutcome::JobExists => {
            reply(504, "")
        }
    }
}
