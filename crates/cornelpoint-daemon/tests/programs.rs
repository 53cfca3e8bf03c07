//! Runs the programs as processes: exit codes, and graceful shutdown on SIGTERM.

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

/// Port 0 selects a free port; nothing listens on port 1.
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
fn check_settings_exits_without_starting() {
    for (program, name, text) in [
        (GATEWAY, "gateway-valid.json", GATEWAY_SETTINGS),
        (KEEPER, "keeper-valid.json", KEEPER_SETTINGS),
    ] {
        let valid = check(program, &settings_file(name, text));
        assert_eq!(valid.status.code(), Some(0), "{valid:?}");
        let invalid = text.replace("\"instance\"", "\"instanse\"");
        let invalid = check(
            program,
            &settings_file(&format!("invalid-{name}"), &invalid),
        );
        assert_eq!(invalid.status.code(), Some(3), "{invalid:?}");
        let printed = String::from_utf8(invalid.stderr).unwrap();
        assert!(printed.contains("did you mean `instance`?"), "{printed}");
        let missing = check(program, Path::new("missing.json"));
        assert_eq!(missing.status.code(), Some(1), "{missing:?}");
    }
}

#[test]
fn sigterm_stops_with_exit_code_zero() {
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

/// Starts a program and waits until its log reports the start.
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
            "{program}: log ended without a line that contains `started`"
        );
    }
    // Drains the rest of the log, so that the program never blocks on a full pipe.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    process
}
