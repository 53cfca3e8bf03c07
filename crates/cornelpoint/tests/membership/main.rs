//! Membership over a fake network in virtual time: kills, freezes, cuts and
//! losses go in, what each member thinks comes out.

mod network;

use self::network::Network;

/// Longest time in which a member that is gone must be known to be so.
const DETECTION_MS: u64 = 5_000;

#[test]
fn members_find_each_other_through_one_seed() {
    let mut network = Network::new(9, 1);
    network.run_ms(3_000);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
}

#[test]
fn a_killed_member_is_gone_for_all() {
    let mut network = Network::new(9, 2);
    network.run_ms(3_000);
    network.kill(4);
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
}

#[test]
fn a_member_that_says_it_leaves_is_gone_at_once() {
    let mut network = Network::new(9, 3);
    network.run_ms(3_000);
    network.leave(4);
    network.run_ms(700);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
}

#[test]
fn a_frozen_member_knows_that_it_was_and_comes_back() {
    let mut network = Network::new(9, 4);
    network.run_ms(3_000);
    let incarnation = network.incarnation(4);
    network.freeze(4);
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 5, 6, 7, 8]));
    network.thaw(4);
    assert!(network.notices_its_pause(4));
    network.run_ms(DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
    assert!(network.incarnation(4) > incarnation);
}

#[test]
fn losses_of_a_tenth_suspect_nobody_for_good() {
    let mut network = Network::new(9, 5);
    network.run_ms(3_000);
    network.lose_percent(10);
    for _ in 0..60 {
        network.run_ms(1_000);
        assert_eq!(network.failed_words(), 0);
    }
}

#[test]
fn a_link_cut_between_two_members_fails_neither() {
    let mut network = Network::new(9, 6);
    network.run_ms(3_000);
    network.cut(1, 2);
    network.cut(2, 1);
    network.run_ms(20_000);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
}

#[test]
fn cut_halves_live_alone_and_join_again() {
    let mut network = Network::new(8, 7);
    network.run_ms(3_000);
    network.split(4);
    network.run_ms(2 * DETECTION_MS);
    assert_eq!(network.present_at(0), [0, 1, 2, 3]);
    assert_eq!(network.present_at(7), [4, 5, 6, 7]);
    network.heal();
    network.run_ms(3 * DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
}

#[test]
fn half_of_the_members_gone_at_once_are_found_out() {
    let mut network = Network::new(8, 8);
    network.run_ms(3_000);
    for member in 4..8 {
        network.kill(member);
    }
    network.run_ms(2 * DETECTION_MS);
    assert!(network.all_agree_on(&[0, 1, 2, 3]));
}

#[test]
fn all_are_replaced_one_after_another() {
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
fn a_message_is_bounded_whatever_the_number_of_members() {
    let mut network = Network::new(60, 10);
    network.run_ms(10_000);
    assert!(network.largest_news() <= 9);
}
