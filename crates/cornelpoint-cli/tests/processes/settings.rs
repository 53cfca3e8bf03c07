use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use super::fleet::ZONES;
use super::fleet::gateway_name;
use super::zone::Zone;

/// Settings of the platform stand-in, which lists the endpoints.
pub fn platform(listen: SocketAddr) -> Value {
    let live = |zone: &str| {
        json!({
            "instance": endpoint_name(zone),
            "availability_zone": zone,
            "state": "live",
            "epoch": 1,
            "keeper_address": null,
        })
    };
    json!({"listen": listen, "instances": ZONES.map(live)})
}

/// Settings of the endpoint stand-in of a zone.
pub fn endpoints(zone: &Zone) -> Value {
    json!({"endpoints": [{
        "instance": endpoint_name(zone.name),
        "listen": zone.endpoint,
        "control_listen": zone.endpoint_control,
    }]})
}

/// Settings of the keeper of a zone.
pub fn keeper(zones: &[Zone], number: usize, platform: SocketAddr) -> Value {
    let zone = &zones[number];
    let seeds: Vec<_> = zones[..number].iter().map(|zone| zone.gossip).collect();
    json!({
        "instance": format!("entry-{}", zone.name),
        "availability_zone": zone.name,
        "workspace": "hu-central",
        "listen": zone.keeper,
        "gossip_listen": zone.gossip,
        "seeds": seeds,
        "platform": platform,
    })
}

/// Settings of the gateway of a zone.
pub fn gateway(zones: &[Zone], number: usize, platform: SocketAddr) -> Value {
    let zone = &zones[number];
    let other = &zones[1 - number];
    json!({
        "instance": gateway_name(number),
        "availability_zone": zone.name,
        "listen": zone.callers,
        "control_listen": zone.gateway_control,
        "keepers": [zone.keeper, other.keeper],
        "platform": platform,
    })
}

/// Workspace with one endpoint in each zone.
pub fn workspace(zones: &[Zone]) -> Value {
    let endpoint = |zone: &Zone| {
        json!({
            "instance": endpoint_name(zone.name),
            "availability_zone": zone.name,
            "rack": format!("{}-rack-1", zone.name),
            "address": zone.endpoint,
            "pool": "quoting",
        })
    };
    let endpoints: Vec<Value> = zones.iter().map(endpoint).collect();
    json!({
        "workspace": "hu-central",
        "template": "small",
        "parameters": {},
        "availability_zones": ZONES,
        "endpoints": endpoints,
    })
}

/// Template with one service.
pub fn template(queue_limit: u64) -> Value {
    json!({
        "template": "small",
        "parameters": {},
        "services": {"quoting": {
            "pool": "quoting",
            "deadline_ms": 2000,
            "max_deadline_ms": 60_000,
            "max_body_bytes": 65_536,
            "max_answer_bytes": 1_048_576,
            "queue_limit": queue_limit,
            "queue_limit_bytes": 8_388_608,
            "retry_percent": 10,
            "idempotent_methods": ["GET", "HEAD", "PUT", "DELETE"],
            "availability_budget_percent": 50,
            "declared_peak_per_s": 100,
        }},
        "pools": {"quoting": {"slots": 8, "connections": 64}},
        "spare_pool": "quoting",
    })
}

fn endpoint_name(zone: &str) -> String {
    format!("quoting-{zone}")
}
