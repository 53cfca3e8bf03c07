//! Facts between processes: whatever the order, nothing goes back.

use std::env;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::deployment::Deployment;
use cornelpoint::name::InstanceId;
use cornelpoint::rendezvous::choose_several;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

fn generator() -> ChaCha8Rng {
    let seed = env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    ChaCha8Rng::seed_from_u64(seed)
}

fn endpoint() -> InstanceId {
    InstanceId::try_from("quoting-1").unwrap()
}

fn mark(epoch: u64, accepts_work: bool, cause: MarkCause) -> Update {
    Update {
        configuration: None,
        marks: vec![EndpointMark {
            instance: endpoint(),
            epoch,
            accepts_work,
            cause,
        }],
    }
}

/// All that a process knows, in an order that does not depend on when.
fn known(facts: &ReplicatedState) -> (Generation, Vec<&EndpointMark>) {
    (facts.generation(), facts.marks().collect())
}

fn configuration(generation: u64) -> Update {
    Update {
        configuration: Some(Configuration {
            generation: Generation(generation),
            ..Deployment::Futopalya.configuration().unwrap()
        }),
        marks: Vec::new(),
    }
}

#[test]
fn a_lower_generation_is_never_adopted() {
    let mut facts = ReplicatedState::default();
    assert!(facts.apply(configuration(5)).configuration);
    assert!(!facts.apply(configuration(4)).configuration);
    assert!(!facts.apply(configuration(5)).configuration);
    assert_eq!(facts.generation(), Generation(5));
}

#[test]
fn a_stale_list_does_not_bring_a_drained_endpoint_back() {
    let mut facts = ReplicatedState::default();
    facts.apply(mark(1, false, MarkCause::Operator));
    facts.apply(mark(9, true, MarkCause::InstanceList));
    assert!(!facts.accepts_work(&endpoint()));
    facts.apply(mark(2, true, MarkCause::Operator));
    assert!(facts.accepts_work(&endpoint()));
}

#[test]
fn processes_agree_whatever_the_order_of_updates() {
    let mut generator = generator();
    for _ in 0..200 {
        let mut updates = Vec::new();
        for _ in 0..12 {
            let cause = match generator.random_range(0..3) {
                0 => MarkCause::Operator,
                1 => MarkCause::Endpoint,
                _ => MarkCause::InstanceList,
            };
            updates.push(mark(
                generator.random_range(1..5),
                generator.random(),
                cause,
            ));
            updates.push(configuration(generator.random_range(1..9)));
        }
        let mut first = ReplicatedState::default();
        let mut second = ReplicatedState::default();
        for update in updates.clone() {
            let before = first.generation();
            first.apply(update);
            assert!(first.generation() >= before);
        }
        updates.shuffle(&mut generator);
        for update in updates {
            second.apply(update.clone());
            second.apply(update);
        }
        assert_eq!(known(&first), known(&second));
    }
}

#[test]
fn a_reader_that_asks_for_changes_knows_all_that_the_other_does() {
    let mut generator = generator();
    let mut facts = ReplicatedState::new(1);
    let mut reader = ReplicatedState::new(2);
    let mut position = None;
    for _ in 0..500 {
        let cause = match generator.random_range(0..2) {
            0 => MarkCause::Operator,
            _ => MarkCause::InstanceList,
        };
        facts.apply(mark(
            generator.random_range(1..50),
            generator.random(),
            cause,
        ));
        if generator.random_range(0..20) == 0 {
            facts.apply(configuration(generator.random_range(1..50)));
        }
        if generator.random_range(0..3) == 0 {
            let update = facts.since(position, reader.generation());
            assert!(update.marks.len() <= 2);
            reader.apply(update);
            position = Some(facts.position());
            assert_eq!(known(&reader), known(&facts));
        }
    }
}

#[test]
fn a_configuration_known_from_another_is_not_sent_again() {
    let mut facts = ReplicatedState::new(1);
    facts.apply(configuration(5));
    assert!(facts.since(None, Generation(5)).is_empty());
    assert!(facts.since(None, Generation(4)).configuration.is_some());
}

#[test]
fn a_position_of_an_earlier_start_gets_everything() {
    let mut facts = ReplicatedState::new(2);
    facts.apply(mark(1, false, MarkCause::Operator));
    let earlier = cornelpoint::replication::Position {
        incarnation: 1,
        change: 99,
    };
    assert_eq!(facts.since(Some(earlier), Generation(0)).marks.len(), 1);
}

#[test]
fn a_change_of_members_moves_only_the_keys_of_the_member_that_went() {
    let members: Vec<InstanceId> = (1..=9)
        .map(|number| InstanceId::try_from(format!("entry-{number}")).unwrap())
        .collect();
    for key_hash in 0..200 {
        let before = choose_several(key_hash, &members, 1);
        let gone = &members[4];
        let after = choose_several(key_hash, members.iter().filter(|m| *m != gone), 1);
        assert!(before == after || before == [gone]);
    }
}
