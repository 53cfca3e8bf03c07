//! Ownership planner: which process claims which shard, and when.

use std::collections::BTreeSet;

use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipPlanner;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::ownership::Peer;
use cornelpoint::ownership::StoreAvailability;
use cornelpoint::ownership::StoreCallResult;

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

fn receive_all_heartbeats(planner: &mut OwnershipPlanner, now_ms: u64) {
    for node in NODES {
        planner.heartbeat_received(node, peer(true), now_ms);
    }
}

#[test]
fn processes_that_start_together_claim_one_pool_each() {
    let mut claimed = BTreeSet::new();
    for node in NODES {
        let mut planner = planner(node);
        receive_all_heartbeats(&mut planner, 650);
        let claims = planner.due_claims(700);
        assert_eq!(claims.len(), 1, "{node}");
        claimed.insert(claims[0].shard.clone());
    }
    assert_eq!(claimed.len(), POOLS.len());
}

/// Guards against a pool whose owner has too little CPU in a surge: an instance
/// with an eighth of a core owned one while instances with half a core owned
/// none.
#[test]
fn instances_with_more_cpu_own_pools_first() {
    let large = ["a-1", "b-1"];
    let mut claimed = Vec::new();
    for node in NODES {
        let millicores = |node: &str| if large.contains(&node) { 500 } else { 120 };
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
        claimed.iter().all(|(node, _)| large.contains(node)),
        "{claimed:?}"
    );
}

#[test]
fn a_responsive_owner_keeps_its_pool() {
    let mut planner = planner("a-1");
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, false)), 10, 0);
    }
    for now_ms in (1000..20_000).step_by(400) {
        receive_all_heartbeats(&mut planner, now_ms);
        assert!(planner.due_claims(now_ms).is_empty());
    }
}

/// Guards against owners that change several times a second in a partition
/// between availability zones, when both sides reach the store but receive no
/// heartbeats from each other.
#[test]
fn an_unresponsive_owner_with_a_fresh_store_heartbeat_is_not_replaced() {
    let mut planner = planner("a-1");
    receive_all_heartbeats(&mut planner, 0);
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
fn a_released_pool_is_claimed_at_once_with_the_next_token() {
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
fn a_process_with_few_responsive_peers_delays_its_claims() {
    let mut planner = planner("a-1");
    receive_all_heartbeats(&mut planner, 1000);
    for pool in POOLS {
        planner.owner_read(pool, Some(row("b-1", 5, true)), 10, 3000);
    }
    assert!(!planner.most_peers_responsive(3000));
    assert!(planner.due_claims(3000).is_empty());
    let wait_ms = OwnershipSettings::default().partition_claim_delay_ms;
    assert!(!planner.due_claims(3000 + wait_ms).is_empty());
}

#[test]
fn throttled_calls_are_not_an_outage_of_the_store() {
    let mut store = StoreAvailability::default();
    for now_ms in (1000..6000).step_by(100) {
        store.record(StoreCallResult::Throttled, now_ms, now_ms);
        assert_eq!(store.available_since_ms(), 0, "at {now_ms} ms");
        store.record(StoreCallResult::Answered, now_ms + 50, now_ms + 50);
        assert_eq!(store.available_since_ms(), 0, "at {now_ms} ms");
    }
}

#[test]
fn single_failures_are_not_an_outage_of_the_store() {
    let mut store = StoreAvailability::default();
    for now_ms in (1000..6000).step_by(400) {
        store.record(StoreCallResult::Failed, now_ms, now_ms);
        assert!(store.is_available(now_ms + 300));
        store.record(StoreCallResult::Answered, now_ms + 300, now_ms + 300);
        assert_eq!(store.available_since_ms(), 0, "at {now_ms} ms");
    }
}

#[test]
fn a_process_whose_calls_are_all_throttled_has_no_store() {
    let mut store = StoreAvailability::default();
    for now_ms in (1000..2000).step_by(100) {
        store.record(StoreCallResult::Throttled, now_ms, now_ms);
    }
    assert!(!store.is_available(2000));
}

#[test]
fn an_outage_in_which_calls_hang_begins_with_the_first_of_them() {
    let mut store = StoreAvailability::default();
    store.record(StoreCallResult::Answered, 1400, 1400);
    store.record(StoreCallResult::Failed, 1500, 3000);
    store.record(StoreCallResult::Answered, 3100, 3100);
    assert_eq!(store.available_since_ms(), 3100);
}

#[test]
fn a_call_that_hangs_beside_others_that_succeed_is_not_an_outage() {
    let mut store = StoreAvailability::default();
    store.record(StoreCallResult::Answered, 2900, 2900);
    store.record(StoreCallResult::Failed, 1500, 3000);
    store.record(StoreCallResult::Answered, 3100, 3100);
    assert_eq!(store.available_since_ms(), 0);
}

#[test]
fn an_outage_of_the_store_ends_with_the_first_response() {
    let mut store = StoreAvailability::default();
    store.record(StoreCallResult::Failed, 1000, 1000);
    store.record(StoreCallResult::Failed, 3000, 3000);
    assert_eq!(store.available_since_ms(), u64::MAX);
    store.record(StoreCallResult::Throttled, 3500, 3500);
    assert_eq!(store.available_since_ms(), 3500);
    assert_eq!(
        store.record(StoreCallResult::Answered, 3600, 3600),
        Some(2600)
    );
    assert_eq!(store.available_since_ms(), 3500);
}

/// A process that starts after its instance's clock was set back has an earlier
/// start time than its predecessor.
#[test]
fn a_process_restarted_after_its_clock_was_set_back_is_responsive() {
    let mut planner = planner("a-1");
    let started_at = |started_unix_ms| Peer {
        started_unix_ms,
        ..peer(true)
    };
    planner.heartbeat_received("b-1", started_at(10_000), 1000);
    for now_ms in (5000..9000).step_by(400) {
        planner.heartbeat_received("b-1", started_at(4000), now_ms);
    }
    assert!(planner.is_responsive("b-1", 9000));
}
