use std::collections::BTreeMap;

use super::parsed_endpoint::ParsedEndpoint;
use super::parsed_workspace::ParsedWorkspace;
use crate::configuration::Service;
use crate::document::Node;
use crate::finding::Findings;
use crate::name::Rack;
use crate::template::FilledService;

/// Checks that a service's availability budget allows one endpoint of its pool
/// to be unavailable, and that it covers the loss of any one rack.
pub(super) fn check_budget(
    filled: &FilledService,
    endpoints: &[ParsedEndpoint],
    findings: &mut Findings,
) {
    let service = &filled.service;
    let in_pool: Vec<&ParsedEndpoint> = endpoints
        .iter()
        .filter(|endpoint| endpoint.pool == service.pool)
        .collect();
    if in_pool.is_empty() {
        return;
    }
    let max_unavailable = max_unavailable_endpoints(service, in_pool.len());
    let budget = filled.node.field("availability_budget_percent");
    let place = budget.unwrap_or(&filled.node);
    if max_unavailable == 0 {
        report_too_small_budget(service, in_pool.len(), place, findings);
        return;
    }
    let (rack, in_rack) = largest_rack(&in_pool);
    if in_rack > max_unavailable {
        findings.push(place.finding(
            format!(
                "a budget that covers the loss of one rack: at most {max_unavailable} endpoints of pool {} in a rack",
                service.pool
            ),
            format!("{in_rack} in rack {rack}"),
        ));
    }
}

/// Returns how many endpoints may be unavailable at once under the service's availability budget.
fn max_unavailable_endpoints(service: &Service, in_pool: usize) -> usize {
    let percent = usize::try_from(service.availability_budget_percent).unwrap_or(usize::MAX);
    in_pool.saturating_mul(percent) / 100
}

fn report_too_small_budget(
    service: &Service,
    in_pool: usize,
    place: &Node,
    findings: &mut Findings,
) {
    let least_percent = 100_usize.div_ceil(in_pool);
    findings.push(place.finding(
        format!(
            "at least {least_percent} percent, so that one of the {in_pool} endpoints of pool {} may be unavailable",
            service.pool
        ),
        service.availability_budget_percent.to_string(),
    ));
}

fn largest_rack<'a>(in_pool: &[&'a ParsedEndpoint]) -> (&'a Rack, usize) {
    let mut counts: BTreeMap<&Rack, usize> = BTreeMap::new();
    for endpoint in in_pool {
        *counts.entry(&endpoint.rack).or_default() += 1;
    }
    let largest = counts.into_iter().max_by_key(|(_, count)| *count);
    largest.expect("a pool with endpoints has a rack")
}

/// Checks that all endpoints of a rack are in one availability zone.
pub(super) fn check_racks(parsed_workspace: &ParsedWorkspace, findings: &mut Findings) {
    let mut first_in_rack: BTreeMap<&Rack, &ParsedEndpoint> = BTreeMap::new();
    let in_known_zones = parsed_workspace.endpoints.iter().filter(|endpoint| {
        let zones = parsed_workspace.availability_zones.as_ref();
        zones.is_none_or(|zones| zones.contains(&endpoint.availability_zone))
    });
    for endpoint in in_known_zones {
        let first = *first_in_rack.entry(&endpoint.rack).or_insert(endpoint);
        if first.availability_zone != endpoint.availability_zone {
            findings.push(endpoint.field("availability_zone").finding(
                format!(
                    "availability zone {} as for the rest of rack {}",
                    first.availability_zone, endpoint.rack
                ),
                endpoint.availability_zone.as_str(),
            ));
        }
    }
}
