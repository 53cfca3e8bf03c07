//! Replicated state: updates converge in any order, and none of them reverts a
//! newer one.

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

/// Generation and marks of a process's state, in an order that does not depend
/// on that of the updates.
fn snapshot(state: &ReplicatedState) -> (Generation, Vec<&EndpointMark>) {
    (state.generation(), state.marks().collect())
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
fn only_a_higher_generation_is_applied() {
    let mut state = ReplicatedState::default();
    assert!(state.apply(configuration(5)).configuration);
    assert!(!state.apply(configuration(4)).configuration);
    assert!(!state.apply(configuration(5)).configuration);
    assert_eq!(state.generation(), Generation(5));
}

#[test]
fn an_instance_list_does_not_end_an_operators_drain() {
    let mut state = ReplicatedState::default();
    state.apply(mark(1, false, MarkCause::Operator));
    state.apply(mark(9, true, MarkCause::InstanceList));
    assert!(!state.accepts_work(&endpoint()));
    state.apply(mark(2, true, MarkCause::Operator));
    assert!(state.accepts_work(&endpoint()));
}

#[test]
fn states_converge_for_any_order_of_updates() {
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
        assert_eq!(snapshot(&first), snapshot(&second));
    }
}

#[test]
fn a_reader_of_changes_gets_the_whole_state() {
    let mut generator = generator();
    let mut state = ReplicatedState::new(1);
    let mut reader = ReplicatedState::new(2);
    let mut position = None;
    for _ in 0..500 {
        let cause = match generator.random_range(0..2) {
            0 => MarkCause::Operator,
            _ => MarkCause::InstanceList,
        };
        state.apply(mark(
            generator.random_range(1..50),
            generator.random(),
            cause,
        ));
        if generator.random_range(0..20) == 0 {
            state.apply(configuration(generator.random_range(1..50)));
        }
        if generator.random_range(0..3) == 0 {
            let update = state.since(position, reader.generation());
            assert!(update.marks.len() <= 2);
            reader.apply(update);
            position = Some(state.position());
            assert_eq!(snapshot(&reader), snapshot(&state));
        }
    }
}

#[test]
fn a_configuration_that_the_reader_has_is_left_out() {
    let mut state = ReplicatedState::new(1);
    state.apply(configuration(5));
    assert!(state.since(None, Generation(5)).is_empty());
    assert!(state.since(None, Generation(4)).configuration.is_some());
}

#[test]
fn a_position_of_an_earlier_incarnation_gets_the_whole_state() {
    let mut state = ReplicatedState::new(2);
    state.apply(mark(1, false, MarkCause::Operator));
    let earlier = cornelpoint::replication::Position {
        incarnation: 1,
        change: 99,
    };
    assert_eq!(state.since(Some(earlier), Generation(0)).marks.len(), 1);
}

#[test]
fn removing_a_member_moves_only_its_keys() {
    let members: Vec<InstanceId> = (1..=9)
        .map(|number| InstanceId::try_from(format!("entry-{number}")).unwrap())
        .collect();
    for key_hash in 0..200 {
        let before = choose_several(key_hash, &members, 1);
        let removed = &members[4];
        let after = choose_several(key_hash, members.iter().filter(|m| *m != removed), 1);
        assert!(before == after || before == [removed]);
    }
}
