use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::control::ControlError;
use cornelpoint_daemon::message::KeeperStatus;
use serde::Serialize;

use super::diff::KEEPER_TIMEOUT;
use super::failure::Failure;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Combined status of all keepers that answered.
#[derive(Debug, Serialize)]
struct FleetStatus {
    /// Lowest generation that a gateway applies; `None` if no gateway reports to a keeper.
    lowest_applied: Option<Generation>,
    /// Newest generation that a keeper knows.
    newest_known: Generation,
    /// Keepers that answered.
    keepers: Vec<KeeperStatus>,
    /// Members whose keeper did not answer.
    #[serde(rename = "silent")]
    unresponsive: Vec<InstanceId>,
}

/// Requests the status of the keeper, then of every other member that it knows.
pub(super) fn run(keeper: SocketAddr) -> Result<CommandOutput, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    let first = query(&client, keeper)?;
    let mut keepers = BTreeMap::new();
    let mut unresponsive = Vec::new();
    for member in &first.members {
        if member.instance == first.instance {
            continue;
        }
        match query(&client, member.keeper_address) {
            Ok(status) => drop(keepers.insert(status.instance.clone(), status)),
            Err(_) => unresponsive.push(member.instance.clone()),
        }
    }
    keepers.insert(first.instance.clone(), first);
    let status = combine(keepers.into_values().collect(), unresponsive);
    Ok(CommandOutput::new(ExitStatus::Done, text(&status), &status))
}

fn query(client: &ControlClient, keeper: SocketAddr) -> Result<KeeperStatus, ControlError> {
    client.get_json(keeper, "/operator/status")
}

fn combine(keepers: Vec<KeeperStatus>, unresponsive: Vec<InstanceId>) -> FleetStatus {
    let gateways = keepers.iter().flat_map(|keeper| &keeper.gateways);
    let newest = keepers.iter().map(|keeper| keeper.generation).max();
    FleetStatus {
        lowest_applied: gateways.map(|gateway| gateway.applied).min(),
        newest_known: newest.unwrap_or_default(),
        keepers,
        unresponsive,
    }
}

fn text(status: &FleetStatus) -> String {
    let mut lines = vec![match status.lowest_applied {
        Some(lowest) => format!(
            "generation {lowest} is in force everywhere, {} is the newest",
            status.newest_known
        ),
        None => format!(
            "no gateway reports, generation {} is the newest",
            status.newest_known
        ),
    }];
    for keeper in &status.keepers {
        lines.push(keeper_line(keeper));
        lines.extend(keeper.gateways.iter().map(|gateway| {
            format!(
                "  gateway {}: generation {}, {} ms ago",
                gateway.instance, gateway.applied, gateway.seen_ms_ago
            )
        }));
    }
    let unresponsive = status.unresponsive.iter();
    lines.extend(unresponsive.map(|instance| format!("keeper {instance}: no answer")));
    let marks = status.keepers.first().map(|keeper| &keeper.marks);
    let closed = marks
        .into_iter()
        .flatten()
        .filter(|mark| !mark.accepts_work);
    lines.extend(closed.map(|mark| format!("endpoint {}: takes no new work", mark.instance)));
    lines.join("\n")
}

fn keeper_line(keeper: &KeeperStatus) -> String {
    let platform = if keeper.platform_reachable {
        "platform answers"
    } else {
        "platform not polled or unresponsive"
    };
    format!(
        "keeper {} in {}: generation {}, {platform}",
        keeper.instance, keeper.availability_zone, keeper.generation
    )
}
