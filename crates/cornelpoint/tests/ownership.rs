//! Ownership planner: which process claims which shard, and when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::ownership::HeartbeatSchedule;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipPlanner;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::ownership::Peer;
use cornelpoint::ownership::Recipients;
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
        heartbeat_interval_ms: 0,
        relinquished: BTreeMap::new(),
    }
}

fn row(node: &str, started_unix_ms: u64, released: bool) -> OwnerRow {
    OwnerRow {
        node: node.to_owned(),
        started_unix_ms,
        address: "10.0.0.1:7060".to_owned(),
        fencing_token: 3,
        earlier_over_store_ms: 0,
        earlier_ended: true,
        grants_by_quorum: true,
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

/// Guards against owners that count as unresponsive between any two of their
/// heartbeats: among a hundred processes these are more than a second apart.
#[test]
fn peers_are_responsive_between_heartbeats_of_the_announced_interval() {
    for peers in [8, 31, 96, 300] {
        let interval_ms = HeartbeatSchedule::interval_ms(peers, false);
        let mut planner = planner("a-1");
        let mut now_ms = 700;
        while now_ms < 60_000 {
            for node in NODES {
                let heartbeat_interval_ms = interval_ms;
                let peer = Peer {
                    heartbeat_interval_ms,
                    ..peer(true)
                };
                planner.heartbeat_received(node, peer, now_ms);
            }
            now_ms += interval_ms;
            assert!(planner.is_responsive("b-1", now_ms - 1), "{peers} peers");
        }
        assert!(!planner.is_responsive("b-1", now_ms + interval_ms * 3 + 1000));
    }
}

/// An owner is replaced as soon as its store heartbeat allows it, however many
/// processes there are.
#[test]
fn a_lost_owner_is_noticed_within_the_timeout_of_its_store_heartbeat() {
    let settings = OwnershipSettings::default();
    for peers in [8, 31, 96, 300] {
        let heartbeat_interval_ms = HeartbeatSchedule::interval_ms(peers, true);
        let mut planner = planner("a-1");
        let peer = Peer {
            heartbeat_interval_ms,
            ..peer(true)
        };
        planner.heartbeat_received("b-1", peer, 700);
        let noticed_ms = 700 + settings.store_heartbeat_timeout_ms;
        assert!(!planner.is_responsive("b-1", noticed_ms), "{peers} peers");
    }
}

/// Guards against an interval that keeps a lost peer responsive for ever.
#[test]
fn an_excessive_heartbeat_interval_is_limited() {
    let mut planner = planner("a-1");
    let peer = Peer {
        heartbeat_interval_ms: u64::MAX,
        ..peer(true)
    };
    planner.heartbeat_received("b-1", peer, 700);
    let retention_ms = OwnershipSettings::default().peer_retention_ms;
    assert!(!planner.is_responsive("b-1", 700 + retention_ms));
}

/// Replays the changes of a surge among 97 processes: a worker to vacate, a
/// vacated worker and a change of load every 12 ms.
#[test]
fn changes_in_a_surge_reach_the_owners_only() {
    let mut schedule = HeartbeatSchedule::default();
    let interval_ms = HeartbeatSchedule::interval_ms(96, true);
    let (mut to_all, mut to_owners) = (0_u64, 0_u64);
    for now_ms in 10_000..20_000 {
        if now_ms % 12 == 0 {
            schedule.request(Recipients::FleetOwner);
            schedule.request(Recipients::PoolOwners);
        }
        let recipients = schedule.take_due(now_ms, interval_ms);
        to_all += u64::from(recipients.contains(&Recipients::All));
        to_owners += u64::from(recipients.contains(&Recipients::FleetOwner));
    }
    assert_eq!(to_all, 10_000_u64.div_ceil(interval_ms));
    // At most every 20 ms, at least after every second change.
    assert!((416..=500).contains(&to_owners), "{to_owners}");
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

/// Guards against tasks that run twice: the store carried a claim out seconds after it was
/// sent, and a later owner took the former one to have stopped as much too early.
#[test]
fn the_owner_before_a_claim_that_was_carried_out_late_is_taken_to_have_stopped() {
    let claimed = OwnerRow {
        earlier_ended: false,
        ..row("b-1", 5, false)
    };
    let mut planner = planner("a-1");
    planner.owner_read(POOLS[0], Some(claimed), 7, 9000);
    let unconfirmed_ms = OwnershipSettings::default().max_unconfirmed_ms;
    let act_until_ms = planner.earlier_owners_act_until_ms(POOLS[0]);
    assert_eq!(act_until_ms, Some(9000 + unconfirmed_ms));
}

/// Guards against a successor that waits for an owner which has stopped to act.
#[test]
fn an_owner_that_has_relinquished_a_shard_is_waited_for() {
    let mut planner = planner("a-1");
    let owner = row("b-1", 5, false);
    assert!(!planner.has_relinquished(POOLS[0], &owner));
    for (token, stopped) in [(2, false), (3, true), (4, true)] {
        let relinquished = BTreeMap::from([(POOLS[0].to_owned(), token)]);
        let peer = Peer {
            relinquished,
            ..peer(true)
        };
        planner.heartbeat_received("b-1", peer, 1000);
        assert_eq!(planner.has_relinquished(POOLS[0], &owner), stopped);
        assert!(!planner.has_relinquished(POOLS[1], &owner));
        assert!(!planner.has_relinquished(POOLS[0], &row("b-1", 4, false)));
    }
}

#[test]
fn owners_that_had_ended_when_a_pool_was_claimed_are_not_waited_for() {
    let mut planner = planner("a-1");
    planner.owner_read(POOLS[0], Some(row("b-1", 5, false)), 7, 9000);
    assert_eq!(planner.earlier_owners_act_until_ms(POOLS[0]), None);
}
