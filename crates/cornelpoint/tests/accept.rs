//! Tests of successive accepts and of accepts whose answer is lost, on an in-memory table.

mod accepting_support;

use std::fmt::Write;

use accepting_support::FakeTable;
use accepting_support::base;
use accepting_support::request;
use accepting_support::run;
use cornelpoint::configuration::Accept;
use cornelpoint::configuration::AcceptAction;
use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptEvent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::HistoryEntry;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::configuration::history_prefix;
use expect_test::expect;

fn with_deadline(deadline_ms: u64) -> AcceptContent {
    let mut configuration = base();
    configuration.services[0].deadline_ms = deadline_ms;
    AcceptContent::Given(Box::new(configuration))
}

#[test]
fn accept_based_on_an_old_generation_reports_what_changed() {
    let mut table = FakeTable::default();
    let mut report = String::new();
    for (seen, token, who, deadline_ms) in [
        (0, 1, "nimal", 3_000),
        (1, 2, "kamala", 2_500),
        (1, 3, "nimal", 4_000),
        (2, 4, "nimal", 4_000),
        (3, 5, "kamala", 4_000),
        (9, 6, "kamala", 4_000),
    ] {
        let outcome = run(
            &mut table,
            request(seen, token, who, with_deadline(deadline_ms)),
        );
        writeln!(report, "{who} saw {seen}: {outcome}").unwrap();
    }
    expect![[r"
        nimal saw 0: accepted as generation 1
        kamala saw 1: accepted as generation 2
        nimal saw 1: conflict: expected generation 1, found 2, accepted by kamala: accept 2
          service galle: deadline_ms 3000 -> 2500
        nimal saw 2: accepted as generation 3
        kamala saw 3: unchanged: already in force as generation 3
        kamala saw 9: conflict: expected generation 9, found 3, accepted by nimal: accept 4
    "]]
    .assert_eq(&report);
}

#[test]
fn a_rollback_is_a_new_generation_with_old_content() {
    let mut table = FakeTable::default();
    run(&mut table, request(0, 1, "nimal", with_deadline(3_000)));
    run(&mut table, request(1, 2, "nimal", with_deadline(9_000)));
    let back = AcceptContent::Restored(Generation(1));
    let outcome = run(&mut table, request(2, 3, "nimal", back));
    let missing = AcceptContent::Restored(Generation(7));
    let rejected = run(&mut table, request(3, 4, "nimal", missing));
    let rows = table.read(&[body_key(&base().workspace, Generation(3))]);
    let configuration = decode_body(&rows[0]).unwrap();
    let history = table.scan(&history_prefix(&base().workspace));
    let last = HistoryEntry::decode(history.last().unwrap()).unwrap();
    let report = format!(
        "{outcome}\n{rejected}\ndeadline_ms {}, generation {}, restores {:?}\n",
        configuration.services[0].deadline_ms, configuration.generation, last.restores
    );
    expect![[r"
        accepted as generation 3
        expected an accepted generation, found none numbered 7
        deadline_ms 3000, generation 3, restores Some(Generation(1))
    "]]
    .assert_eq(&report);
}

#[test]
fn a_lost_answer_is_resolved_by_the_token() {
    let mut table = FakeTable::default();
    let mut accept = Accept::new(request(0, 1, "nimal", with_deadline(3_000)));
    let AcceptAction::Read(keys) = accept.start() else {
        panic!("expected a read");
    };
    let AcceptAction::Transact(transaction) = accept.handle(AcceptEvent::Rows(table.read(&keys)))
    else {
        panic!("expected a transaction");
    };
    table.transact(&transaction);
    run(&mut table, request(1, 2, "kamala", with_deadline(2_000)));
    let AcceptAction::Read(keys) = accept.handle(AcceptEvent::AnswerLost) else {
        panic!("expected a read");
    };
    let action = accept.handle(AcceptEvent::Rows(table.read(&keys)));
    let generation = Generation(1);
    assert_eq!(
        action,
        AcceptAction::Finish(AcceptOutcome::Accepted { generation })
    );
}

#[test]
fn outcome_without_the_platform_says_whether_the_accept_may_have_taken_effect() {
    let mut report = String::new();
    for lost in [AcceptEvent::NotTransacted, AcceptEvent::AnswerLost] {
        let mut accept = Accept::new(request(0, 1, "nimal", with_deadline(3_000)));
        let mut action = accept.start();
        action = match action {
            AcceptAction::Read(_) => accept.handle(AcceptEvent::Rows(Vec::new())),
            other => other,
        };
        while !matches!(action, AcceptAction::Finish(_)) {
            let event = match action {
                AcceptAction::Transact(_) => lost.clone(),
                _ => AcceptEvent::ReadFailed,
            };
            action = accept.handle(event);
        }
        if let AcceptAction::Finish(outcome) = action {
            writeln!(report, "{outcome}").unwrap();
        }
    }
    expect![[r"
        not accepted: the platform does not answer
        unknown: the platform does not answer and the accept may have taken effect
    "]]
    .assert_eq(&report);
}
