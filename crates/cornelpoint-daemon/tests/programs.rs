//! The programs as processes: their exit codes and a planned stop on SIGTERM.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const GATEWAY: &str = env!("CARGO_BIN_EXE_cornelpoint-gateway");
const KEEPER: &str = env!("CARGO_BIN_EXE_cornelpoint-keeper");

/// Port 0 takes a free one; nothing listens on port 1.
const GATEWAY_SETTINGS: &str = r#"{
    "instance": "entry-1",
    "availability_zone": "a",
    "listen": "127.0.0.1:0",
    "control_listen": "127.0.0.2:0",
    "keepers": ["127.0.0.1:1"],
    "platform": "127.0.0.1:1",
    "stop_notice_ms": 0,
}"#;

const KEEPER_SETTINGS: &str = r#"{
    "instance": "entry-1",
    "availability_zone": "a",
    "workspace": "w",
    "listen": "127.0.0.1:0",
    "gossip_listen": "127.0.0.1:0",
    "platform": "127.0.0.1:1",
}"#;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file
}

fn check(program: &str, file: &Path) -> Output {
    let mut command = Command::new(program);
    command.arg("--settings").arg(file).arg("--check-settings");
    command.output().unwrap()
}

#[test]
fn settings_are_checked_without_a_start() {
    for (program, name, text) in [
        (GATEWAY, "gateway-right.json", GATEWAY_SETTINGS),
        (KEEPER, "keeper-right.json", KEEPER_SETTINGS),
    ] {
        let right = check(program, &settings_file(name, text));
        assert_eq!(right.status.code(), Some(0), "{right:?}");
        let wrong = text.replace("\"instance\"", "\"instanse\"");
        let wrong = check(program, &settings_file(&format!("wrong-{name}"), &wrong));
        assert_eq!(wrong.status.code(), Some(3), "{wrong:?}");
        let printed = String::from_utf8(wrong.stderr).unwrap();
        assert!(printed.contains("did you mean `instance`?"), "{printed}");
        let missing = check(program, Path::new("missing.json"));
        assert_eq!(missing.status.code(), Some(1), "{missing:?}");
    }
}

#[test]
fn a_signal_is_a_planned_stop() {
    for (program, name, text) in [
        (GATEWAY, "gateway-stop.json", GATEWAY_SETTINGS),
        (KEEPER, "keeper-stop.json", KEEPER_SETTINGS),
    ] {
        let mut process = start(program, &settings_file(name, text));
        let stopped = Command::new("kill")
            .args(["-TERM", &process.id().to_string()])
            .status();
        assert!(stopped.unwrap().success());
        assert_eq!(process.wait().unwrap().code(), Some(0), "{program}");
    }
}

/// Starts a program and waits until its log says that it runs.
fn start(program: &str, file: &Path) -> Child {
    let mut command = Command::new(program);
    command.arg("--settings").arg(file).stderr(Stdio::piped());
    let mut process = command.spawn().unwrap();
    let mut log = BufReader::new(process.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("started") {
        line.clear();
        let length_bytes = log.read_line(&mut line).unwrap();
        assert!(
            length_bytes > 0,
            "{program}: expected a line that says started"
        );
    }
    // The rest of the log is read away, so that the program never waits for it.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    process
}
