//! Calls to an advice service that is slow, refuses calls or loses them.

use cornelpoint::advice::AdviceCalls;
use cornelpoint::advice::CallOutcome;

const POOL: &str = "quoting";
const OTHER: &str = "drafting";

/// Guards against calls that are given up before their turn: a service of any speed answers
/// each call in order, with a short queue.
#[test]
fn the_queue_at_the_service_follows_what_it_completes() {
    for turn_ms in [5, 40, 400, 4000] {
        let mut calls = AdviceCalls::default();
        let (mut now_ms, mut longest_ms) = (0, 0);
        let mut queue: Vec<(u64, u64)> = Vec::new();
        for answered in 0..60 {
            while calls.free(POOL, now_ms) > 0 {
                queue.push((calls.begin(POOL, now_ms), now_ms));
            }
            let (number, sent_ms) = queue.remove(0);
            now_ms += turn_ms;
            let settled = calls.settle(number, CallOutcome::Answered, now_ms);
            assert_eq!(settled.lost, []);
            if answered > 20 {
                longest_ms = longest_ms.max(now_ms - sent_ms);
            }
        }
        assert!(
            longest_ms <= 1000.max(2 * turn_ms),
            "{longest_ms} ms, {turn_ms} ms a call"
        );
    }
}

/// Guards against calls on silent connections that keep all others from being sent.
#[test]
fn lost_calls_are_replaced_once_a_later_one_is_answered() {
    let mut calls = AdviceCalls::default();
    let lost = [calls.begin(POOL, 0), calls.begin(POOL, 0)];
    assert_eq!(calls.free(POOL, 2000), 0);
    assert_eq!(calls.next_free_ms(2000), Some(3000));
    assert_eq!(calls.free(POOL, 3000), 1);
    let probe = calls.begin(POOL, 3000);
    assert_eq!(calls.free(POOL, 3100), 0);
    let settled = calls.settle(probe, CallOutcome::Answered, 3200);
    assert_eq!(settled.lost, lost);
}

/// Guards against a process that goes on calling a service whose queue is full.
#[test]
fn refused_calls_are_made_again_later_and_fewer_at_a_time() {
    let mut calls = AdviceCalls::default();
    for now_ms in [0, 10] {
        let number = calls.begin(POOL, now_ms);
        calls.settle(number, CallOutcome::Answered, now_ms + 10);
    }
    let numbers: Vec<u64> = (0..10).map(|_| calls.begin(POOL, 100)).collect();
    assert!(calls.free(POOL, 100) > 0);
    for (pause_ms, number) in [100, 200, 400].into_iter().zip(numbers) {
        let settled = calls.settle(number, CallOutcome::Refused, 110);
        assert_eq!(settled.resume_ms, 110 + pause_ms);
        assert_eq!(calls.free(POOL, 109 + pause_ms), 0);
    }
    assert_eq!(
        calls.free(POOL, 1000),
        0,
        "7 are in flight, and half as many at most"
    );
}

/// Guards against a pool that gets no turn beside one with more steps.
#[test]
fn pools_that_wait_take_turns() {
    let mut calls = AdviceCalls::default();
    let (mut queue, mut now_ms) = (Vec::new(), 0);
    let mut sent = [0_u32, 0];
    calls.set_waiting(POOL, true);
    calls.set_waiting(OTHER, true);
    for _ in 0..40 {
        for (index, pool) in [POOL, OTHER].into_iter().enumerate() {
            while calls.free(pool, now_ms) > 0 {
                queue.push(calls.begin(pool, now_ms));
                sent[index] += 1;
                calls.set_waiting(pool, true);
            }
        }
        now_ms += 400;
        calls.settle(queue.remove(0), CallOutcome::Answered, now_ms);
    }
    assert!(sent[0].abs_diff(sent[1]) <= 2, "{sent:?}");
    calls.set_waiting(POOL, false);
    assert_eq!(calls.next_pool(now_ms), Some(OTHER));
}
