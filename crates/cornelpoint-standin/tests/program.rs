//! Stand-in executables: settings file, first log line and graceful stop.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use expect_test::expect;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file
}

fn start(program: &str, settings: &PathBuf) -> Child {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Waits for the first log line, sends SIGTERM, and expects a successful exit.
fn check_graceful_stop(program: &str, settings: &PathBuf, first_line: &str) {
    let mut child = start(program, settings);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    assert!(line.contains(first_line), "{line}");
    let kill = Command::new("kill").arg(child.id().to_string()).status();
    assert!(kill.unwrap().success());
    let rest: Vec<_> = lines.map_while(Result::ok).collect();
    assert!(
        rest.iter().any(|line| line.contains("stopping")),
        "{rest:?}"
    );
    assert!(child.wait().unwrap().success());
}

#[test]
fn the_platform_program_stops_at_sigterm() {
    let file = settings_file("platform.json", r#"{"instance_list_lag_ms": 500}"#);
    let program = env!("CARGO_BIN_EXE_cornelpoint-platform-standin");
    check_graceful_stop(program, &file, "platform stand-in: listening");
}

#[test]
fn the_endpoint_program_stops_at_sigterm() {
    let file = settings_file(
        "endpoints.json",
        r#"{"endpoints": [{"instance": "quoting-1"}, {"instance": "quoting-2"}]}"#,
    );
    let program = env!("CARGO_BIN_EXE_cornelpoint-endpoint-standin");
    check_graceful_stop(program, &file, "endpoint stand-in: listening");
}

#[test]
fn invalid_settings_are_reported_with_line_and_column() {
    let file = settings_file("wrong.json", "{\"endpoints\": [{\"instance\": \"Q 1\"}]}");
    let program = env!("CARGO_BIN_EXE_cornelpoint-endpoint-standin");
    let output = start(program, &file).wait_with_output().unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    let cause = message.lines().find(|line| line.contains("line 1"));
    expect!["╰─▶ expected small letters, digits, `-` and `.`, found `Q` at line 1 column 34"]
        .assert_eq(cause.unwrap_or(&message));
}
