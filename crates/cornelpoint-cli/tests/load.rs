//! The load generator: its schedule and its report.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::Parser;
use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint_cli::command_line::CommandLine;
use cornelpoint_cli::load::LoadArguments;
use cornelpoint_cli::load::Schedule;
use cornelpoint_daemon::caller_edge::Answer;
use cornelpoint_daemon::caller_edge::BodyLimit;
use cornelpoint_daemon::caller_edge::CallerEdge;
use cornelpoint_daemon::caller_edge::CallerHandler;
use cornelpoint_daemon::caller_edge::CallerRequest;
use cornelpoint_daemon::caller_edge::EdgeSettings;
use cornelpoint_daemon::caller_edge::Header;
use cornelpoint_daemon::caller_edge::RequestHead;
use expect_test::expect;

/// Minimum time from a request to its answer.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(5);

/// Gateway that refuses requests whose number ends in 0, gives an unknown
/// outcome for those that end in 1, and answers all others.
struct FakeGateway;

impl CallerHandler for FakeGateway {
    fn admit(&self, _: &RequestHead) -> Result<BodyLimit, Answer> {
        Ok(BodyLimit { max_bytes: 1_000 })
    }

    fn handle(&self, request: CallerRequest) -> Answer {
        thread::sleep(MIN_ANSWER_TIME);
        match request.head.target.as_bytes().last() {
            Some(b'0') => Answer::refused(Refusal::QueueFull, "full"),
            Some(b'1') => Answer::refused(Refusal::AnswerLate, "late"),
            _ => Answer {
                status: 200,
                headers: vec![Header::new("cornelpoint-run", "yes")],
                body: b"whole".to_vec(),
            },
        }
    }
}

fn load(line: &str) -> LoadArguments {
    let words = ["cornelpoint", "load"].into_iter().chain(line.split(' '));
    let command = CommandLine::parse_from(words).command;
    let cornelpoint_cli::command_line::Command::Load(load) = command else {
        panic!("expected the load command, found {command:?}");
    };
    load
}

#[test]
fn the_schedule_follows_its_shape() {
    let mut table = String::new();
    for shape in ["flat", "surge", "turns"] {
        let line = format!(
            "--gateway 127.0.0.1:1 --service a --service b --service c --rate 300 \
             --duration-s 9 --turn-s 3 --shape {shape} --seed 7"
        );
        let load = load(&line.replace("             ", ""));
        let mut requests = [[0; 3]; 3];
        for planned in Schedule::new(&load) {
            let turn = usize::try_from(planned.due.as_secs() / 3).unwrap();
            let service = ["a", "b", "c"]
                .iter()
                .position(|name| planned.service.as_str() == *name);
            requests[turn][service.unwrap()] += 1;
        }
        writeln!(table, "{shape}: {requests:?}").unwrap();
    }
    expect![[r"
        flat: [[302, 305, 288], [312, 307, 315], [312, 291, 301]]
        surge: [[302, 305, 288], [1525, 1506, 1495], [11, 15, 14]]
        turns: [[1571, 11, 20], [13, 1525, 19], [17, 21, 1526]]
    "]]
    .assert_eq(&table);
}

#[test]
fn the_schedule_mixes_methods_and_keys() {
    let load = load(
        "--gateway 127.0.0.1:1 --gateway 127.0.0.1:2 --service a --rate 1000 --seed 3 \
         --post-percent 40 --key-percent 25",
    );
    let planned: Vec<_> = Schedule::new(&load).collect();
    let posts = planned
        .iter()
        .filter(|planned| planned.method == Method::Post)
        .count();
    let keys = planned
        .iter()
        .filter(|planned| planned.key.is_some())
        .count();
    let second = planned
        .iter()
        .filter(|planned| planned.gateway == 1)
        .count();
    let ordered = planned.is_sorted_by_key(|planned| planned.due);
    let found = format!(
        "{} requests, {posts} POST, {keys} keys, {second} to the second gateway, in order: {ordered}",
        planned.len()
    );
    expect!["10009 requests, 4015 POST, 991 keys, 5024 to the second gateway, in order: true"]
        .assert_eq(&found);
    assert_eq!(planned[0].key, None);
}

#[test]
fn outcomes_are_counted_by_kind() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let edge = CallerEdge::start(EdgeSettings::new(any), Arc::new(FakeGateway)).unwrap();
    let unused_address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let report = run(&[edge.address(), unused_address], &["--json"]);
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    let outcomes = report["endings"].as_array().unwrap();
    let lines: Vec<String> = outcomes
        .iter()
        .map(|count| format!("{} {}", count["requests"], count["ending"]).replace('"', ""))
        .collect();
    expect![[r"
        96 {answered:{status:200}}
        13 {refused:{reason:queue-full}}
        10 {unknown:{reason:answer-late}}
        97 lost"]]
    .assert_eq(&lines.join("\n"));
    assert_eq!(report["seed"], 5);
    for times in ["answered", "unanswered", "lag"] {
        assert!(report[times]["p50_us"].as_u64() <= report[times]["p99_us"].as_u64());
    }
    let min_answer_time_us = u64::try_from(MIN_ANSWER_TIME.as_micros()).ok();
    assert!(
        report["answered"]["p50_us"].as_u64() >= min_answer_time_us,
        "{report}"
    );
}

#[test]
fn the_text_report_starts_with_the_seed() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let edge = CallerEdge::start(EdgeSettings::new(any), Arc::new(FakeGateway)).unwrap();
    let report = run(&[edge.address()], &[]);
    let counts: Vec<&str> = report.lines().take(5).collect();
    expect![[r"
        seed       5
        requests   216
               173 answered 200
                21 refused queue-full
                22 unknown answer-late"]]
    .assert_eq(&counts.join("\n"));
    assert!(report.contains("\nanswered   p50 "), "{report}");
}

/// Runs the load generator for one second against gateways and returns its report.
fn run(gateways: &[SocketAddr], arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cornelpoint"));
    command.args("load --service a --rate 200 --duration-s 1 --senders 8 --seed 5".split(' '));
    for gateway in gateways {
        command.arg("--gateway").arg(gateway.to_string());
    }
    let output = command.args(arguments).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}
