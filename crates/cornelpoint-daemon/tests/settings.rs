//! Settings: the example files, findings, and the documentation of the fields.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use cornelpoint::document::Source;
use cornelpoint::finding::Findings;
use cornelpoint_daemon::settings::GatewaySettings;
use cornelpoint_daemon::settings::KeeperSettings;
use cornelpoint_daemon::settings::SettingsArguments;
use expect_test::expect;

/// An integer outside every field's range.
const OUT_OF_RANGE: &str = "18446744073709551615";

/// Daemon whose settings are read.
#[derive(Clone, Copy)]
enum Daemon {
    Gateway,
    Keeper,
}

impl Daemon {
    const ALL: [Self; 2] = [Self::Gateway, Self::Keeper];

    fn title(self) -> &'static str {
        match self {
            Self::Gateway => "Gateway",
            Self::Keeper => "Keeper",
        }
    }

    /// Returns all findings in a settings text.
    fn findings(self, text: &str) -> Findings {
        let source = Source {
            file: "settings",
            text,
        };
        let result = match self {
            Self::Gateway => GatewaySettings::try_from(source).map(drop),
            Self::Keeper => KeeperSettings::try_from(source).map(drop),
        };
        result.err().unwrap_or_default()
    }

    /// Returns the daemon's fields, as listed by the finding for an unknown field.
    fn fields(self) -> BTreeSet<String> {
        let findings = self.findings("{\"unknown-field\": 1}");
        let list = findings
            .as_slice()
            .iter()
            .find_map(|finding| finding.expected.strip_prefix("field: one of "));
        list.unwrap().split(", ").map(str::to_owned).collect()
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the cells of a daemon's table rows in `docs/SETTINGS.md`.
fn documented(daemon: Daemon) -> Vec<Vec<String>> {
    let page = fs::read_to_string(root().join("docs/SETTINGS.md")).unwrap();
    let title = format!("## {}\n", daemon.title());
    let section = page
        .split("\n## ")
        .find(|part| title.ends_with(&format!("{}\n", part.lines().next().unwrap())));
    let rows = section
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        row.trim_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    })
    .collect()
}

#[test]
fn example_settings_are_valid() {
    let load = |file: &str| SettingsArguments {
        settings: root().join("examples").join(file),
        check_settings: false,
    };
    let gateway: GatewaySettings = load("gateway.settings.json").load().unwrap();
    let keeper: KeeperSettings = load("keeper.settings.json").load().unwrap();
    assert_eq!(gateway.keepers[0], keeper.listen);
    assert_eq!(gateway.instance, keeper.instance);
    let missing = load("missing.settings.json").load::<KeeperSettings>();
    assert!(missing.is_err());
}

#[test]
fn findings_are_reported_together() {
    let findings = Daemon::Gateway.findings(
        r#"{
            "instance": "Entry 1",
            "listen": "10.20.1.1:8080",
            "control_listen": "10.20.1.1:8080",
            "keepers": [],
            "platform": "platform:9000",
            "max_conections": 5,
            "stop_timeout_ms": -1,
        }"#,
    );
    expect![[r"
        settings:1:1: availability_zone: expected a value, found none
        settings:2:25: instance: expected a name of 1 to 64 small letters, digits, `-` and `.`, found `Entry 1`
        settings:4:31: control_listen: expected another value than listen, found `10.20.1.1:8080`
        settings:5:24: keepers: expected at least one element, found none
        settings:6:25: platform: expected an IP number and a port, such as 10.0.0.1:7100, found `platform:9000`
        settings:7:31: max_conections: expected field: one of instance, availability_zone, listen, control_listen, keepers, platform, metrics, platform_timeout_ms, keeper_timeout_ms, view_interval_ms, memory_mb, max_descriptors, max_connections, max_header_bytes, header_timeout_ms, body_timeout_ms, idle_timeout_ms, connect_timeout_ms, max_idle_per_endpoint, stop_notice_ms, stop_timeout_ms, found `max_conections` (did you mean `max_connections`?)
        settings:8:32: stop_timeout_ms: expected a whole number from 0 to 3600000, found -1
    "]].assert_eq(&format!("{findings}\n"));
}

#[test]
fn documentation_lists_every_field() {
    for daemon in Daemon::ALL {
        let rows = documented(daemon);
        let listed: BTreeSet<String> = rows
            .iter()
            .map(|row| row[0].trim_matches('`').to_owned())
            .collect();
        assert_eq!(listed, daemon.fields(), "{}", daemon.title());
    }
}

#[test]
fn documentation_gives_every_range() {
    for daemon in Daemon::ALL {
        for row in documented(daemon).iter().filter(|row| row[1] == "integer") {
            let field = row[0].trim_matches('`');
            let text = format!("{{\"{field}\": {OUT_OF_RANGE}}}");
            let findings = daemon.findings(&text);
            let expected = format!("a whole number from {}", row[3]);
            let found = findings
                .as_slice()
                .iter()
                .find(|finding| finding.field == field);
            assert_eq!(
                found.map(|finding| &finding.expected),
                Some(&expected),
                "{field}"
            );
        }
    }
}

#[test]
fn documentation_gives_every_default() {
    let load = |file: &str| SettingsArguments {
        settings: root().join("examples").join(file),
        check_settings: false,
    };
    let gateway: GatewaySettings = load("gateway.settings.json").load().unwrap();
    let keeper: KeeperSettings = load("keeper.settings.json").load().unwrap();
    for (daemon, settings) in [
        (Daemon::Gateway, format!("{gateway:?}")),
        (Daemon::Keeper, format!("{keeper:?}")),
    ] {
        for row in documented(daemon).iter().filter(|row| row[1] == "integer") {
            let pair = format!("{}: {}", row[0].trim_matches('`'), row[4]);
            assert!(
                settings.contains(&pair),
                "expected {pair}, found {settings}"
            );
        }
    }
}
