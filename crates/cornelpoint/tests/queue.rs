//! Tests of the request queue: order, limits, rejection on arrival and expiry.

use cornelpoint::queue::QueueLimits;
use cornelpoint::queue::RequestEntry;
use cornelpoint::queue::RequestQueue;
use cornelpoint::request::Refusal;

const SERVICE_MS: u64 = 50;

fn queue(max_requests: usize) -> RequestQueue {
    RequestQueue::new(QueueLimits {
        max_requests,
        max_body_bytes: 1_000,
        max_deadline_ms: 2_000,
    })
}

fn entry(id: u64, deadline_ms: u64) -> RequestEntry {
    RequestEntry {
        id,
        deadline_ms,
        body_bytes: 10,
    }
}

fn queue_with_service_times(max_requests: usize) -> RequestQueue {
    let mut queue = queue(max_requests);
    for _ in 0..100 {
        queue.record_service_time(SERVICE_MS);
    }
    queue
}

#[test]
fn dequeues_earliest_deadline_first() {
    let mut queue = queue(10);
    for (id, deadline_ms) in [(1, 900), (2, 300), (3, 600), (4, 300)] {
        queue.push(entry(id, deadline_ms), 0).unwrap();
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(0)).map(|e| e.id).collect();
    assert_eq!(order, [2, 4, 3, 1]);
    assert_eq!(queue.body_bytes(), 0);
}

#[test]
fn limits_requests_and_body_bytes() {
    let mut by_count = queue(2);
    by_count.push(entry(1, 900), 0).unwrap();
    by_count.push(entry(2, 900), 0).unwrap();
    assert_eq!(by_count.push(entry(3, 900), 0), Err(Refusal::QueueFull));
    let mut by_bytes = queue(1_000);
    let rejected = (0..101).find(|id| by_bytes.push(entry(*id, 900), 0).is_err());
    assert_eq!((rejected, by_bytes.body_bytes()), (Some(100), 1_000));
}

#[test]
fn removes_each_request_once() {
    let mut queue = queue(10);
    queue.push(entry(1, 900), 0).unwrap();
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!(queue.pop(0), None);
}

#[test]
fn takes_requests_that_cannot_meet_their_deadline() {
    let mut queue = queue_with_service_times(10);
    queue.push(entry(1, 300), 0).unwrap();
    queue.push(entry(2, 900), 0).unwrap();
    assert_eq!(queue.take_expired(300 - SERVICE_MS - 5), []);
    assert_eq!(queue.take_expired(300 - SERVICE_MS + 5), [entry(1, 300)]);
    assert_eq!(queue.earliest_deadline_ms(), Some(900));
}

#[test]
fn rejects_a_deadline_below_the_shortest_service_time() {
    let mut queue = queue_with_service_times(10);
    assert_eq!(
        queue.push(entry(1, SERVICE_MS / 2), 0),
        Err(Refusal::DeadlineTooNear)
    );
}

#[test]
fn prefers_requests_that_can_meet_their_deadline() {
    let mut queue = queue_with_service_times(10);
    for _ in 0..10 {
        queue.record_service_time(4 * SERVICE_MS);
    }
    queue.push(entry(1, 3 * SERVICE_MS), 0).unwrap();
    queue.push(entry(2, 10 * SERVICE_MS), 0).unwrap();
    assert_eq!(queue.pop(0).map(|e| e.id), Some(2));
    assert_eq!(queue.pop(0).map(|e| e.id), Some(1));
}

/// One slot runs one request per `SERVICE_MS`, and three times as many arrive.
#[test]
fn rejects_on_arrival_under_overload_and_keeps_the_slot_busy() {
    let mut queue = queue_with_service_times(10_000);
    let mut rejected = 0;
    let mut expired = 0;
    let mut done = 0;
    let mut idle = 0;
    for step in 0..600 {
        let now_ms = step * SERVICE_MS;
        for id in 0..3 {
            let deadline_ms = now_ms + 600 + 400 * id;
            rejected += u32::from(
                queue
                    .push(entry(3 * step + id, deadline_ms), now_ms)
                    .is_err(),
            );
        }
        expired += queue.take_expired(now_ms).len();
        match queue.pop(now_ms) {
            Some(entry) if entry.deadline_ms >= now_ms + SERVICE_MS => done += 1,
            Some(_) => {}
            None => idle += 1,
        }
    }
    assert_eq!(idle, 0);
    assert!(done * 100 >= 600 * 99, "done in time: {done} of 600");
    assert!(
        rejected > 0,
        "rejected on arrival: {rejected}, expired: {expired}"
    );
    assert!(queue.len() < 100, "waiting: {}", queue.len());
}
