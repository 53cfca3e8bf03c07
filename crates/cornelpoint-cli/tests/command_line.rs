//! Output of the command line: offline, and with one keeper and a stand-in for the platform.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use clap::CommandFactory;
use clap::Parser;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint_cli::command_line::Command;
use cornelpoint_cli::command_line::CommandLine;
use cornelpoint_cli::execution;
use cornelpoint_cli::output::CommandOutput;
use cornelpoint_cli::output::ExitStatus;
use cornelpoint_cli::settings::Environment;
use cornelpoint_cli::settings::Settings;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_daemon::settings::KeeperSettings;
use cornelpoint_standin::platform::PlatformFaults;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;
use expect_test::expect;
use slog::Discard;
use slog::Logger;
use slog::o;

/// Files of the configuration that operators accept.
const FILES: &str = "FOLDER/kandy.template.json FOLDER/lk-west.workspace.json";

/// Maximum number of status requests until a new keeper has read the platform's table.
const MAX_STATUS_REQUESTS: usize = 100_000;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Runs a command; `FOLDER/` stands for the folder of the examples in its
/// arguments and its output.
fn command_output(line: &str, environment: &Environment) -> CommandOutput {
    let folder = format!("{}/", examples().display());
    let arguments = line
        .split_whitespace()
        .map(|word| word.replace("FOLDER/", &folder));
    let command_line = CommandLine::parse_from(arguments);
    let mut command_output = match Settings::new(command_line, environment) {
        Ok(settings) => execution::run(&settings),
        Err(error) => CommandOutput::usage(&error),
    };
    command_output.text = command_output.text.replace(&folder, "FOLDER/");
    command_output
}

fn report(lines: &[&str], environment: &Environment) -> String {
    let mut report = String::new();
    for line in lines {
        let command_output = command_output(line, environment);
        writeln!(
            report,
            "$ {line}\n{}\n[{:?}]",
            command_output.text, command_output.exit_status
        )
        .unwrap();
    }
    report
}

#[test]
fn the_arguments_are_well_formed() {
    CommandLine::command().debug_assert();
}

#[test]
fn the_json_flag_is_accepted_before_and_after_the_command() {
    for words in ["cornelpoint --json demo", "cornelpoint demo --json"] {
        let command_line = CommandLine::parse_from(words.split(' '));
        let Command::Demo(demo) = command_line.command else {
            panic!("expected the demo command");
        };
        assert!(command_line.json || demo.json, "{words}");
    }
}

#[test]
fn files_are_checked_without_a_keeper() {
    let report = report(
        &[
            "cornelpoint template check FOLDER/futopalya.template.json",
            "cornelpoint workspace check FOLDER/kandy.template.json FOLDER/lk-west.workspace.json",
            "cornelpoint workspace check FOLDER/kandy.template.json FOLDER/none.json",
            "cornelpoint template check FOLDER/lk-west.workspace.json",
        ],
        &Environment::default(),
    );
    expect![[r"
        $ cornelpoint template check FOLDER/futopalya.template.json
        template futopalya: nothing wrong, 7 parameters
        [Done]
        $ cornelpoint workspace check FOLDER/kandy.template.json FOLDER/lk-west.workspace.json
        workspace lk-west: nothing wrong, 5 services, 5 pools, 50 endpoints
        [Done]
        $ cornelpoint workspace check FOLDER/kandy.template.json FOLDER/none.json
        expected a readable file FOLDER/none.json, found: No such file or directory (os error 2)
        [Failed]
        $ cornelpoint template check FOLDER/lk-west.workspace.json
        FOLDER/lk-west.workspace.json:1:1: services: expected a value, found none
        FOLDER/lk-west.workspace.json:1:1: pools: expected a value, found none
        FOLDER/lk-west.workspace.json:3:18: workspace: expected field: one of template, parameters, services, pools, spare_pool, found `workspace`
        FOLDER/lk-west.workspace.json:8:28: parameters.desk_peak_per_s: expected an object, found 300
        FOLDER/lk-west.workspace.json:8:28: parameters.desk_peak_per_s: expected a reference to the parameter, found none
        FOLDER/lk-west.workspace.json:9:30: parameters.ledger_peak_per_s: expected an object, found 600
        FOLDER/lk-west.workspace.json:9:30: parameters.ledger_peak_per_s: expected a reference to the parameter, found none
        FOLDER/lk-west.workspace.json:12:27: availability_zones: expected field: one of template, parameters, services, pools, spare_pool, found `availability_zones`
        FOLDER/lk-west.workspace.json:15:18: endpoints: expected field: one of template, parameters, services, pools, spare_pool, found `endpoints`
        9 found
        [Findings]
    "]].assert_eq(&report);
}

/// Guards against a fault that passes with exit code 0, and against keys in the output.
#[test]
fn a_configuration_of_the_manager_is_checked_before_it_is_sent() {
    let lines = [
        "cornelpoint configuration check FOLDER/../platform/examples/in-force.json",
        "cornelpoint configuration check FOLDER/../platform/examples/next.json --against FOLDER/../platform/examples/in-force.json",
        "cornelpoint configuration check FOLDER/../platform/examples/in-force.json --against FOLDER/../platform/examples/in-force.json",
        "cornelpoint configuration check FOLDER/kandy.template.json",
        "cornelpoint configuration check FOLDER/none.json",
    ];
    let report = report(&lines, &Environment::default());
    expect![[r#"
        $ cornelpoint configuration check FOLDER/../platform/examples/in-force.json
        configuration 7: errors: 0, warnings: 0, changes: 0
        [Done]
        $ cornelpoint configuration check FOLDER/../platform/examples/next.json --against FOLDER/../platform/examples/in-force.json
        error: queue "bulk": its pool "cpus" isn't defined (define the pool, or name another one)
        warning: tenant "south": has no valid key (give it a key of its own, or remove it)
        change: version: 7 before, 8 now
        change: queue "orders": timeout in ms 4000 before, 5000 now
        change, warning: queue "reports": removed
        change: queue "bulk": added
        change, warning: tenant "north": limit in millicores 64000 before, 32000 now
        change: tenant "north": keys removed: 1, added: 1
        change, warning: tenant "south": loses all keys it has: 1, new keys: 0
        configuration 8: errors: 1, warnings: 4, changes: 7
        [Findings]
        $ cornelpoint configuration check FOLDER/../platform/examples/in-force.json --against FOLDER/../platform/examples/in-force.json
        change, error: version: 7 isn't higher than 7, the one in force
        configuration 7: errors: 1, warnings: 0, changes: 1
        [Findings]
        $ cornelpoint configuration check FOLDER/kandy.template.json
        error: FOLDER/kandy.template.json: configuration can't be read: key must be a string at line 2 column 5 (mend the file; nothing else is checked in it)
        configuration: errors: 1, warnings: 0, changes: 0
        [Findings]
        $ cornelpoint configuration check FOLDER/none.json
        expected a readable file FOLDER/none.json, found: No such file or directory (os error 2)
        [Failed]
    "#]]
    .assert_eq(&report);
    for line in &lines[..3] {
        let data = command_output(line, &Environment::default()).data;
        assert!(data["findings"].is_array() && data["changes"].is_array());
        assert!(!report.contains("example-") && !data.to_string().contains("example-"));
    }
}

#[test]
fn missing_and_malformed_arguments_are_reported() {
    let report = report(
        &[
            "cornelpoint status",
            "cornelpoint drain Quoting --why fans --who nimal --keeper 127.0.0.1:1",
            "cornelpoint workspace rollback 1 --why late --keeper 127.0.0.1:1",
            "cornelpoint workspace rollback 1 --why late --who nimal --seen 1 --token x --keeper 127.0.0.1:1",
        ],
        &Environment::default(),
    );
    expect![[r"
        $ cornelpoint status
        expected --keeper ADDRESS or CORNELPOINT_KEEPER, found neither
        [Usage]
        $ cornelpoint drain Quoting --why fans --who nimal --keeper 127.0.0.1:1
        expected the name of an instance, found `Quoting`
        [Usage]
        $ cornelpoint workspace rollback 1 --why late --keeper 127.0.0.1:1
        expected --who NAME, CORNELPOINT_OPERATOR or USER, found none
        [Usage]
        $ cornelpoint workspace rollback 1 --why late --who nimal --seen 1 --token x --keeper 127.0.0.1:1
        expected a token of 16 hexadecimal digits, found `x`
        [Usage]
    "]].assert_eq(&report);
}

#[test]
fn a_mistyped_command_gets_a_suggestion() {
    let error = CommandLine::try_parse_from(["cornelpoint", "workspace", "acept"]).unwrap_err();
    expect![[r"
        error: unrecognized subcommand 'acept'

          tip: a similar subcommand exists: 'accept'

        Usage: cornelpoint workspace [OPTIONS] <COMMAND>

        For more information, try '--help'.
    "]]
    .assert_eq(&error.to_string());
}

/// Stand-in for the platform and one keeper.
struct TestSite {
    platform: PlatformStandIn,
    keeper: Keeper,
}

impl TestSite {
    fn start() -> Self {
        let platform = PlatformStandIn::start(&PlatformSettings::default()).unwrap();
        let keeper = start_keeper(&platform);
        Self { platform, keeper }
    }

    /// Replaces the keeper by a new one without state.
    fn with_new_keeper(self) -> Self {
        self.keeper.kill();
        let keeper = start_keeper(&self.platform);
        Self { keeper, ..self }
    }

    fn environment(&self, operator: &str, random: u64) -> Environment {
        Environment {
            keeper: Some(self.keeper.address().to_string()),
            operator: Some(operator.to_owned()),
            random,
        }
    }

    fn stop(self) {
        self.keeper.kill();
        self.platform.stop();
    }
}

fn start_keeper(platform: &PlatformStandIn) -> Keeper {
    let listen = SocketAddr::from(LOOPBACK);
    let settings = KeeperSettings {
        instance: InstanceId::try_from("entry-1").unwrap(),
        availability_zone: AvailabilityZone::try_from("lk-west-a").unwrap(),
        workspace: WorkspaceName::try_from("lk-west").unwrap(),
        listen,
        gossip_listen: listen,
        seeds: Vec::new(),
        platform: platform.address(),
        metrics: None,
        platform_timeout_ms: 2_000,
        platform_poll_ms: 100,
        sync_interval_ms: 100,
        slot_lease_ms: 1_000,
        memory_mb: 80,
        max_descriptors: 4100,
        control_connections: 256,
        max_message_bytes: 1_835_008,
    };
    Keeper::start(&settings, Logger::root(Discard, o!())).unwrap()
}

/// Returns the output of each operator's command in order, without indented
/// lines and lines about endpoints.
fn transcript(site: &TestSite, lines: &[(&str, &str)]) -> String {
    let mut text = String::new();
    for (random, (operator, line)) in (1..).zip(lines) {
        let line = line.replace("FILES", FILES);
        let report = report(&[&line], &site.environment(operator, random));
        let kept = report
            .lines()
            .filter(|line| !line.starts_with("  ") && !line.starts_with("endpoint"));
        let kept: Vec<&str> = kept.collect();
        writeln!(text, "{operator} {}", kept.join("\n")).unwrap();
    }
    text
}

#[test]
fn operators_accept_and_roll_back() {
    let site = TestSite::start();
    let transcript = transcript(
        &site,
        &[
            ("nimal", "cornelpoint workspace diff FILES"),
            ("nimal", "cornelpoint workspace accept FILES --why first"),
            (
                "nimal",
                "cornelpoint workspace accept FILES --why first --seen 0 --token 2",
            ),
            (
                "kamala",
                "cornelpoint workspace accept FILES --why late --seen 0",
            ),
            ("kamala", "cornelpoint workspace accept FILES --why again"),
            ("kamala", "cornelpoint workspace diff FILES"),
            ("kamala", "cornelpoint workspace rollback 9 --why oops"),
            ("kamala", "cornelpoint workspace rollback 1 --why oops"),
        ],
    );
    let history = command_output(
        "cornelpoint workspace history",
        &site.environment("nimal", 11),
    );
    let status = command_output("cornelpoint status", &site.environment("nimal", 12));
    site.stop();
    expect![[r"
        nimal $ cornelpoint workspace diff FOLDER/kandy.template.json FOLDER/lk-west.workspace.json
        spare_pool: none -> ledger
        service galle: added
        service jaffna: added
        service kandy: added
        service ledger: added
        service negombo: added
        pool galle: added
        pool jaffna: added
        pool negombo: added
        pool kandy: added
        pool ledger: added
        61 changes from generation 0
        [Done]
        nimal $ cornelpoint workspace accept FOLDER/kandy.template.json FOLDER/lk-west.workspace.json --why first
        accepted as generation 1
        [Done]
        nimal $ cornelpoint workspace accept FOLDER/kandy.template.json FOLDER/lk-west.workspace.json --why first --seen 0 --token 2
        accepted as generation 1
        [Done]
        kamala $ cornelpoint workspace accept FOLDER/kandy.template.json FOLDER/lk-west.workspace.json --why late --seen 0
        conflict: expected generation 0, found 1, accepted by nimal: first
        [Conflict]
        kamala $ cornelpoint workspace accept FOLDER/kandy.template.json FOLDER/lk-west.workspace.json --why again
        unchanged: already in force as generation 1
        [Done]
        kamala $ cornelpoint workspace diff FOLDER/kandy.template.json FOLDER/lk-west.workspace.json
        nothing changes from generation 1
        [Done]
        kamala $ cornelpoint workspace rollback 9 --why oops
        expected an accepted generation, found none numbered 9
        [Failed]
        kamala $ cornelpoint workspace rollback 1 --why oops
        unchanged: already in force as generation 1
        [Done]
    "]].assert_eq(&transcript);
    assert_eq!(history.data.as_array().map(Vec::len), Some(1));
    assert_eq!(history.data[0]["who"], "nimal");
    assert_eq!(status.data["newest_known"], 1);
}

#[test]
fn a_drain_survives_the_loss_of_all_keepers() {
    let mut site = TestSite::start();
    let mut transcript = transcript(
        &site,
        &[
            ("kamala", "cornelpoint drain galle-1 --why fans"),
            ("nimal", "cornelpoint drain galle-1 --why power --seen 0"),
            ("nimal", "cornelpoint drain galle-2 --why power --seen 0"),
            ("nimal", "cornelpoint undrain galle-1 --why fixed --seen 1"),
        ],
    );
    site = site.with_new_keeper();
    let environment = site.environment("nimal", 1);
    let marks = std::iter::repeat_with(|| command_output("cornelpoint status", &environment))
        .take(MAX_STATUS_REQUESTS)
        .map(|status| status.data["keepers"][0]["marks"].clone())
        .find(|marks| marks.as_array().is_some_and(|marks| !marks.is_empty()));
    for mark in marks.unwrap().as_array().unwrap() {
        writeln!(
            transcript,
            "{} accepts work: {}",
            mark["instance"], mark["accepts_work"]
        )
        .unwrap();
    }
    site.stop();
    expect![[r#"
        kamala $ cornelpoint drain galle-1 --why fans
        galle-1 takes no new work
        [Done]
        nimal $ cornelpoint drain galle-1 --why power --seen 0
        conflict: epoch 1 is in force, set by kamala: fans
        [Conflict]
        nimal $ cornelpoint drain galle-2 --why power --seen 0
        galle-2 takes no new work
        [Done]
        nimal $ cornelpoint undrain galle-1 --why fixed --seen 1
        galle-1 takes new work
        [Done]
        "galle-1" accepts work: true
        "galle-2" accepts work: false
    "#]]
    .assert_eq(&transcript);
}

#[test]
fn a_drain_takes_effect_while_the_platform_is_down() {
    let site = TestSite::start();
    site.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let transcript = transcript(&site, &[("nimal", "cornelpoint drain galle-1 --why fans")]);
    let status = command_output("cornelpoint status", &site.environment("nimal", 2));
    site.stop();
    expect![[r"
        nimal $ cornelpoint drain galle-1 --why fans
        galle-1 takes no new work; the platform does not answer, so no record of it is kept
        [Done]
    "]]
    .assert_eq(&transcript);
    assert_eq!(status.data["keepers"][0]["marks"][0]["accepts_work"], false);
}

#[test]
fn an_accept_fails_while_the_platform_is_down() {
    let site = TestSite::start();
    site.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let environment = site.environment("nimal", 1);
    let line = "cornelpoint workspace accept FOLDER/kandy.template.json \
                FOLDER/lk-west.workspace.json --why first";
    let command_output = command_output(line, &environment);
    site.stop();
    assert_eq!(command_output.exit_status, ExitStatus::NotReachable);
}
