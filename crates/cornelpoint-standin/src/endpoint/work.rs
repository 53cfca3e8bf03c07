use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use super::state::State;
use crate::clock::now_ms;
use crate::lock::lock;

/// Shorter runs do not check whether the connection has closed.
const MIN_WATCHED_WORK_MS: u64 = 20;

/// How much later than requested a read timeout may fire.
const READ_TIMEOUT_SLACK_MS: u64 = 8;

/// Interval at which a hanging run checks whether its connection has closed.
const HANG_POLL_MS: u64 = 100;

/// Interval at which a request that found no free slot checks again.
const SLOT_POLL_MS: u64 = 3;

/// Number of checks for a free slot before a request counts as over the slots.
const SLOT_POLLS: u32 = 10;

/// Whether the caller is still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    Waiting,
    Disconnected,
}

/// Waits for the service time of a run and ends the run.
pub(super) fn run(state: &Mutex<State>, stream: &TcpStream, run_number: u64, work_ms: u64) {
    let end_ms = now_ms() + work_ms;
    let mut abandoned = false;
    if work_ms >= MIN_WATCHED_WORK_MS && wait_for_disconnect(stream, end_ms) == Caller::Disconnected
    {
        lock(state).abandon(run_number);
        abandoned = true;
    }
    sleep_until(end_ms);
    wait_while_frozen(state);
    lock(state).end(run_number, abandoned, now_ms());
}

/// Keeps a run active until its connection closes or the endpoint stops.
pub(super) fn hang(state: &Mutex<State>, stream: &TcpStream, run_number: u64) {
    while !lock(state).stopping
        && wait_for_disconnect(stream, now_ms() + HANG_POLL_MS) == Caller::Waiting
    {
        sleep_until(now_ms() + 1);
    }
    lock(state).end(run_number, false, now_ms());
}

/// Waits for a free slot, as runs may still hold one whose callers'
/// disconnection is about to be noticed.
pub(super) fn wait_for_slot(state: &Mutex<State>) {
    for _ in 0..SLOT_POLLS {
        if lock(state).has_free_slot() {
            return;
        }
        sleep_until(now_ms() + SLOT_POLL_MS);
    }
}

/// Waits while the endpoint is frozen.
pub(super) fn wait_while_frozen(state: &Mutex<State>) {
    loop {
        let until_ms = lock(state).frozen_until_ms();
        if until_ms <= now_ms() || lock(state).stopping {
            return;
        }
        sleep_until(until_ms.min(now_ms() + HANG_POLL_MS));
    }
}

/// Waits until shortly before the given time, or until the connection closes.
fn wait_for_disconnect(stream: &TcpStream, end_ms: u64) -> Caller {
    let wait_ms = end_ms.saturating_sub(now_ms() + READ_TIMEOUT_SLACK_MS);
    if wait_ms == 0 || set_read_timeout(stream, Some(wait_ms)).is_none() {
        return Caller::Waiting;
    }
    let peeked = stream.peek(&mut [0]);
    let restored = set_read_timeout(stream, None);
    match peeked {
        Ok(1..) => Caller::Waiting,
        Err(error) if is_timeout(error.kind()) && restored.is_some() => Caller::Waiting,
        Ok(0) | Err(_) => Caller::Disconnected,
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    kind == ErrorKind::WouldBlock || kind == ErrorKind::TimedOut || kind == ErrorKind::Interrupted
}

pub(super) fn set_read_timeout(stream: &TcpStream, timeout_ms: Option<u64>) -> Option<()> {
    let timeout = timeout_ms.map(|ms| Duration::from_millis(ms.max(1)));
    stream.set_read_timeout(timeout).ok()
}

fn sleep_until(end_ms: u64) {
    let rest_ms = end_ms.saturating_sub(now_ms());
    if rest_ms > 0 {
        thread::sleep(Duration::from_millis(rest_ms));
    }
}
