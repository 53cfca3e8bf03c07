use std::rc::Rc;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use hyper::Request;
use hyper::body::Incoming;

use crate::clock;
use crate::http::CallError;
use crate::http::Reply;
use crate::http::read_body;
use crate::http::reply;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::store::decode;
use crate::store::encode;

/// Largest body of a peer's request: a job and its envelope.
const MAX_MESSAGE_BYTES: usize = 1_048_576;
const PATH_PREFIX: &str = "/pool/";
/// Path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles a peer's request to the owner of a pool, or for the metrics.
pub(crate) async fn handle_peer(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == METRICS_PATH {
        node.record_tenants();
        return reply(200, node.metrics.text());
    }
    let Some(pool) = path.strip_prefix(PATH_PREFIX) else {
        return reply(404, "");
    };
    let Some(body) = read_body(request.into_body(), MAX_MESSAGE_BYTES).await else {
        return reply(400, "");
    };
    let Some(message) = decode::<PoolRequest>(&body) else {
        return reply(400, "");
    };
    let response = match node.host(pool) {
        Some(host) => host.handle_request(message).await,
        None => PoolResponse::NotOwner,
    };
    reply(200, encode(&response))
}

/// Whether the owner of a pool has answered this process lately, so that a request
/// without an answer shows that it is slow.
pub(super) fn is_owner_slow(node: &Rc<Node>, pool: &str) -> bool {
    let planner = node.planner.borrow();
    let Some((owner, _)) = planner.owner(pool) else {
        return false;
    };
    let now_ms = clock::now().steady_ms;
    let contacts = node.owner_contacts.borrow();
    let contact = contacts.get(&owner.address);
    contact.is_some_and(|contact| contact.is_slow(now_ms))
}

/// Sends a request to a pool's owner, in this process or another one.
pub(super) async fn request_owner(
    node: &Rc<Node>,
    pool: &str,
    request: PoolRequest,
    timeout: Duration,
) -> Result<PoolResponse, CallError> {
    if let Some(host) = node.host(pool) {
        return Ok(host.handle_request(request).await);
    }
    let address = {
        let planner = node.planner.borrow();
        let now_ms = clock::now().steady_ms;
        let owner = planner.owner(pool);
        // Waiting for an unresponsive owner would only use up the caller's
        // deadline.
        let owner =
            owner.filter(|(row, _)| !row.released && planner.is_responsive(&row.node, now_ms));
        owner.map(|(row, _)| row.address.clone())
    };
    let Some(address) = address.filter(|address| *address != node.address) else {
        return Err(CallError::NotSent);
    };
    let call = Call {
        method: Method::Post,
        path: format!("{PATH_PREFIX}{pool}"),
        headers: Vec::new(),
        body: encode(&request),
    };
    let answer = node.peer(&address).send(&call, timeout).await?;
    node.owner_contacts
        .borrow_mut()
        .entry(address)
        .or_default()
        .record_answer(clock::now().steady_ms);
    match decode(&answer.body) {
        Some(PoolResponse::NotOwner) => Err(CallError::NotSent),
        Some(response) => Ok(response),
        None => Err(CallError::NoAnswer),
    }
}
