//! Clients that send bodies or heads and never end them, against a real manager process
//! with lowered limits. The tests check that the process lives within its limits and that
//! an ordinary request is answered while the clients still hold their connections; they
//! check no times and no share of served requests. One of them runs at a time.

mod large_jobs;
mod process;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cornelpoint::job::Resources;
use cornelpoint_standin::crowd::Crowd;
use cornelpoint_standin::crowd::chunked;
use cornelpoint_standin::crowd::cut;
use cornelpoint_standin::crowd::exchange;
use cornelpoint_standin::crowd::whole;
use platform_standin::callers::job_body;
use serde_json::json;

use crate::process::Process;

/// Memory limit in the settings of each process.
const MEMORY_MB: u64 = 64;
/// Descriptor limit in the settings of each process.
const MAX_DESCRIPTORS: u64 = 500;
/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Largest body of a caller, by the operator's limits.
const MAX_BODY_BYTES: usize = 262_144;
/// Largest body of a peer.
const MAX_MESSAGE_BYTES: usize = 1_048_576;
/// Clients with bodies of [`MAX_BODY_BYTES`]: 79 MB, if each is held.
const LARGE_BODIES: usize = 300;
/// Clients with bodies in chunks of one byte.
const SMALL_CHUNKS: usize = 30;
/// Clients with bodies of [`MAX_MESSAGE_BYTES`]: 84 MB, if each is held.
const LARGE_MESSAGES: usize = 80;
/// Clients that read no answer, and requests of each.
const UNREAD: usize = 150;
const UNREAD_REQUESTS: usize = 500;
/// Crowds that come again, and clients of each.
const RETURNING_CROWDS: usize = 4;
const RETURNING_CLIENTS: usize = 60;
/// Attempts of an ordinary client to submit its job, as many as the users' clients make.
const ATTEMPTS: u64 = 5;
/// `Retry-After` of a refusal for want of room.
const BETWEEN_ATTEMPTS: Duration = Duration::from_secs(1);
/// Clients that send no whole head.
const HEADS: usize = 400;
/// Bytes that a client sends at a time, where bodies arrive piece by piece.
const PIECE_BYTES: usize = 16_384;
/// Resources of a submitted job's task.
const NEED: Resources = Resources {
    cpu_millicores: 10,
    memory_mb: 16,
    accelerators: 0,
};

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Guards against a process that holds every body of legal size that never ends.
#[test]
fn whole_bodies_that_stop_short_stay_within_the_limits() {
    withstands("whole_bodies", |process| {
        let request = cut(whole_request(process), 1);
        Crowd::send(process.caller_address, LARGE_BODIES, &request, usize::MAX)
    });
}

/// The same where every client makes progress until it stops.
#[test]
fn bodies_sent_piece_by_piece_that_stop_short_stay_within_the_limits() {
    withstands("pieces", |process| {
        let request = cut(whole_request(process), 1);
        Crowd::send(process.caller_address, LARGE_BODIES, &request, PIECE_BYTES)
    });
}

/// The same for bodies whose length isn't known before they end.
#[test]
fn large_chunks_that_stop_short_stay_within_the_limits() {
    withstands("large_chunks", |process| {
        let request = chunked_request(process, MAX_BODY_BYTES / 4);
        Crowd::send(
            process.caller_address,
            LARGE_BODIES,
            &cut(request, 5),
            PIECE_BYTES,
        )
    });
}

/// Guards against chunks that each keep more memory than their bytes.
#[test]
fn chunks_of_one_byte_that_stop_short_stay_within_the_limits() {
    withstands("small_chunks", |process| {
        let request = chunked_request(process, 1);
        Crowd::send(
            process.caller_address,
            SMALL_CHUNKS,
            &cut(request, 5),
            PIECE_BYTES,
        )
    });
}

/// Guards against the same on the port of the messages between processes, whose limit is
/// four times as high.
#[test]
fn messages_to_the_internal_port_that_stop_short_stay_within_the_limits() {
    withstands("internal_port", |process| {
        let body = vec![b' '; MAX_MESSAGE_BYTES];
        let path = format!("/pool/{}", process.queue.pool);
        let request = cut(whole("peer", &path, &body), 1);
        Crowd::send(
            process.internal_address,
            LARGE_MESSAGES,
            &request,
            PIECE_BYTES,
        )
    });
}

/// The same for messages in chunks of one byte.
#[test]
fn messages_in_chunks_of_one_byte_stay_within_the_limits() {
    withstands("internal_chunks", |process| {
        let path = format!("/pool/{}", process.queue.pool);
        let request = chunked("peer", &path, &vec![b' '; MAX_BODY_BYTES], 1);
        Crowd::send(
            process.internal_address,
            SMALL_CHUNKS,
            &cut(request, 5),
            PIECE_BYTES,
        )
    });
}

/// Guards against a process that runs out of descriptors by connections without a request.
#[test]
fn connections_without_a_request_stay_within_the_limits() {
    withstands("no_request", |process| {
        Crowd::send(process.caller_address, HEADS, b"", 1)
    });
}

/// The same for heads that never end.
#[test]
fn heads_that_stop_short_stay_within_the_limits() {
    withstands("part_of_a_head", |process| {
        let head = b"POST /plan/0000000000000001 HTTP/1.1\r\nhost: plan.exam";
        Crowd::send(process.caller_address, HEADS, head, usize::MAX)
    });
}

/// Guards against what complete bodies make a process hold until they are answered. Every
/// step of the jobs names the first one as often as there is room for.
#[test]
fn complete_bodies_whose_parsed_form_is_large_stay_within_the_limits() {
    withstands("complete_bodies", |process| {
        let request = whole(&process.queue.host, "/plan/0000000000000001", &wide_job());
        Crowd::send(process.caller_address, LARGE_BODIES, &request, usize::MAX)
    });
}

/// Guards against answers that a process holds for clients that send one request behind the
/// other and read nothing.
#[test]
fn answers_that_callers_dont_read_stay_within_the_limits() {
    withstands("unread_callers", |process| {
        let host = &process.queue.host;
        let request = format!(
            "GET {} HTTP/1.1\r\nhost: {host}\r\n\r\n",
            process.queue.path_prefix
        );
        let requests = request.repeat(UNREAD_REQUESTS);
        Crowd::send(
            process.caller_address,
            UNREAD,
            requests.as_bytes(),
            usize::MAX,
        )
    });
}

/// The same for the metrics, whose answer is the largest.
#[test]
fn metrics_that_nobody_reads_stay_within_the_limits() {
    withstands("unread_metrics", |process| {
        let requests = "GET /metrics HTTP/1.1\r\nhost: peer\r\n\r\n".repeat(UNREAD_REQUESTS);
        Crowd::send(
            process.internal_address,
            UNREAD,
            requests.as_bytes(),
            usize::MAX,
        )
    });
}

/// Guards against clients that come again at once whenever their connections are closed.
#[test]
fn an_ordinary_job_is_accepted_while_refused_clients_come_again() {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let process = Process::start("come_again");
    let request = cut(whole_request(&process), 1);
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..RETURNING_CROWDS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    drop(Crowd::send(
                        process.caller_address,
                        RETURNING_CLIENTS,
                        &request,
                        PIECE_BYTES,
                    ));
                }
            });
        }
        let accepted = (1..=ATTEMPTS).any(|number| {
            thread::sleep(BETWEEN_ATTEMPTS);
            process.submit(number) == Some(200)
        });
        let descriptors = process.meter.descriptors();
        ended.store(true, Ordering::Relaxed);
        assert!(accepted, "an ordinary job isn't accepted");
        assert!(descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS);
    });
    let usage = process.meter.settle();
    println!("come_again: {usage:?}");
    assert!(usage.peak_kb <= MEMORY_MB * 1000, "{usage:?}");
}

/// Guards against callers that crowd the other ports out.
#[test]
fn other_ports_answer_while_callers_crowd_theirs() {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let process = Process::start("other_ports");
    let request = cut(whole_request(&process), 1);
    let crowd = Crowd::send(process.caller_address, LARGE_BODIES, &request, usize::MAX);
    let _ = process.meter.settle();
    let statuses = [
        process.get(
            process.ready_address,
            cornelpoint_platform::callers::READY_PATH,
        ),
        process.get(process.internal_address, "/metrics"),
    ];
    assert_eq!(statuses, [Some(200); 2]);
    drop(crowd);
}

/// Guards against limits that refuse a single request within the documented limits.
#[test]
fn single_requests_of_the_largest_size_are_served() {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let process = Process::start("largest_size");
    let send = |number: u64, chunk_bytes: Option<usize>, body_bytes: usize| {
        let path = format!("{}{number:016x}", process.queue.path_prefix);
        let body = legal_body(body_bytes);
        let host = &process.queue.host;
        let request = match chunk_bytes {
            None => whole(host, &path, &body),
            Some(chunk_bytes) => chunked(host, &path, &body, chunk_bytes),
        };
        exchange(process.caller_address, &request)
    };
    assert_eq!(send(1, None, MAX_BODY_BYTES), Some(200));
    assert_eq!(send(2, Some(MAX_BODY_BYTES), MAX_BODY_BYTES), Some(200));
    assert_eq!(send(3, Some(1), MAX_BODY_BYTES), Some(200));
    assert_eq!(
        send(4, Some(MAX_BODY_BYTES + 1), MAX_BODY_BYTES + 1),
        Some(413)
    );
}

/// Starts a process, lets a crowd at it, and checks what it holds and that it answers.
fn withstands(test: &str, attack: impl FnOnce(&Process) -> Crowd) {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let process = Process::start(test);
    let before = process.meter.settle();
    let crowd = attack(&process);
    let usage = process.meter.settle();
    let status = process.submit(u64::MAX);
    println!(
        "{test}: {before:?} before, {usage:?}, {} open, {status:?}",
        crowd.open()
    );
    assert!(usage.peak_kb <= MEMORY_MB * 1000, "{usage:?}");
    let max_descriptors = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS;
    assert!(usage.descriptors <= max_descriptors, "{usage:?}");
    assert_eq!(status, Some(200), "an ordinary job isn't accepted");
}

/// Starts a process, lets callers submit jobs to it, and checks what it holds and that it
/// accepts an ordinary one.
fn withstands_jobs(test: &str, submit: impl FnOnce(&Process)) {
    let _only = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let process = Process::start(test);
    submit(&process);
    let usage = process.meter.settle();
    // Due in the year 2100, so that it doesn't compete for the pool's capacity.
    let schedule = json!({ "repeat_count": 1, "start_time_ms": 4_102_444_800_000_u64 });
    let ordinary = large_jobs::body(&schedule, 1, |_| json!({ "replicas": 1 }));
    let status = process.submit_body(u64::MAX, &ordinary);
    println!("{test}: {usage:?}, {status:?}");
    assert!(usage.peak_kb <= MEMORY_MB * 1000, "{usage:?}");
    assert_eq!(status, Some(200), "an ordinary job isn't accepted");
}

/// Returns a valid job of this size.
fn legal_body(bytes: usize) -> Vec<u8> {
    let mut body = job_body(NEED, 10);
    body.resize(bytes, b' ');
    body
}

/// Returns a valid job that takes several times its size once it is parsed.
fn wide_job() -> Vec<u8> {
    let first = json!({ "replicas": 1, "cpu": 10, "mem_mb": 16, "estimate_ms": 10 });
    let mut second = first.clone();
    second["after"] = vec![0; (MAX_BODY_BYTES - 1000) / 2].into();
    json!({ "spec": "task", "steps": [first, second] })
        .to_string()
        .into_bytes()
}

fn whole_request(process: &Process) -> Vec<u8> {
    whole(
        &process.queue.host,
        "/plan/0000000000000001",
        &legal_body(MAX_BODY_BYTES),
    )
}

fn chunked_request(process: &Process, chunk_bytes: usize) -> Vec<u8> {
    let body = legal_body(MAX_BODY_BYTES);
    chunked(
        &process.queue.host,
        "/plan/0000000000000001",
        &body,
        chunk_bytes,
    )
}
