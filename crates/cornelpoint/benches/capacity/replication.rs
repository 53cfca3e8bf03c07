//! Replication of marks and configurations: bytes, and time to encode, decode
//! and apply.

use std::hint::black_box;
use std::time::Instant;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::platform::InstanceList;
use cornelpoint::platform::InstanceState;
use cornelpoint::platform::ListedInstance;
use cornelpoint::replication::Position;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;
use serde::Serialize;

use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::configuration;
use super::inputs::encoded_bytes;
use super::inputs::entry;
use super::inputs::marks;
use super::inputs::replicated_state;
use super::inputs::worker;
use super::inputs::zone;

const SIZES: [usize; 6] = [50, 500, 2_000, 5_000, 10_000, 19_000];
const POOLS: usize = 29;
const ZONES: usize = 11;
/// Marks that change between two requests of a reader.
const FEW_MARKS: usize = 25;
const ROUNDS: usize = 20;
const START_MS: u64 = 2_000;

/// A gateway's request to its keeper, with the fields of the daemon's message.
#[derive(Debug, Serialize)]
struct ViewRequest {
    gateway: InstanceId,
    applied: Generation,
    position: Option<Position>,
    members_version: Option<u64>,
}

/// The keeper's reply while the members do not change.
#[derive(Debug, Serialize)]
struct View {
    update: Update,
    position: Position,
    members_version: u64,
    members: Option<Vec<Member>>,
}

#[derive(Clone, Copy, Debug)]
struct MarkCost {
    request_bytes: f64,
    unchanged_bytes: f64,
    few_bytes: f64,
    all_bytes: f64,
    unchanged_us: f64,
    all_us: f64,
    decode_us: f64,
    apply_us: f64,
    apply_again_us: f64,
}

#[derive(Clone, Copy, Debug)]
struct ConfigurationCost {
    encoded_bytes: f64,
    encode_us: f64,
    decode_us: f64,
    configure_us: f64,
    list_bytes: f64,
    list_decode_us: f64,
}

/// Prints the tables of marks.
pub fn print_marks() {
    println!("\n## Marks\n");
    println!(
        "A gateway's poll of its keeper: bytes of the request, and of the reply when no mark, 25 marks or"
    );
    println!("all marks have changed.\n");
    println!(
        "| marks | request bytes | reply bytes, none | reply bytes, 25 | reply bytes, all | collect none, us | collect and encode all, us | decode all, us | apply all, us | apply all again, us |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    let costs: Vec<MarkCost> = SIZES.iter().map(|&size| mark_cost(size)).collect();
    for (size, cost) in SIZES.iter().zip(&costs) {
        println!(
            "| {size} | {} | {} | {} | {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} |",
            cost.request_bytes,
            cost.unchanged_bytes,
            cost.few_bytes,
            cost.all_bytes,
            cost.unchanged_us,
            cost.all_us,
            cost.decode_us,
            cost.apply_us,
            cost.apply_again_us
        );
    }
    let points = |value: fn(&MarkCost) -> f64| points(&costs, value);
    print_line_head();
    print_line(
        "reply, all",
        "bytes",
        "mark",
        &points(|cost| cost.all_bytes),
    );
    print_line(
        "collect none",
        "us",
        "mark",
        &points(|cost| cost.unchanged_us),
    );
    print_line(
        "collect and encode all",
        "us",
        "mark",
        &points(|cost| cost.all_us),
    );
    print_line("decode all", "us", "mark", &points(|cost| cost.decode_us));
    print_line("apply", "us", "mark", &points(|cost| cost.apply_us));
    print_line(
        "apply again",
        "us",
        "mark",
        &points(|cost| cost.apply_again_us),
    );
}

/// Prints the tables of configurations and instance lists.
pub fn print_configurations() {
    println!("\n## Configurations and instance lists\n");
    println!(
        "| endpoints | configuration bytes | encode, us | decode, us | apply at a gateway, us | instance list bytes | decode list, us |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|");
    let costs: Vec<ConfigurationCost> =
        SIZES.iter().map(|&size| configuration_cost(size)).collect();
    for (size, cost) in SIZES.iter().zip(&costs) {
        println!(
            "| {size} | {} | {:.0} | {:.0} | {:.0} | {} | {:.0} |",
            cost.encoded_bytes,
            cost.encode_us,
            cost.decode_us,
            cost.configure_us,
            cost.list_bytes,
            cost.list_decode_us
        );
    }
    let points = |value: fn(&ConfigurationCost) -> f64| points(&costs, value);
    print_line_head();
    print_line(
        "configuration",
        "bytes",
        "endpoint",
        &points(|cost| cost.encoded_bytes),
    );
    print_line("encode", "us", "endpoint", &points(|cost| cost.encode_us));
    print_line("decode", "us", "endpoint", &points(|cost| cost.decode_us));
    print_line(
        "apply at a gateway",
        "us",
        "endpoint",
        &points(|cost| cost.configure_us),
    );
    print_line(
        "instance list",
        "bytes",
        "instance",
        &points(|cost| cost.list_bytes),
    );
    print_line(
        "decode an instance list",
        "us",
        "instance",
        &points(|cost| cost.list_decode_us),
    );
}

fn points<C>(costs: &[C], value: fn(&C) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .zip(costs)
        .map(|(&size, cost)| Point {
            size: size as f64,
            value: value(cost),
        })
        .collect()
}

fn mark_cost(size: usize) -> MarkCost {
    let update = Update {
        configuration: None,
        marks: marks(size, 1),
    };
    let mut known = ReplicatedState::new(1);
    known.apply(update.clone());
    let read = known.position();
    let unchanged_us = mean_us(|| {
        black_box(known.since(black_box(Some(read)), Generation(0)));
    });
    let all_us = mean_us(|| {
        black_box(encoded_bytes(&known.since(None, Generation(0))));
    });
    let encoded = rmp_serde::to_vec_named(&update).expect("plain data is serializable");
    let decode_us = mean_us(|| {
        let decoded: Update = rmp_serde::from_slice(&encoded).expect("data was just encoded");
        black_box(decoded);
    });
    let apply_us = mean_us_with(
        || (ReplicatedState::default(), update.clone()),
        |(mut replicated_state, update)| {
            replicated_state.apply(update);
            replicated_state
        },
    );
    let apply_again_us = mean_us_with(
        || (known.clone(), update.clone()),
        |(mut replicated_state, update)| {
            replicated_state.apply(update);
            replicated_state
        },
    );
    let unchanged_bytes = view_bytes(&known, Some(read));
    let all_bytes = view_bytes(&known, None);
    known.apply(Update {
        configuration: None,
        marks: marks(FEW_MARKS, 2),
    });
    MarkCost {
        request_bytes: request_bytes(read),
        unchanged_bytes,
        few_bytes: view_bytes(&known, Some(read)),
        all_bytes,
        unchanged_us,
        all_us,
        decode_us,
        apply_us,
        apply_again_us,
    }
}

fn request_bytes(position: Position) -> f64 {
    encoded_bytes(&ViewRequest {
        gateway: entry(0),
        applied: Generation(1),
        position: Some(position),
        members_version: Some(1),
    }) as f64
}

fn view_bytes(replicated_state: &ReplicatedState, position: Option<Position>) -> f64 {
    encoded_bytes(&View {
        update: replicated_state.since(position, Generation(0)),
        position: replicated_state.position(),
        members_version: 1,
        members: None,
    }) as f64
}

fn configuration_cost(size: usize) -> ConfigurationCost {
    let configuration = configuration(size, POOLS, ZONES);
    let encoded = rmp_serde::to_vec_named(&configuration).expect("plain data is serializable");
    let encode_us = mean_us(|| {
        black_box(encoded_bytes(black_box(&configuration)));
    });
    let decode_us = mean_us(|| {
        let decoded: Configuration =
            rmp_serde::from_slice(&encoded).expect("data was just encoded");
        black_box(decoded);
    });
    let encoded_list =
        rmp_serde::to_vec_named(&instance_list(size)).expect("plain data is serializable");
    let list_decode_us = mean_us(|| {
        let decoded: InstanceList =
            rmp_serde::from_slice(&encoded_list).expect("data was just encoded");
        black_box(decoded);
    });
    ConfigurationCost {
        encoded_bytes: encoded.len() as f64,
        encode_us,
        decode_us,
        configure_us: configure_us(&replicated_state(configuration)),
        list_bytes: encoded_list.len() as f64,
        list_decode_us,
    }
}

/// Returns the time that a gateway's dispatcher takes to apply a configuration.
fn configure_us(replicated_state: &ReplicatedState) -> f64 {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        gateway: entry(0),
        incarnation: 1,
        availability_zone: zone(0),
    });
    let configuration = replicated_state
        .configuration()
        .expect("configuration was just set");
    mean_us(|| dispatcher.configure(configuration, replicated_state, START_MS))
}

fn instance_list(size: usize) -> InstanceList {
    InstanceList {
        instances: (0..size)
            .map(|number| ListedInstance {
                instance: worker(number),
                availability_zone: zone(number % ZONES),
                state: InstanceState::Live,
                epoch: 1,
                keeper_address: None,
            })
            .collect(),
    }
}

fn mean_us(mut run: impl FnMut()) -> f64 {
    run();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

/// Returns the mean time of `run`, without the time of `prepare`.
fn mean_us_with<I, O>(prepare: impl Fn() -> I, run: impl Fn(I) -> O) -> f64 {
    let mut total_s = 0.0;
    for _ in 0..ROUNDS {
        let input = prepare();
        let started = Instant::now();
        let output = run(input);
        total_s += started.elapsed().as_secs_f64();
        black_box(output);
    }
    total_s * 1e6 / ROUNDS as f64
}
