use std::collections::BTreeMap;

use super::change::Change;
use crate::configuration::Configuration;
use crate::configuration::Endpoint;
use crate::configuration::Pool;
use crate::configuration::Service;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;

/// Returns the changes from one configuration to another, ignoring generations.
///
/// ```
/// use cornelpoint::configuration::diff;
/// use cornelpoint::deployment::Deployment;
///
/// let before = Deployment::Kandy.configuration().unwrap();
/// let mut after = before.clone();
/// after.services[0].deadline_ms = 2500;
/// let changes = diff(&before, &after);
/// assert_eq!(changes[0].to_string(), "service galle: deadline_ms 3000 -> 2500");
/// ```
#[must_use]
pub fn diff(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    if before.template != after.template {
        changes.push(Change::Template {
            from: before.template.clone(),
            to: after.template.clone(),
        });
    }
    if before.spare_pool != after.spare_pool {
        changes.push(Change::SparePool {
            from: before.spare_pool.clone(),
            to: after.spare_pool.clone(),
        });
    }
    compare_services(before, after, &mut changes);
    compare_pools(before, after, &mut changes);
    compare_endpoints(before, after, &mut changes);
    changes
}

fn compare_services(before: &Configuration, after: &Configuration, changes: &mut Vec<Change>) {
    let before = services(before);
    let after = services(after);
    for (name, service) in &before {
        match after.get(name) {
            Some(other) => compare_service(service, other, changes),
            None => changes.push(Change::ServiceRemoved {
                service: (*name).clone(),
            }),
        }
    }
    let added = after.keys().filter(|name| !before.contains_key(*name));
    changes.extend(added.map(|name| Change::ServiceAdded {
        service: (*name).clone(),
    }));
}

fn services(configuration: &Configuration) -> BTreeMap<&ServiceName, &Service> {
    let services = configuration.services.iter();
    services.map(|service| (&service.name, service)).collect()
}

fn compare_service(before: &Service, after: &Service, changes: &mut Vec<Change>) {
    let pairs = service_fields(before)
        .into_iter()
        .zip(service_fields(after));
    for ((field, from), (_, to)) in pairs {
        if from != to {
            changes.push(Change::ServiceChanged {
                service: before.name.clone(),
                field: field.to_owned(),
                from,
                to,
            });
        }
    }
}

fn service_fields(service: &Service) -> [(&'static str, String); 11] {
    let methods: Vec<&str> = service
        .idempotent_methods
        .iter()
        .map(|method| method.as_str())
        .collect();
    [
        ("pool", service.pool.to_string()),
        ("deadline_ms", service.deadline_ms.to_string()),
        ("max_deadline_ms", service.max_deadline_ms.to_string()),
        ("max_body_bytes", service.max_body_bytes.to_string()),
        ("max_answer_bytes", service.max_answer_bytes.to_string()),
        ("queue_limit", service.queue_limit.to_string()),
        ("queue_limit_bytes", service.queue_limit_bytes.to_string()),
        ("retry_percent", service.retry_percent.to_string()),
        ("idempotent_methods", methods.join(",")),
        (
            "availability_budget_percent",
            service.availability_budget_percent.to_string(),
        ),
        (
            "declared_peak_per_s",
            service.declared_peak_per_s.to_string(),
        ),
    ]
}

fn compare_pools(before: &Configuration, after: &Configuration, changes: &mut Vec<Change>) {
    let has = |pools: &[Pool], name: &PoolName| pools.iter().any(|pool| pool.name == *name);
    for pool in &before.pools {
        if !has(&after.pools, &pool.name) {
            changes.push(Change::PoolRemoved {
                pool: pool.name.clone(),
            });
        }
    }
    for pool in &after.pools {
        if !has(&before.pools, &pool.name) {
            changes.push(Change::PoolAdded {
                pool: pool.name.clone(),
            });
        }
    }
}

/// An endpoint with the pool that it belongs to.
#[derive(Clone, Copy)]
struct PlacedEndpoint<'a> {
    pool: &'a PoolName,
    endpoint: &'a Endpoint,
}

fn compare_endpoints(before: &Configuration, after: &Configuration, changes: &mut Vec<Change>) {
    let before = endpoints(before);
    let after = endpoints(after);
    for (instance, placed) in &before {
        match after.get(instance) {
            Some(other) => compare_endpoint(*placed, *other, changes),
            None => changes.push(Change::EndpointRemoved {
                instance: (*instance).clone(),
                pool: placed.pool.clone(),
            }),
        }
    }
    for (instance, placed) in &after {
        if !before.contains_key(instance) {
            changes.push(Change::EndpointAdded {
                instance: (*instance).clone(),
                pool: placed.pool.clone(),
            });
        }
    }
}

fn endpoints(configuration: &Configuration) -> BTreeMap<&InstanceId, PlacedEndpoint<'_>> {
    let pools = configuration.pools.iter();
    pools
        .flat_map(|pool| pool.endpoints.iter().map(move |endpoint| (pool, endpoint)))
        .map(|(pool, endpoint)| {
            let placed = PlacedEndpoint {
                pool: &pool.name,
                endpoint,
            };
            (&endpoint.instance, placed)
        })
        .collect()
}

fn compare_endpoint(
    before: PlacedEndpoint<'_>,
    after: PlacedEndpoint<'_>,
    changes: &mut Vec<Change>,
) {
    if before.pool != after.pool {
        changes.push(Change::EndpointMoved {
            instance: before.endpoint.instance.clone(),
            from: before.pool.clone(),
            to: after.pool.clone(),
        });
    }
    let before = before.endpoint;
    let pairs = endpoint_fields(before)
        .into_iter()
        .zip(endpoint_fields(after.endpoint));
    for ((field, from), (_, to)) in pairs {
        if from != to {
            changes.push(Change::EndpointChanged {
                instance: before.instance.clone(),
                field: field.to_owned(),
                from,
                to,
            });
        }
    }
}

fn endpoint_fields(endpoint: &Endpoint) -> [(&'static str, String); 5] {
    [
        ("availability_zone", endpoint.availability_zone.to_string()),
        ("rack", endpoint.rack.to_string()),
        ("address", endpoint.address.to_string()),
        ("slots", endpoint.slots.to_string()),
        ("connections", endpoint.connections.to_string()),
    ]
}
