//! Tests of ejection, trials and ejection limits, as scripts against one pool.

mod ejection_pool;

use cornelpoint::ejection::Outcome;
use cornelpoint::platform::InstanceState;
use expect_test::expect;

use self::ejection_pool::PoolScript;

#[test]
fn three_failures_in_a_row_eject_and_one_good_trial_readmits() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    pool.run_all(4, 10);
    pool.finish("e1", Outcome::Failed, 1, 2);
    pool.expect(
        "two failures",
        &expect!["e1 take, e2 take, e3 take, e4 take"],
    );
    pool.finish("e1", Outcome::Failed, 1, 1);
    pool.expect(
        "three failures",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
    pool.advance(1000);
    pool.expect(
        "pause over",
        &expect!["e1 trial, e2 take, e3 take, e4 take"],
    );
    pool.trial("e1", Outcome::Failed, 1);
    pool.advance(1999);
    pool.expect(
        "twice the pause",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
    pool.advance(1);
    pool.trial("e1", Outcome::Succeeded, 10);
    pool.expect("good trial", &expect!["e1 take, e2 take, e3 take, e4 take"]);
    pool.finish("e1", Outcome::Failed, 1, 1);
    pool.expect(
        "on probation",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
}

#[test]
fn one_trial_runs_at_a_time_and_a_hanging_one_fails() {
    let mut pool = PoolScript::new(&["a", "a", "a", "a"]);
    pool.run_all(4, 10);
    pool.finish("e1", Outcome::Failed, 1, 3);
    pool.advance(1000);
    pool.start_trial("e1");
    pool.expect(
        "trial runs",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
    pool.advance(600);
    pool.expect(
        "trial hangs",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
    pool.advance(2000);
    pool.expect(
        "next trial due",
        &expect!["e1 trial, e2 take, e3 take, e4 take"],
    );
}

#[test]
fn a_hanging_endpoint_is_avoided_before_any_deadline_passes() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    pool.run_all(4, 10);
    pool.start("e2", 2);
    pool.advance(500);
    pool.expect("500 ms", &expect!["e1 take, e2 take, e3 take, e4 take"]);
    pool.advance(51);
    pool.expect("551 ms", &expect!["e1 take, e2 avoid, e3 take, e4 take"]);
}

#[test]
fn a_slow_endpoint_is_avoided_and_a_slow_service_is_not() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    pool.run_all(8, 20);
    pool.finish("e3", Outcome::Succeeded, 200, 10);
    pool.expect(
        "10 of 16 slow",
        &expect!["e1 take, e2 take, e3 take, e4 take"],
    );
    pool.finish("e3", Outcome::Succeeded, 200, 1);
    pool.expect(
        "11 of 16 slow",
        &expect!["e1 take, e2 take, e3 avoid, e4 take"],
    );

    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    pool.run_all(8, 20);
    pool.run_all(16, 200);
    pool.expect(
        "all slow",
        &expect!["e1 take, e2 take, e3 take, e4 take; service at fault, 3 of 4"],
    );
}

#[test]
fn a_few_long_requests_do_not_eject() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    for _ in 0..20 {
        pool.run_all(4, 10);
        pool.finish("e1", Outcome::Succeeded, 900, 2);
    }
    pool.start("e1", 3);
    pool.advance(300);
    pool.run_all(2, 10);
    pool.advance(1000);
    pool.expect(
        "long requests run",
        &expect!["e1 take, e2 take, e3 take, e4 take"],
    );
}

#[test]
fn a_time_out_with_too_short_a_deadline_does_not_count() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b"]);
    pool.run_all(4, 10);
    pool.finish("e1", Outcome::TimedOut, 5, 20);
    pool.expect("5 ms", &expect!["e1 take, e2 take, e3 take, e4 take"]);
    pool.finish("e1", Outcome::TimedOut, 100, 3);
    pool.expect("100 ms", &expect!["e1 avoid, e2 take, e3 take, e4 take"]);
}

#[test]
fn no_endpoint_is_ejected_while_most_fail() {
    let mut pool = PoolScript::new(&["a", "a", "b", "b", "c", "c"]);
    pool.run_all(4, 10);
    for name in ["e1", "e2", "e3"] {
        pool.finish(name, Outcome::Failed, 1, 3);
    }
    pool.expect(
        "half fail",
        &expect!["e1 avoid, e2 avoid, e3 avoid, e4 take, e5 take, e6 take"],
    );
    pool.finish("e4", Outcome::Failed, 1, 3);
    pool.expect(
        "most fail",
        &expect!["e1 take, e2 take, e3 take, e4 take, e5 take, e6 take; service at fault, 4 of 6"],
    );
    pool.run_all(3, 10);
    pool.expect(
        "recovered",
        &expect!["e1 take, e2 take, e3 take, e4 take, e5 take, e6 take"],
    );
}

#[test]
fn a_whole_zone_is_ejected_if_it_is_at_most_half_of_the_pool() {
    let mut pool = PoolScript::new(&["a", "a", "a", "a", "b", "b", "b", "b"]);
    pool.run_all(4, 10);
    for name in ["e1", "e2", "e3", "e4"] {
        pool.finish(name, Outcome::Failed, 1, 3);
    }
    pool.expect(
        "all of zone a",
        &expect!["e1 avoid, e2 avoid, e3 avoid, e4 avoid, e5 take, e6 take, e7 take, e8 take"],
    );
}

#[test]
fn the_only_endpoint_is_never_ejected() {
    let mut pool = PoolScript::new(&["a"]);
    pool.run_all(4, 10);
    pool.finish("e1", Outcome::Failed, 1, 9);
    pool.expect(
        "single endpoint",
        &expect!["e1 take; service at fault, 1 of 1"],
    );
}

#[test]
fn a_refused_connection_takes_effect_at_once_and_is_retried_soon() {
    let mut pool = PoolScript::new(&["a", "a"]);
    pool.finish("e1", Outcome::Refused, 0, 1);
    pool.finish("e2", Outcome::Refused, 0, 1);
    pool.expect("both down", &expect!["e1 avoid, e2 avoid"]);
    pool.advance(250);
    pool.trial("e1", Outcome::Succeeded, 10);
    pool.trial("e2", Outcome::Refused, 0);
    pool.expect("one is back", &expect!["e1 take, e2 avoid"]);
    pool.advance(500);
    pool.expect("pause doubled", &expect!["e1 take, e2 trial"]);
}

#[test]
fn a_stale_list_never_readmits_a_leaving_endpoint() {
    let mut pool = PoolScript::new(&["a", "a"]);
    pool.observe("e1", 3, InstanceState::Live);
    pool.finish("e1", Outcome::Leaving, 1, 1);
    pool.expect("announced by the endpoint", &expect!["e1 avoid, e2 take"]);
    pool.observe("e1", 3, InstanceState::Live);
    pool.observe("e1", 2, InstanceState::Live);
    pool.finish("e1", Outcome::Succeeded, 10, 5);
    pool.advance(100_000);
    pool.expect("stale list", &expect!["e1 avoid, e2 take"]);
    pool.observe("e1", 4, InstanceState::Live);
    pool.expect("new epoch", &expect!["e1 take, e2 take"]);
    pool.observe("e1", 3, InstanceState::Leaving);
    pool.expect("older epoch", &expect!["e1 take, e2 take"]);
    pool.observe("e1", 4, InstanceState::Leaving);
    pool.expect("leaving in the list", &expect!["e1 avoid, e2 take"]);
}

#[test]
fn a_withdrawn_trial_can_be_repeated() {
    let mut pool = PoolScript::new(&["a", "a"]);
    pool.finish("e1", Outcome::Refused, 0, 1);
    pool.advance(250);
    pool.trial("e1", Outcome::Withdrawn, 1);
    pool.expect("withdrawn", &expect!["e1 trial, e2 take"]);
}

#[test]
fn the_end_of_an_older_request_does_not_end_a_trial() {
    let mut pool = PoolScript::new(&["a", "a", "a", "a"]);
    pool.run_all(4, 10);
    pool.finish("e1", Outcome::Failed, 1, 3);
    pool.advance(1000);
    pool.start_trial("e1");
    pool.finish_started("e1", Outcome::Succeeded, 1005);
    pool.expect(
        "older request",
        &expect!["e1 avoid, e2 take, e3 take, e4 take"],
    );
}
