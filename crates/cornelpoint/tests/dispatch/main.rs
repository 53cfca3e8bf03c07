//! Tests of the dispatcher with a real slot holder in virtual time. They feed in
//! requests and the results of sends, and check the resulting actions.

mod gateway;

use cornelpoint::request::Refusal;
use cornelpoint::retry::SendResult;

use self::gateway::Gateway;

const ANSWERED: SendResult = SendResult::Answered { status: 200 };
const FAILED: SendResult = SendResult::Answered { status: 500 };

#[test]
fn a_request_runs_in_a_lent_slot_and_gets_its_answer() {
    let mut gateway = Gateway::new(&["quoting-1"]);
    gateway.enqueue(1, 1_000, true);
    gateway.advance_ms(10);
    assert_eq!(gateway.sent(), [(1, "quoting-1")]);
    gateway.complete(1, ANSWERED);
    assert_eq!(gateway.answered(), [1]);
}

#[test]
fn waiting_requests_are_sent_by_earliest_deadline() {
    let mut gateway = Gateway::new(&["quoting-1"]);
    gateway.fill(8, 2_000);
    for (id, deadline_ms) in [(21, 900), (22, 500), (23, 700)] {
        gateway.enqueue(id, deadline_ms, true);
    }
    for id in 1..=8 {
        gateway.complete(id, ANSWERED);
    }
    gateway.advance_ms(10);
    let order: Vec<u64> = gateway.sent().iter().skip(8).map(|(id, _)| *id).collect();
    assert_eq!(order, [22, 23, 21]);
}

#[test]
fn requests_do_not_wait_for_slots_of_an_ejected_endpoint() {
    let mut gateway = Gateway::new(&["quoting-1", "quoting-2", "quoting-3", "quoting-4"]);
    gateway.fail_until_avoided("quoting-1");
    let before = gateway.sent().len();
    for id in 1_000..1_024 {
        gateway.enqueue(id, 60_000, false);
    }
    gateway.advance_ms(200);
    let sent: Vec<(u64, &str)> = gateway.sent().split_off(before);
    assert_eq!(sent.len(), 24, "every slot of the other endpoints is used");
    assert!(sent.iter().all(|(_, endpoint)| *endpoint != "quoting-1"));
}

#[test]
fn requests_are_not_rejected_while_the_holder_is_unresponsive() {
    let mut gateway = Gateway::new(&["quoting-1", "quoting-2"]);
    gateway.serve(64, 200);
    gateway.make_holder_unresponsive(300);
    for id in 2_000..2_030 {
        gateway.enqueue(id, 1_000, true);
        gateway.advance_ms(10);
    }
    assert_eq!(gateway.rejected(), []);
}

#[test]
fn an_idempotent_request_is_retried_at_another_endpoint() {
    let mut gateway = Gateway::new(&["quoting-1", "quoting-2"]);
    gateway.serve(20, 10);
    let before = gateway.sent().len();
    gateway.enqueue(500, 1_000, true);
    gateway.advance_ms(10);
    gateway.complete(500, SendResult::Broken);
    gateway.advance_ms(10);
    let tries: Vec<&str> = gateway
        .sent()
        .iter()
        .skip(before)
        .map(|(_, endpoint)| *endpoint)
        .collect();
    assert_eq!(tries.len(), 2);
    assert_ne!(tries.first(), tries.last());
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let mut gateway = Gateway::new(&["quoting-1", "quoting-2"]);
    gateway.enqueue(1, 1_000, false);
    gateway.advance_ms(10);
    gateway.complete(1, SendResult::Broken);
    gateway.advance_ms(10);
    assert_eq!(gateway.sent().len(), 1);
    assert_eq!(gateway.rejected(), [(1, Refusal::AnswerCut)]);
}

#[test]
fn a_server_error_for_a_non_idempotent_request_is_returned() {
    let mut gateway = Gateway::new(&["quoting-1"]);
    gateway.enqueue(1, 1_000, false);
    gateway.advance_ms(10);
    gateway.complete(1, FAILED);
    assert_eq!(gateway.answered(), [1]);
}

#[test]
fn a_leaving_endpoint_gets_no_more_requests() {
    let mut gateway = Gateway::new(&["quoting-1", "quoting-2"]);
    gateway.serve(16, 10);
    gateway.announce_leaving("quoting-1");
    let before = gateway.sent().len();
    gateway.serve(32, 10);
    let endpoints: Vec<&str> = gateway
        .sent()
        .iter()
        .skip(before)
        .map(|(_, endpoint)| *endpoint)
        .collect();
    assert!(endpoints.iter().all(|endpoint| *endpoint == "quoting-2"));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected_as_not_run() {
    let mut gateway = Gateway::new(&["quoting-1"]);
    gateway.fill(8, 5_000);
    gateway.enqueue(50, 100, true);
    gateway.advance_ms(150);
    assert_eq!(gateway.rejected(), [(50, Refusal::DeadlineTooNear)]);
}
