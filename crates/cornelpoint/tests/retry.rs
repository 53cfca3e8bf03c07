//! Tests of the retry rule and the retry budget.

use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use cornelpoint::retry::Attempts;
use cornelpoint::retry::Decision;
use cornelpoint::retry::RetryBudget;
use cornelpoint::retry::SendResult;
use expect_test::Expect;
use expect_test::expect;

const DEADLINE_MS: u64 = 1000;
const ANSWERED: SendResult = SendResult::Answered { status: 200 };
const FAILED: SendResult = SendResult::Answered { status: 500 };
const ALL: [SendResult; 6] = [
    ANSWERED,
    FAILED,
    SendResult::NotSent,
    SendResult::NotStarted,
    SendResult::Broken,
    SendResult::Late,
];

/// Passes results to one request, 10 ms apart, and compares the decisions.
#[allow(clippy::needless_pass_by_value)]
fn check_decisions(idempotent: bool, results: &[SendResult], expected: Expect) {
    let mut budget = RetryBudget::new(20, 10);
    let mut attempts = Attempts::new(idempotent, DEADLINE_MS);
    let mut lines = Vec::new();
    for (now_ms, result) in (0u64..).step_by(10).zip(results) {
        let decision = attempts.decide(*result, now_ms, &mut budget);
        lines.push(format!("{result:?}: {decision:?}\n"));
        if decision != Decision::RetryElsewhere {
            break;
        }
    }
    expected.assert_eq(&lines.concat());
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_did_not_run() {
    check_decisions(
        false,
        &[SendResult::NotSent, SendResult::NotStarted, ANSWERED],
        expect![[r"
            NotSent: RetryElsewhere
            NotStarted: RetryElsewhere
            Answered { status: 200 }: Answer
        "]],
    );
    check_decisions(
        false,
        &[SendResult::Broken],
        expect![[r"
            Broken: RefuseUnknown(AnswerCut)
        "]],
    );
    check_decisions(
        false,
        &[FAILED],
        expect![[r"
            Answered { status: 500 }: Answer
        "]],
    );
}

#[test]
fn idempotent_request_is_sent_at_most_three_times() {
    check_decisions(
        true,
        &[SendResult::Broken, SendResult::Late, SendResult::Broken],
        expect![[r"
            Broken: RetryElsewhere
            Late: RetryElsewhere
            Broken: RefuseUnknown(AnswerCut)
        "]],
    );
}

#[test]
fn failed_answer_is_returned_if_no_retry_succeeds() {
    check_decisions(
        true,
        &[FAILED, SendResult::Broken, SendResult::Late],
        expect![[r"
            Answered { status: 500 }: RetryElsewhere
            Broken: RetryElsewhere
            Late: Answer
        "]],
    );
}

#[test]
fn attempts_that_never_ran_end_as_not_run() {
    check_decisions(
        false,
        &[SendResult::NotStarted; 9],
        expect![[r"
            NotStarted: RetryElsewhere
            NotStarted: RetryElsewhere
            NotStarted: RetryElsewhere
            NotStarted: RetryElsewhere
            NotStarted: RetryElsewhere
            NotStarted: RefuseNotRun(NoEndpoint)
        "]],
    );
}

/// Checks every sequence of four results: a rejection reports correctly whether
/// the request may have run, and at most one attempt of a non-idempotent
/// request may have run.
#[test]
fn every_history_of_four_results_is_reported_correctly() {
    for code in 0..ALL.len().pow(4) {
        for idempotent in [false, true] {
            check_history(idempotent, code);
        }
    }
}

fn check_history(idempotent: bool, code: usize) {
    let mut budget = RetryBudget::new(100, 100);
    let mut attempts = Attempts::new(idempotent, DEADLINE_MS);
    let mut may_have_run = 0;
    let mut code_left = code;
    for now_ms in [0, 400, 800, 1200] {
        let result = ALL[code_left % ALL.len()];
        code_left /= ALL.len();
        may_have_run += u32::from(result.may_have_run());
        match attempts.decide(result, now_ms, &mut budget) {
            Decision::RetryElsewhere => assert!(now_ms < DEADLINE_MS),
            Decision::RefuseNotRun(refusal) => {
                assert_eq!((may_have_run, refusal.run_state()), (0, RunState::No));
                return;
            }
            Decision::RefuseUnknown(refusal) => {
                assert!(may_have_run > 0);
                assert_eq!(refusal.run_state(), RunState::Unknown);
                return;
            }
            Decision::Answer => return,
        }
        assert!(idempotent || may_have_run == 0, "history {code}");
    }
    panic!("history {code}: expected a final decision at the deadline, found a retry");
}

#[test]
fn no_retry_after_the_deadline() {
    let mut budget = RetryBudget::new(20, 10);
    let mut attempts = Attempts::new(true, DEADLINE_MS);
    let decision = attempts.decide(SendResult::NotSent, DEADLINE_MS, &mut budget);
    assert_eq!(decision, Decision::RefuseNotRun(Refusal::DeadlineTooNear));
}

#[test]
fn budget_is_a_share_of_first_attempts_in_any_two_seconds() {
    let mut budget = RetryBudget::new(20, 0);
    let mut taken = Vec::new();
    for now_ms in (0..6000).step_by(10) {
        budget.record_first_attempt(now_ms);
        if budget.take_retry(now_ms) {
            taken.push(now_ms);
        }
    }
    let in_window = |start_ms: u64| {
        taken
            .iter()
            .filter(|t| (start_ms..start_ms + 2000).contains(*t))
            .count()
    };
    let most = (0..4000).step_by(200).map(in_window).max();
    assert_eq!(most, Some(40), "20 % of 200 first attempts");
}

#[test]
fn budget_has_a_minimum_and_recovers_after_its_window() {
    let mut budget = RetryBudget::new(20, 2);
    let taken = (0..10).filter(|_| budget.take_retry(0)).count();
    assert_eq!(taken, 4);
    assert_eq!(budget.retries_left(1999), 0);
    assert_eq!(budget.retries_left(2000), 4);
}
