use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::catalog::Catalog;
use cornelpoint::catalog::Queue;
use cornelpoint::job::JobError;
use cornelpoint::job::JobId;
use cornelpoint_platform::callers;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use slog::info;

use super::job_place::JobPlace;
use super::jobs;
use super::keys::CallHead;
use super::keys::refusal_reply;
use super::peers::request_owner;
use crate::clock;
use crate::http::CallError;
use crate::http::Reply;
use crate::http::reply;
use crate::message::MAX_COUNT_AGE_MS;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::metrics::ProcessMetrics;
use crate::node::Node;

/// Timeout of a request to the owner for the count.
const COUNT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait until the target of a route is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// `Retry-After` while it can't be recorded; another process may be able to.
const UNRECORDED_ROUTE_RETRY_S: u64 = 1;
/// Longest time to answer a request whose queue the configuration no longer has.
const FORMER_QUEUE_TIMEOUT_MS: u64 = 3000;
/// `Retry-After` while no configuration has been read yet.
const NO_CATALOG_RETRY_S: u64 = 1;

/// An answer to a request for a waiting count, and what it is based on.
struct WaitingCount {
    /// `None` if no current count is available.
    count: Option<usize>,
    source: &'static str,
    /// Fencing token of the owner that counted or was asked.
    fencing_token: Option<u64>,
    /// Time since the store confirmed the view behind a heartbeat's count, or
    /// since the owner was asked.
    age_ms: Option<u64>,
    /// Why the owner returned no count.
    error: &'static str,
}

/// Reports to the load balancer whether this process accepts connections.
pub(crate) async fn handle_balancer(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != callers::READY_PATH {
        return reply(404, "");
    }
    let started = node.catalog().is_some() && node.confirmed_ms.get() > 0;
    let ready = started && !node.leaving.get() && !node.is_isolated();
    reply(if ready { 200 } else { 503 }, "")
}

/// Handles a caller's request: submit, query or cancel a job, or count the
/// waiting jobs of a queue.
pub(crate) async fn handle_caller(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let Some(catalog) = node.catalog() else {
        return rejection(503, NO_CATALOG_RETRY_S);
    };
    let head = CallHead::of(&request);
    let queue = catalog.queue_of(&head.host, &head.path);
    let place = JobPlace::of(&node, &catalog, &head);
    if queue.is_none() && place.is_none() {
        return reply(404, "");
    }
    let rest = queue.map_or(head.path.as_str(), |queue| {
        &head.path[queue.path_prefix.len()..]
    });
    let caller = match head.check(&node, rest) {
        Ok(caller) => caller,
        Err(refusal) => return refusal_reply(refusal),
    };
    let deadline_ms = request
        .headers()
        .get(callers::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let limit_ms = queue.map_or(FORMER_QUEUE_TIMEOUT_MS, |queue| queue.timeout_ms);
    let deadline_ms: u64 = deadline_ms.unwrap_or(limit_ms);
    let timeout = Duration::from_millis(deadline_ms.min(limit_ms.max(1)));
    let method = request.method().clone();
    if let Some(queue) = queue
        && rest.is_empty()
    {
        return match method {
            Method::GET => waiting_count(&node, queue).await,
            _ => reply(405, ""),
        };
    }
    let Some(place) = place else {
        return match method {
            Method::POST => reply(400, JobError::Id.to_string()),
            Method::GET | Method::DELETE => reply(410, ""),
            _ => reply(405, ""),
        };
    };
    match method {
        Method::POST => submit(node, &catalog, request, &head, timeout).await,
        Method::GET => jobs::status(&node, &place, &caller, timeout).await,
        Method::DELETE => jobs::cancel(&node, &place, &caller, timeout).await,
        _ => reply(405, ""),
    }
}

/// Handles a submission, which may repeat one that an earlier configuration sent elsewhere.
async fn submit(
    node: Rc<Node>,
    catalog: &Catalog,
    request: Request<Incoming>,
    head: &CallHead,
    timeout: Duration,
) -> Reply {
    let max_bytes = catalog.limits.max_body_bytes;
    let body = match node.servers.read_body(request, max_bytes).await {
        Ok(body) => body,
        Err(error) => return error.reply(),
    };
    // The body may have taken seconds, in which the configuration may have changed.
    let Some(catalog) = node.catalog() else {
        return rejection(503, NO_CATALOG_RETRY_S);
    };
    let queue = catalog.queue_of(&head.host, &head.path);
    let rest = queue.map_or("", |queue| &head.path[queue.path_prefix.len()..]);
    let caller = match head.check(&node, rest) {
        Ok(caller) => caller,
        Err(refusal) => return refusal_reply(refusal),
    };
    let started = Instant::now();
    let answer = async {
        if let Some(queue) = queue
            && !is_route_recorded(&node, queue, timeout).await
        {
            info!(node.edge_log, "Job not submitted: its route can't be recorded.";
                "job" => rest, "queue" => &queue.name);
            return rejection(503, UNRECORDED_ROUTE_RETRY_S);
        }
        let Some(place) = JobPlace::of(&node, &catalog, head) else {
            return reply(404, "");
        };
        if !place.former_pools().is_empty()
            && let Some(answer) = jobs::repeat(&node, &place, &caller, timeout).await
        {
            return answer;
        }
        let Some(queue) = place.queue else {
            return reply(404, "");
        };
        let answer = jobs::submit(&node, queue, place.job, &body, &caller, timeout).await;
        certain(&node, place.job, answer)
    };
    let answer = answer.await;
    record_submission(&node, answer.status().as_u16(), started.elapsed());
    answer
}

/// Replaces the refusal of a job of which an earlier submission may still be written.
fn certain(node: &Node, job: JobId, answer: Reply) -> Reply {
    match answer.status() {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
            if node.is_uncertain(job) =>
        {
            reply(504, "")
        }
        _ => answer,
    }
}

async fn is_route_recorded(node: &Rc<Node>, queue: &Queue, limit: Duration) -> bool {
    let limit = limit.min(RECORD_TIMEOUT);
    let recorded = tokio::time::timeout(limit, node.is_route_recorded(queue));
    recorded.await.unwrap_or(false)
}

fn record_submission(node: &Node, status: u16, took: Duration) {
    let outcome = match status {
        200 => "accepted",
        429 => "turned_away",
        503 => "not_stored",
        504 => "uncertain",
        _ => "malformed",
    };
    ProcessMetrics::count(&node.metrics.submissions, outcome);
    node.metrics.observe_submission(took);
}

/// Builds a rejection with a `Retry-After` header.
pub(super) fn rejection(status: u16, retry_after_s: u64) -> Reply {
    let mut rejected = reply(status, "");
    rejected
        .headers_mut()
        .insert(hyper::header::RETRY_AFTER, retry_after_s.into());
    rejected
}

async fn waiting_count(node: &Rc<Node>, queue: &Queue) -> Reply {
    let mut total = Some(0);
    let catalog = node.catalog();
    for (name, pool) in node.counted_queues(queue) {
        let has_owner = catalog
            .as_ref()
            .is_some_and(|catalog| catalog.pools.contains_key(&pool));
        if pool != queue.pool && !has_owner {
            continue;
        }
        let reported = reported_count(node, &name, &pool);
        let answer = match (node.host(&pool), reported) {
            (None, Some(reported)) => reported,
            _ => owner_count(node, &name, &pool).await,
        };
        total = total.zip(answer.count).map(|(total, count)| total + count);
        node.metrics.record_waiting_count(answer.source);
        info!(node.edge_log, "Waiting count answered."; "queue" => name,
            "pool" => pool, "count" => answer.count, "source" => answer.source,
            "fencing_token" => answer.fencing_token, "age_ms" => answer.age_ms,
            "error" => answer.error);
    }
    match total {
        Some(count) => reply(200, callers::waiting_body(count)),
        None => rejection(503, 1),
    }
}

/// Returns the count in the owner's last heartbeat if it is recent enough.
fn reported_count(node: &Node, queue: &str, pool: &str) -> Option<WaitingCount> {
    let now_ms = clock::now().steady_ms;
    let all = node.pool_statuses.borrow();
    let status = all.get(pool);
    let fresh = status.filter(|status| status.view_confirmed_ms + MAX_COUNT_AGE_MS > now_ms)?;
    let count = fresh.waiting.get(queue).copied()?;
    Some(WaitingCount {
        count: Some(count),
        source: "heartbeat",
        fencing_token: Some(fresh.fencing_token),
        age_ms: Some(now_ms.saturating_sub(fresh.view_confirmed_ms)),
        error: "",
    })
}

/// Requests the count from the owner, in this process or another one.
async fn owner_count(node: &Rc<Node>, queue: &str, pool: &str) -> WaitingCount {
    let requested_ms = clock::now().steady_ms;
    let fencing_token = {
        let planner = node.planner.borrow();
        planner.owner(pool).map(|(row, _)| row.fencing_token)
    };
    let request = PoolRequest::Waiting {
        queue: queue.to_owned(),
    };
    let (count, error) = match request_owner(node, pool, request, COUNT_TIMEOUT).await {
        Ok(PoolResponse::Waiting(count)) => (Some(count), ""),
        Ok(PoolResponse::Outdated { .. }) => (None, "owner's view outdated"),
        Ok(_) => (None, "unexpected response"),
        Err(CallError::NotSent) => (None, "request not sent"),
        Err(CallError::Busy) => (None, "no connection free"),
        Err(CallError::NoAnswer) => (None, "no response"),
    };
    let age_ms = clock::now().steady_ms.saturating_sub(requested_ms);
    WaitingCount {
        count,
        source: if count.is_some() {
            "owner"
        } else {
            "unavailable"
        },
        fencing_token,
        age_ms: count.map(|_| age_ms),
        error,
    }
}
