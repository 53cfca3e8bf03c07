//! Metrics that gateways and keepers send.

use cornelpoint::request::Method;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_standin::caller::call;
use cornelpoint_standin::endpoint::EndpointFault;
use cornelpoint_standin::relay::RelayFaults;

use super::LONG_DEADLINES_MS;
use super::SHORT_DEADLINES_MS;
use super::is_answered;
use super::order;
use super::seed;
use super::support::Fleet;
use super::support::MetricsServer;
use super::support::PLATFORM_RELAY;

/// Metrics of a fleet that answered a request with an idempotency key and
/// refused another request.
const SENT_METRICS: [&str; 17] = [
    "gateway.caller.connections|g",
    "gateway.claim.time|ms",
    "gateway.claim.written|c",
    "gateway.configuration.generation|g",
    "gateway.endpoint.time|ms",
    "gateway.endpoint.usable|g",
    "gateway.platform.time|ms",
    "gateway.request.answered|c",
    "gateway.request.received|c",
    "gateway.request.refused|c|#reason:unknown-service",
    "gateway.request.running|g",
    "gateway.request.time|ms",
    "gateway.request.waiting|g",
    "gateway.request.waiting_bytes|g",
    "gateway.slot.held|g",
    "keeper.configuration.generation|g",
    "keeper.keeper.members|g",
];

/// Metrics of a fleet in which endpoints and the platform fail.
const FAILURE_METRICS: [&str; 5] = [
    "gateway.claim.failed|c",
    "gateway.platform.failed|c",
    "gateway.request.refused|c|#reason:claim-unavailable",
    "gateway.request.unknown|c|#reason:answer-cut",
    "keeper.platform.failed|c",
];

#[test]
fn gateways_and_keepers_send_their_metrics() {
    let server = MetricsServer::start();
    let fleet = Fleet::start_with_metrics(seed(), Some(server.address()));
    let mut request = order(0, fleet.gateway_addresses()[0], Method::Post);
    request.deadline_ms = Some(LONG_DEADLINES_MS.start);
    request.idempotency_key = Some(request.request.clone());
    assert!(is_answered(&call(&fleet.recorder, &request)));
    request.path = "/unheard-of/orders".to_owned();
    request.idempotency_key = None;
    call(&fleet.recorder, &request);
    server.wait_for(&SENT_METRICS);
    drop(fleet.finish());
}

#[test]
fn failures_are_counted_in_metrics() {
    let server = MetricsServer::start();
    let mut fleet = Fleet::start_with_metrics(seed(), Some(server.address()));
    fleet.set_fault_on_all_endpoints(&EndpointFault::CloseAfterRun);
    let mut request = order(0, fleet.gateway_addresses()[0], Method::Post);
    request.deadline_ms = Some(LONG_DEADLINES_MS.start);
    call(&fleet.recorder, &request);
    let platform = &fleet.targets.relays[PLATFORM_RELAY];
    platform.set_faults(RelayFaults {
        refuse: true,
        ..RelayFaults::default()
    });
    platform.close_connections();
    request.deadline_ms = Some(SHORT_DEADLINES_MS.end);
    request.idempotency_key = Some(request.request.clone());
    call(&fleet.recorder, &request);
    server.wait_for(&FAILURE_METRICS);
    fleet.keepers.drain(..).for_each(Keeper::kill);
    server.wait_for(&["gateway.keeper.failed|c"]);
    drop(fleet.finish());
}
