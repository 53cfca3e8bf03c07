//! Which process claims which shard, and when.

use std::collections::BTreeSet;

use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipPlanner;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::ownership::Peer;

const NODES: [&str; 4] = ["a-1", "a-2", "b-1", "c-1"];
const POOLS: [&str; 4] = ["quoting", "design", "controller", "compliance"];

fn peer(has_store: bool) -> Peer {
    Peer {
        address: "10.0.0.1:7060".to_owned(),
        started_unix_ms: 5,
        leaving: false,
        has_store,
        millicores: 1000,
    }
}

fn row(node: &str, started_unix_ms: u64, released: bool) -> OwnerRow {
    OwnerRow {
        node: node.to_owned(),
        started_unix_ms,
        address: "10.0.0.1:7060".to_owned(),
        fencing_token: 3,
        earlier_over_store_ms: 0,
        released,
    }
}

fn planner(node: &str) -> OwnershipPlanner {
    let mut planner = OwnershipPlanner::new(node, 5, 0, OwnershipSettings::default());
    for pool in POOLS {
        planner.add_shard(pool, 0);
    }
    planner
}

fn hear_all(planner: &mut OwnershipPlanner, now_ms: u64) {
    for node in NODES {
        planner.heartbeat_received(node, peer(true), now_ms);
    }
}

#[test]
fn processes_that_start_together_claim_one_pool_each() {
    let mut claimed = BTreeSet::new();
    for node in NODES {
        let mut planner = planner(node);
        hear_all(&mut planner, 650);
        let claims = planner.due_claims(700);
        assert_eq!(claims.len(), 1, "{node}");
        claimed.insert(claims[0].shard.clone());
    }
    assert_eq!(claimed.len(), POOLS.len());
}

/// A surge on the grown futopalya-ops: a pool's owner had an eighth of a core
/// while instances with half a core owned nothing.
#[test]
fn strong_instances_own_pools_before_weak_ones() {
    let strong = ["a-1", "b-1"];
    let mut claimed = Vec::new();
    for node in NODES {
        let millicores = |node: &str| if strong.contains(&node) { 500 } else { 120 };
        let mut planner = planner(node);
        planner.set_millicores(millicores(node));
        for other in NODES {
            let peer = Peer {
                millicores: millicores(other),
                ..peer(true)
            };
            planner.heartbeat_received(other, peer, 650);
        }
        let claims = planner.due_claims(700);
        claimed.extend(claims.into_iter().map(|claim| (node, claim.shard)));
    }
    assert_eq!(claimed.len(), POOLS.len());
    assert!(
        claimed.iter().all(|(node, _)| strong.contains(node)),
        "{claimed:?}"
    );
}

#[test]
fn an_owner_that_is_heard_keeps_its_pool() {
    let mut planner = planner("a-1");
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, false)), 10, 0);
    }
    for now_ms in (1000..20_000).step_by(400) {
        hear_all(&mut planner, now_ms);
        assert!(planner.due_claims(now_ms).is_empty());
    }
}

/// Owners changed several times a second behind a zone cut: both sides reached
/// the store, and neither heard the other.
#[test]
fn an_owner_that_is_only_unheard_is_checked_in_the_store() {
    let mut planner = planner("a-1");
    hear_all(&mut planner, 0);
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, false)), 10, 0);
    }
    planner.heartbeat_received("a-2", peer(true), 9000);
    planner.heartbeat_received("c-1", peer(true), 9000);
    let claims = planner.due_claims(9500);
    assert!(!claims.is_empty());
    assert!(claims.iter().all(|claim| claim.check_store_heartbeat));
    for pool in POOLS {
        planner.store_heartbeat_read(pool, 300, 9500);
    }
    assert!(planner.due_claims(9600).is_empty());
}

#[test]
fn a_released_pool_is_taken_at_once_with_the_next_token() {
    let mut planner = planner("a-1");
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, true)), 10, 1000);
    }
    let claims = planner.due_claims(1000);
    assert_eq!(claims.len(), POOLS.len());
    let claim = &claims[0];
    assert_eq!((claim.fencing_token, claim.expected_version), (4, 10));
    assert!(claim.predecessor_ended && !claim.check_store_heartbeat);
}

#[test]
fn a_process_that_hears_few_peers_waits_longer() {
    let mut planner = planner("a-1");
    hear_all(&mut planner, 1000);
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, true)), 10, 3000);
    }
    assert!(!planner.most_peers_responsive(3000));
    assert!(planner.due_claims(3000).is_empty());
    let wait_ms = OwnershipSettings::default().partition_claim_delay_ms;
    assert!(!planner.due_claims(3000 + wait_ms).is_empty());
}
