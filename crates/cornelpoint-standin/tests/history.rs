//! Violations that the checker finds, or must not find, in small histories.

mod history_builder;

use cornelpoint::request::Method;
use cornelpoint::request::RunState;
use cornelpoint_standin::history::Limits;
use cornelpoint_standin::history::check;
use expect_test::Expect;
use expect_test::expect;

use self::history_builder::HistoryBuilder;

fn check_history(builder: &HistoryBuilder, expected: &Expect) {
    let violations: Vec<_> = check(&builder.history, Limits::default())
        .iter()
        .map(ToString::to_string)
        .collect();
    expected.assert_eq(&violations.join("\n"));
}

/// A history of one order that ran once and was answered.
fn good() -> HistoryBuilder {
    let mut builder = HistoryBuilder::default();
    let call = builder.call("order-1", None, Method::Post, 0);
    builder.run("order-1", "quoting-1", 10, Some(20));
    builder.answer(call, "order-1", 30);
    builder
}

#[test]
fn a_good_history_passes() {
    check_history(&good(), &expect![""]);
}

#[test]
fn an_idempotent_request_may_run_twice() {
    let mut builder = HistoryBuilder::default();
    let call = builder.call("quote-1", None, Method::Get, 0);
    builder.run("quote-1", "quoting-2", 5, Some(8));
    builder.run("quote-1", "quoting-1", 10, Some(20));
    builder.answer(call, "quote-1", 30);
    check_history(&builder, &expect![""]);
}

#[test]
fn a_correct_rejection_and_an_unknown_outcome_pass() {
    let mut builder = good();
    let call = builder.call("order-2", None, Method::Post, 0);
    builder.refuse(call, RunState::No, 30);
    let call = builder.call("order-3", None, Method::Post, 0);
    builder.run("order-3", "quoting-2", 10, Some(20));
    builder.refuse(call, RunState::Unknown, 30);
    check_history(&builder, &expect![""]);
}

#[test]
fn a_keyed_repeat_gets_the_first_answer() {
    let mut builder = HistoryBuilder::default();
    let first = builder.call("order-1", Some("key-1"), Method::Post, 0);
    builder.run("order-1", "quoting-1", 10, Some(20));
    builder.lose(first, 30);
    let second = builder.call("order-1", Some("key-1"), Method::Post, 40);
    builder.answer(second, "order-1", 50);
    check_history(&builder, &expect![""]);
}

#[test]
fn a_rejected_repeat_does_not_apply_to_the_first_call() {
    let mut builder = good();
    let repeat = builder.call("order-1", None, Method::Post, 5);
    builder.refuse(repeat, RunState::No, 30);
    check_history(&builder, &expect![""]);
}

#[test]
fn finds_a_second_run() {
    let mut builder = good();
    builder.run("order-1", "quoting-2", 11, Some(21));
    check_history(
        &builder,
        &expect!["expected order-1 to run at most once, found 2 runs"],
    );
}

#[test]
fn finds_a_second_run_of_a_keyed_repeat() {
    let mut builder = HistoryBuilder::default();
    for request in ["order-1", "order-1-again"] {
        let call = builder.call(request, Some("key-1"), Method::Post, 0);
        builder.run(request, "quoting-1", 10, Some(20));
        builder.answer(call, request, 30);
    }
    check_history(
        &builder,
        &expect![[r"
            expected key-1 to run at most once, found 2 runs
            expected one answer to key-1, found different ones"]],
    );
}

#[test]
fn finds_a_false_rejection() {
    let mut builder = HistoryBuilder::default();
    let call = builder.call("order-1", None, Method::Post, 0);
    builder.refuse(call, RunState::No, 5);
    builder.run("order-1", "quoting-1", 10, Some(20));
    check_history(
        &builder,
        &expect!["expected no run for call 1, rejected as not run, found one at quoting-1"],
    );
}

#[test]
fn finds_an_answer_without_a_run() {
    let mut builder = HistoryBuilder::default();
    let call = builder.call("order-1", None, Method::Post, 0);
    builder.answer_bytes(call, b"done", 30);
    check_history(
        &builder,
        &expect![[r"
            expected a run for call 1, found none
            expected the complete answer to its own request for call 1, found another"]],
    );
}

#[test]
fn finds_the_answer_of_another_request() {
    let mut builder = good();
    let call = builder.call("order-2", None, Method::Post, 0);
    builder.run("order-2", "quoting-2", 10, Some(20));
    builder.answer(call, "order-1", 30);
    check_history(
        &builder,
        &expect!["expected the complete answer to its own request for call 2, found another"],
    );
}

#[test]
fn finds_a_truncated_answer() {
    let mut builder = HistoryBuilder::default();
    let call = builder.call_for_size("order-1", 100);
    builder.run("order-1", "quoting-1", 10, Some(20));
    builder.answer_pattern(call, "order-1", 99, 30);
    check_history(
        &builder,
        &expect!["expected the complete answer to its own request for call 1, found another"],
    );
}

#[test]
fn finds_a_call_without_a_completion() {
    let mut builder = HistoryBuilder::default();
    builder.call("order-1", None, Method::Post, 0);
    check_history(
        &builder,
        &expect!["expected call 1 to complete, found no completion"],
    );
}

#[test]
fn finds_endpoints_over_their_limits() {
    let mut builder = good();
    builder.endpoint("quoting-1", 8, 0);
    builder.endpoint("quoting-2", 9, 0);
    builder.endpoint("quoting-3", 8, 2);
    check_history(
        &builder,
        &expect![[r"
            expected no request over the slots of quoting-2, found 9 running at once
            expected no connection over the limit of quoting-3, found 2"]],
    );
}

#[test]
fn finds_a_new_run_at_a_leaving_endpoint() {
    let mut builder = HistoryBuilder::default();
    builder.leave("quoting-1", 1000, Some(9000));
    for started_ms in [500, 2900, 3500, 9500] {
        let request = format!("order-{started_ms}");
        let call = builder.call(&request, None, Method::Post, started_ms);
        builder.run(&request, "quoting-1", started_ms, Some(started_ms + 1));
        builder.answer(call, &request, started_ms + 2);
    }
    check_history(
        &builder,
        &expect!["expected no new run at quoting-1, found run 3 2500 ms after the leaving notice"],
    );
}

#[test]
fn finds_a_request_aborted_by_a_stopping_gateway() {
    let mut builder = HistoryBuilder::default();
    for started_ms in [0, 50, 200] {
        let request = format!("order-{started_ms}");
        let call = builder.call(&request, None, Method::Post, started_ms);
        builder.lose(call, started_ms + 60);
    }
    builder.stop("gateway-1", 100);
    check_history(
        &builder,
        &expect!["expected call 2 to complete during the stop of gateway-1, found it aborted"],
    );
}

#[test]
fn finds_a_request_aborted_by_a_stopping_endpoint() {
    let mut builder = HistoryBuilder::default();
    let call = builder.call("order-1", None, Method::Post, 0);
    builder.run("order-1", "quoting-1", 10, None);
    builder.refuse(call, RunState::Unknown, 100);
    builder.stop("quoting-1", 50);
    check_history(
        &builder,
        &expect!["expected call 1 to complete during the stop of quoting-1, found it aborted"],
    );
}

#[test]
fn finds_a_generation_that_goes_back() {
    let mut builder = good();
    for (process, generation) in [("gateway-1", 3), ("keeper-1", 4), ("gateway-1", 2)] {
        builder.generation(process, generation);
    }
    check_history(
        &builder,
        &expect!["expected gateway-1 to stay at generation 3 or above, found 2"],
    );
}
