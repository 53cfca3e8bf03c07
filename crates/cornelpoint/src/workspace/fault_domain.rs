use std::collections::BTreeMap;

use super::draft::Draft;
use super::draft_endpoint::DraftEndpoint;
use crate::configuration::Service;
use crate::document::Node;
use crate::finding::Findings;
use crate::name::Rack;
use crate::template::FilledService;

/// Checks that a service's availability budget lets one endpoint be away, and
/// that the loss of one rack stays inside it.
pub(super) fn check_budget(
    filled: &FilledService,
    endpoints: &[DraftEndpoint],
    findings: &mut Findings,
) {
    let service = &filled.service;
    let in_pool: Vec<&DraftEndpoint> = endpoints
        .iter()
        .filter(|endpoint| endpoint.pool == service.pool)
        .collect();
    if in_pool.is_empty() {
        return;
    }
    let away = endpoints_away(service, in_pool.len());
    let budget = filled.node.field("availability_budget_percent");
    let place = budget.unwrap_or(&filled.node);
    if away == 0 {
        report_too_small(service, in_pool.len(), place, findings);
        return;
    }
    let (rack, in_rack) = largest_rack(&in_pool);
    if in_rack > away {
        findings.push(place.finding(
            format!(
                "a budget that the loss of one rack keeps: at most {away} endpoints of pool {} in a rack",
                service.pool
            ),
            format!("{in_rack} in rack {rack}"),
        ));
    }
}

/// Endpoints that may be away at once, by the service's availability budget.
fn endpoints_away(service: &Service, in_pool: usize) -> usize {
    let percent = usize::try_from(service.availability_budget_percent).unwrap_or(usize::MAX);
    in_pool.saturating_mul(percent) / 100
}

fn report_too_small(service: &Service, in_pool: usize, place: &Node, findings: &mut Findings) {
    let least_percent = 100_usize.div_ceil(in_pool);
    findings.push(place.finding(
        format!(
            "at least {least_percent} percent, so that one of the {in_pool} endpoints of pool {} may be away",
            service.pool
        ),
        service.availability_budget_percent.to_string(),
    ));
}

fn largest_rack<'a>(in_pool: &[&'a DraftEndpoint]) -> (&'a Rack, usize) {
    let mut counts: BTreeMap<&Rack, usize> = BTreeMap::new();
    for endpoint in in_pool {
        *counts.entry(&endpoint.rack).or_default() += 1;
    }
    let largest = counts.into_iter().max_by_key(|(_, count)| *count);
    largest.expect("a pool with endpoints has a rack")
}

/// Checks that endpoints of one rack stand in one availability zone.
pub(super) fn check_racks(draft: &Draft, findings: &mut Findings) {
    let mut first_in_rack: BTreeMap<&Rack, &DraftEndpoint> = BTreeMap::new();
    let in_known_zones = draft.endpoints.iter().filter(|endpoint| {
        let zones = draft.availability_zones.as_ref();
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
