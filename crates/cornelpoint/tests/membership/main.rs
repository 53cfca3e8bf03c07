//! Tests of the membership protocol over a simulated network in virtual time.
//! They kill and freeze members, cut links and lose datagrams, and check the
//! view of each member.

mod network;

use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::membership::Membership;
use cornelpoint::membership::MembershipSettings;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;

use self::network::Network;

/// Longest time until the other members must know that a member has failed.
const DETECTION_MS: u64 = 5_000;

#[test]
fn members_find_each_other_through_seeds() {
    let mut network = Network::new(9, 1);
    network.run_ms(3_000);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
}

#[test]
fn a_killed_member_is_removed_from_every_view() {
    let mut network = Network::new(9, 2);
    network.run_ms(3_000);
    network.kill(4);
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
}

#[test]
fn a_leaving_member_is_removed_from_every_view_at_once() {
    let mut network = Network::new(9, 3);
    network.run_ms(3_000);
    network.leave(4);
    network.run_ms(700);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
}

#[test]
fn a_frozen_member_detects_its_pause_and_rejoins() {
    let mut network = Network::new(9, 4);
    network.run_ms(3_000);
    let incarnation = network.incarnation(4);
    network.freeze(4);
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
    network.thaw(4);
    assert!(network.detects_its_pause(4));
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
    assert!(network.incarnation(4) > incarnation);
}

#[test]
fn ten_percent_datagram_loss_fails_no_member() {
    let mut network = Network::new(9, 5);
    network.run_ms(3_000);
    network.set_loss_percent(10);
    for _ in 0..60 {
        network.run_ms(1_000);
        assert_eq!(network.failed_statuses(), 0);
    }
}

#[test]
fn a_broken_link_between_two_members_fails_neither() {
    let mut network = Network::new(9, 6);
    network.run_ms(3_000);
    network.cut_link(1, 2);
    network.cut_link(2, 1);
    network.run_ms(20_000);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
}

#[test]
fn partitioned_halves_run_separately_and_merge_again() {
    let mut network = Network::new(8, 7);
    network.run_ms(3_000);
    network.partition_network(4);
    network.run_ms(2 * DETECTION_MS);
    assert_eq!(network.present_at(0), [0, 1, 2, 3]);
    assert_eq!(network.present_at(7), [4, 5, 6, 7]);
    network.heal();
    network.run_ms(3 * DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
}

#[test]
fn simultaneous_failure_of_half_of_the_members_is_detected() {
    let mut network = Network::new(8, 8);
    network.run_ms(3_000);
    for member in 4..8 {
        network.kill(member);
    }
    network.run_ms(2 * DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3]));
}

#[test]
fn all_members_can_be_replaced_one_after_another() {
    let mut network = Network::new(8, 9);
    network.run_ms(3_000);
    for member in 0..8 {
        network.kill(member);
        network.start(8 + member);
        network.run_ms(DETECTION_MS);
    }
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[8, 9, 10, 11, 12, 13, 14, 15]));
}

#[test]
fn updates_per_message_are_bounded_for_any_number_of_members() {
    let mut network = Network::new(60, 10);
    network.run_ms(10_000);
    assert!(network.max_updates() <= 9);
}

/// Guards against datagrams that make a process remember members without end.
#[test]
fn no_more_than_the_limit_of_members_is_known() {
    let member = |name: &str, status: MemberStatus| Member {
        instance: InstanceId::try_from(name).unwrap(),
        availability_zone: AvailabilityZone::try_from("a").unwrap(),
        incarnation: 1,
        status,
        keeper_address: ([127, 0, 0, 1], 7001).into(),
        gossip_address: ([127, 0, 0, 1], 7002).into(),
    };
    let settings = MembershipSettings {
        max_members: 3,
        ..MembershipSettings::default()
    };
    let own = member("own", MemberStatus::Live);
    let mut membership = Membership::new(own, Vec::new(), settings, 1, 0);
    let updates = [
        ("failed", MemberStatus::Failed),
        ("one", MemberStatus::Live),
        ("two", MemberStatus::Live),
        ("three", MemberStatus::Live),
    ];
    let updates = updates.map(|(name, status)| member(name, status));
    for (now_ms, from) in (1..).zip(updates) {
        let updates = Vec::new();
        let sequence = now_ms;
        let ping = GossipMessage::Ping {
            sequence,
            from,
            updates,
        };
        membership.receive(ping, now_ms);
    }
    let known: Vec<_> = membership
        .members()
        .map(|member| member.instance.as_str().to_owned())
        .collect();
    assert_eq!(known, ["own", "one", "three", "two"]);
    let further = GossipMessage::Ping {
        sequence: 9,
        from: member("four", MemberStatus::Live),
        updates: vec![member("one", MemberStatus::Left)],
    };
    membership.receive(further, 9);
    let present: Vec<_> = membership
        .present()
        .map(|member| member.instance.as_str().to_owned())
        .collect();
    assert_eq!(present, ["own", "three", "two"]);
}
