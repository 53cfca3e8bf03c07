//! Tests of the example files, which are the templates and workspaces of both deployments.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use cornelpoint::configuration::Configuration;
use cornelpoint::deployment::Deployment;
use cornelpoint::document::Source;
use cornelpoint::template;
use cornelpoint::workspace;
use expect_test::expect;

fn summary(configuration: &Configuration) -> String {
    let mut text = String::new();
    let mut zones = BTreeMap::<&str, usize>::new();
    let mut racks = BTreeMap::<&str, usize>::new();
    for pool in &configuration.pools {
        writeln!(text, "{} {}", pool.name, pool.endpoints.len()).unwrap();
        for endpoint in &pool.endpoints {
            *zones
                .entry(endpoint.availability_zone.as_str())
                .or_default() += 1;
            *racks.entry(endpoint.rack.as_str()).or_default() += 1;
        }
    }
    writeln!(text, "zones {zones:?}").unwrap();
    writeln!(
        text,
        "racks {}, largest {}",
        racks.len(),
        racks.values().max().unwrap()
    )
    .unwrap();
    writeln!(text, "spare {}", configuration.spare_pool.as_ref().unwrap()).unwrap();
    text
}

#[test]
fn futopalya_has_the_expected_size() {
    let configuration = Deployment::Futopalya.configuration().unwrap();
    expect![[r#"
        quoting 10
        design 10
        controller 10
        compliance 10
        back-office 10
        zones {"hu-central-a": 13, "hu-central-b": 13, "hu-central-c": 12, "hu-central-d": 12}
        racks 14, largest 4
        spare back-office
    "#]]
    .assert_eq(&summary(&configuration));
}

#[test]
fn kandy_has_the_expected_size() {
    let configuration = Deployment::Kandy.configuration().unwrap();
    expect![[r#"
        galle 10
        jaffna 10
        negombo 10
        kandy 10
        ledger 10
        zones {"lk-west-a": 17, "lk-west-b": 17, "lk-west-c": 16}
        racks 14, largest 4
        spare ledger
    "#]]
    .assert_eq(&summary(&configuration));
}

#[test]
fn templates_are_valid_without_a_workspace() {
    for deployment in Deployment::ALL {
        let template = template::check(deployment.template()).unwrap();
        assert_eq!(template.name.as_str(), deployment.as_str());
    }
}

#[test]
fn given_addresses_replace_those_of_the_examples() {
    for deployment in Deployment::ALL {
        let addresses: Vec<SocketAddr> = (0..50)
            .map(|number| SocketAddr::from(([127, 0, 0, 1], 9_000 + number)))
            .collect();
        let text = deployment.workspace_text(&addresses).unwrap();
        let workspace = Source {
            text: &text,
            ..deployment.workspace()
        };
        let configuration = workspace::check(deployment.template(), workspace).unwrap();
        let pools = configuration.pools.iter();
        let endpoints = pools.flat_map(|pool| &pool.endpoints);
        let found: Vec<SocketAddr> = endpoints.map(|endpoint| endpoint.address).collect();
        assert_eq!(found, addresses);
    }
}
