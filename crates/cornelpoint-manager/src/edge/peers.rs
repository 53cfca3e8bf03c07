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

/// Largest message of a peer: a job and what surrounds it.
const MAX_MESSAGE_BYTES: usize = 1_048_576;
const PATH_PREFIX: &str = "/pool/";
/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";

/// Answers a peer's question about a pool.
pub(crate) async fn handle_peer(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == METRICS_PATH {
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
        Some(host) => host.answer(message).await,
        None => PoolResponse::NotOwner,
    };
    reply(200, encode(&response))
}

/// Asks a pool's owner, here or elsewhere.
pub(super) async fn request_owner(
    node: &Rc<Node>,
    pool: &str,
    request: PoolRequest,
    within: Duration,
) -> Result<PoolResponse, CallError> {
    if let Some(host) = node.host(pool) {
        return Ok(host.answer(request).await);
    }
    let address = {
        let planner = node.planner.borrow();
        let now_ms = clock::now().steady_ms;
        let owner = planner.owner(pool);
        // An owner that is not heard would only cost the caller's time.
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
    let answer = node.peer(&address).send(&call, within).await?;
    match decode(&answer.body) {
        Some(PoolResponse::NotOwner) => Err(CallError::NotSent),
        Some(response) => Ok(response),
        None => Err(CallError::NoAnswer),
    }
}
