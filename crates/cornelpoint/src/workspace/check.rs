use std::collections::BTreeMap;
use std::fmt::Display;

use super::fault_domain;
use super::parameters;
use super::parsed_endpoint::ParsedEndpoint;
use super::parsed_workspace::ParsedWorkspace;
use crate::configuration::Configuration;
use crate::configuration::Endpoint;
use crate::configuration::Generation;
use crate::configuration::Pool;
use crate::document::Document;
use crate::document::Source;
use crate::finding::Findings;
use crate::name::AvailabilityZone;
use crate::template::FilledPool;
use crate::template::FilledTemplate;
use crate::template::ParsedTemplate;

/// Checks a template and a workspace together.
///
/// The configuration has generation 0 until it is accepted.
///
/// # Errors
///
/// All findings in both files.
///
/// ```
/// use cornelpoint::deployment::Deployment;
/// use cornelpoint::workspace;
///
/// let deployment = Deployment::Futopalya;
/// let configuration =
///     workspace::check(deployment.template(), deployment.workspace()).unwrap();
/// assert_eq!(configuration.pools.len(), 5);
/// ```
pub fn check(template: Source<'_>, workspace: Source<'_>) -> Result<Configuration, Findings> {
    let mut findings = Findings::default();
    let template = parse(template, &mut findings);
    let workspace = parse(workspace, &mut findings);
    let parsed_template = template.map(|document| ParsedTemplate::read(&document, &mut findings));
    let parsed_workspace =
        workspace.map(|document| ParsedWorkspace::read(&document, &mut findings));
    let configuration = match (parsed_template, parsed_workspace) {
        (Some(parsed_template), Some(parsed_workspace)) => {
            check_against_template(&parsed_template, &parsed_workspace, &mut findings)
        }
        (Some(parsed_template), None) => {
            parsed_template.fill(&[], &mut findings);
            None
        }
        (None, _) => None,
    };
    findings.into_result(configuration)
}

fn parse(source: Source<'_>, findings: &mut Findings) -> Option<Document> {
    match Document::parse(source) {
        Ok(document) => Some(document),
        Err(others) => {
            findings.append(others);
            None
        }
    }
}

fn check_against_template(
    parsed_template: &ParsedTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) -> Option<Configuration> {
    let values = parameters::check(parsed_template, parsed_workspace, findings);
    let filled = parsed_template.fill(&values, findings);
    check_template_name(parsed_template, parsed_workspace, findings);
    check_endpoints(&filled, parsed_workspace, findings);
    if parsed_workspace.all_endpoints_parsed {
        check_empty_pools(&filled, parsed_workspace, findings);
        for service in &filled.services {
            fault_domain::check_budget(service, &parsed_workspace.endpoints, findings);
        }
    }
    configuration(parsed_template, parsed_workspace, &filled)
}

fn check_template_name(
    parsed_template: &ParsedTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) {
    let (Some(name), Some(named)) = (&parsed_template.name, &parsed_workspace.template) else {
        return;
    };
    if name != named {
        let place = parsed_workspace.field("template");
        findings.push(place.finding(format!("template `{name}`"), format!("`{named}`")));
    }
}

fn check_endpoints(
    filled: &FilledTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) {
    let pool_names: Vec<&str> = filled.pool_names.iter().map(String::as_str).collect();
    for endpoint in &parsed_workspace.endpoints {
        check_known(
            endpoint,
            "pool",
            endpoint.pool.as_str(),
            &pool_names,
            findings,
        );
    }
    check_zones(parsed_workspace, findings);
    check_unique(
        &parsed_workspace.endpoints,
        "instance",
        |endpoint| &endpoint.instance,
        findings,
    );
    check_unique(
        &parsed_workspace.endpoints,
        "address",
        |endpoint| &endpoint.address,
        findings,
    );
    fault_domain::check_racks(parsed_workspace, findings);
}

fn check_zones(parsed_workspace: &ParsedWorkspace, findings: &mut Findings) {
    let Some(zones) = &parsed_workspace.availability_zones else {
        return;
    };
    let names: Vec<&str> = zones.iter().map(AvailabilityZone::as_str).collect();
    for endpoint in &parsed_workspace.endpoints {
        let zone = endpoint.availability_zone.as_str();
        check_known(endpoint, "availability_zone", zone, &names, findings);
    }
}

fn check_known(
    endpoint: &ParsedEndpoint,
    field: &str,
    name: &str,
    known: &[&str],
    findings: &mut Findings,
) {
    if !known.contains(&name) {
        let what = field.replace('_', " ");
        findings.push(endpoint.field(field).unknown_name(&what, name, known));
    }
}

/// Records a finding for each endpoint that repeats a value which must be unique.
fn check_unique<'a, T: Ord + Display + 'a>(
    endpoints: &'a [ParsedEndpoint],
    field: &str,
    value: impl Fn(&'a ParsedEndpoint) -> &'a T,
    findings: &mut Findings,
) {
    let mut first_with: BTreeMap<&T, &ParsedEndpoint> = BTreeMap::new();
    for endpoint in endpoints {
        let first = *first_with.entry(value(endpoint)).or_insert(endpoint);
        if !std::ptr::eq(first, endpoint) {
            findings.push(endpoint.field(field).finding(
                format!("a unique {field}"),
                format!("{}, also at line {}", value(endpoint), first.node.line),
            ));
        }
    }
}

fn check_empty_pools(
    filled: &FilledTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) {
    let place = parsed_workspace.field("endpoints");
    for name in &filled.pool_names {
        let mut endpoints = parsed_workspace.endpoints.iter();
        if !endpoints.any(|endpoint| endpoint.pool.as_str() == name) {
            findings.push(place.finding(format!("an endpoint in pool {name}"), "none"));
        }
    }
}

fn configuration(
    parsed_template: &ParsedTemplate,
    parsed_workspace: &ParsedWorkspace,
    filled: &FilledTemplate,
) -> Option<Configuration> {
    let services = filled.services.iter();
    let pools = filled.pools.iter();
    Some(Configuration {
        generation: Generation::default(),
        workspace: parsed_workspace.name.clone()?,
        template: parsed_template.name.clone()?,
        services: services.map(|filled| filled.service.clone()).collect(),
        pools: pools
            .map(|pool| build_pool(pool, parsed_workspace))
            .collect(),
        spare_pool: filled.spare_pool.clone(),
    })
}

fn build_pool(pool: &FilledPool, parsed_workspace: &ParsedWorkspace) -> Pool {
    let endpoints = parsed_workspace.endpoints.iter();
    let in_pool = endpoints.filter(|endpoint| endpoint.pool == pool.name);
    Pool {
        name: pool.name.clone(),
        endpoints: in_pool
            .map(|endpoint| build_endpoint(endpoint, pool))
            .collect(),
    }
}

fn build_endpoint(endpoint: &ParsedEndpoint, pool: &FilledPool) -> Endpoint {
    Endpoint {
        instance: endpoint.instance.clone(),
        availability_zone: endpoint.availability_zone.clone(),
        rack: endpoint.rack.clone(),
        address: endpoint.address,
        slots: pool.slots,
        connections: pool.connections,
    }
}
