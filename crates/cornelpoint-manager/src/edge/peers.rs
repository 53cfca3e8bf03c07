use std::rc::Rc;
use std::time::Duration;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use hyper::Request;
use hyper::body::Incoming;

use crate::clock;
use crate::http::CallError;
use crate::http::Port;
use crate::http::Reply;
use crate::http::reply;
use crate::message::ConfigurationRequest;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::store::decode;
use crate::store::encode;

/// Largest body of a peer's request: a job and its envelope.
const MAX_MESSAGE_BYTES: usize = 1_048_576;
/// Status of a request that its receiver had no room to read, and has not carried out.
const NO_ROOM_STATUS: u16 = 503;
const PATH_PREFIX: &str = "/pool/";
/// Path at which peers ask for a confirmation of the configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";
/// Path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles a peer's request to the owner of a pool, for a confirmation of the configuration,
/// or for the metrics.
pub(crate) async fn handle_peer(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == METRICS_PATH {
        for port in Port::ALL {
            let held = node.servers.held(port);
            node.metrics
                .connections_held(port.label(), held.connections, held.bytes);
        }
        node.record_tenants();
        return reply(200, node.metrics.text());
    }
    let pool = path.strip_prefix(PATH_PREFIX);
    if pool.is_none() && path != CONFIGURATION_PATH {
        return reply(404, "");
    }
    let body = match node.servers.read_body(request, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(error) => return error.reply(),
    };
    let Some(pool) = pool else {
        let request = decode::<ConfigurationRequest>(&body);
        return request.map_or_else(
            || reply(400, ""),
            |request| reply(200, encode(&node.answer_configuration(&request))),
        );
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
    if answer.status == NO_ROOM_STATUS {
        return Err(CallError::Busy);
    }
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
