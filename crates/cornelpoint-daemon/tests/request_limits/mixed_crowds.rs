//! Crowds of several kinds at once, drawn from a seed, while the processes are paused and
//! ordinary clients go on using their connections.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use cornelpoint_standin::crowd::Crowd;
use cornelpoint_standin::crowd::chunked;
use cornelpoint_standin::crowd::cut;
use cornelpoint_standin::crowd::whole;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::MAX_ANSWER_BYTES;
use crate::MAX_BODY_BYTES;
use crate::MAX_DESCRIPTORS;
use crate::MAX_MESSAGE_BYTES;
use crate::MEMORY_MB;
use crate::ONE_AT_A_TIME;
use crate::PIECE_BYTES;
use crate::processes::KeptConnection;
use crate::processes::Port;
use crate::processes::Processes;

/// Crowds that come one after the other, and how many of them stay at the same time.
const CROWDS: usize = 10;
const CROWDS_AT_ONCE: usize = 3;
/// Most clients of one crowd.
const MAX_CLIENTS: usize = 200;
/// Longest time that a process is paused.
const MAX_PAUSE_MS: u64 = 800;
/// Attempts of ordinary clients at the end, whose service may have a queue until then.
const ATTEMPTS: usize = 10;
/// Pause between two attempts.
const BETWEEN_ATTEMPTS: Duration = Duration::from_secs(1);

/// Guards against crowds that are harmless one by one.
#[test]
fn drawn_from_a_seed_stay_within_the_limits() {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let seed = std::env::var("CORNELPOINT_SEED").map_or(1, |text| text.parse().unwrap());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let processes = Processes::start("mixed_crowds");
    let mut kept = Port::ALL.map(|port| KeptConnection::new(processes.address(port), port));
    let mut crowds: Vec<Crowd> = Vec::new();
    for _ in 0..CROWDS {
        if crowds.len() == CROWDS_AT_ONCE {
            crowds.remove(random.random_range(0..CROWDS_AT_ONCE));
        }
        let port = Port::ALL[random.random_range(0..Port::ALL.len())];
        let is_paused = random.random_bool(0.3);
        let pause = Duration::from_millis(random.random_range(1..MAX_PAUSE_MS));
        let crowd = thread::scope(|scope| {
            if is_paused {
                let paused = processes.pause(port);
                scope.spawn(move || {
                    thread::sleep(pause);
                    drop(paused);
                });
            }
            draw_crowd(&mut random, port, processes.address(port))
        });
        crowds.push(crowd);
        kept.iter_mut().for_each(KeptConnection::use_once);
    }
    let usages = [Port::Keeper, Port::Callers].map(|port| processes.meter(port).settle());
    let mut unanswered = processes.unanswered();
    for _ in 1..ATTEMPTS {
        if !unanswered.is_empty() {
            thread::sleep(BETWEEN_ATTEMPTS);
            unanswered = processes.unanswered();
        }
    }
    println!("mixed_crowds, seed {seed}: {usages:?}, {unanswered:?}");
    for usage in usages {
        assert!(usage.peak_kb <= MEMORY_MB * 1000, "seed {seed}: {usage:?}");
        assert!(
            usage.descriptors <= MAX_DESCRIPTORS,
            "seed {seed}: {usage:?}"
        );
    }
    assert_eq!(unanswered, [], "seed {seed}");
}

fn draw_crowd(random: &mut ChaCha8Rng, port: Port, address: SocketAddr) -> Crowd {
    let largest_bytes = match port {
        Port::Keeper => MAX_MESSAGE_BYTES,
        Port::GatewayControl | Port::Callers => MAX_BODY_BYTES,
    };
    let clients = random.random_range(1..=MAX_CLIENTS);
    let body = vec![b' '; random.random_range(1..=largest_bytes)];
    let piece_bytes = [PIECE_BYTES, usize::MAX][random.random_range(0..2)];
    let request = match random.random_range(0..6) {
        0 => cut(whole("entry", port.path(), &body), 1),
        1 => whole("entry", port.path(), &body),
        2 => {
            let count = random.random_range(1..10);
            cut(
                chunked("entry", port.path(), &body, body.len().div_ceil(count)),
                5,
            )
        }
        3 => {
            let small = &body[..body.len().min(20_000)];
            cut(chunked("entry", port.path(), small, 1), 5)
        }
        4 => b"GET /health HTTP/1.1\r\na: "[..random.random_range(0..20)].to_vec(),
        _ => {
            let path = match port {
                Port::Keeper => "/dump".to_owned(),
                Port::GatewayControl => "/health".to_owned(),
                Port::Callers => {
                    format!("/quoting/large?request=mixed&size={MAX_ANSWER_BYTES}&work_ms=1")
                }
            };
            let get = format!("GET {path} HTTP/1.1\r\nhost: entry\r\n\r\n");
            get.repeat(random.random_range(1..20)).into_bytes()
        }
    };
    Crowd::send(address, clients, &request, piece_bytes)
}
