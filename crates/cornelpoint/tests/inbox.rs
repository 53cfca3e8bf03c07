//! Requests that a process stores for an owner that it can't reach: how they
//! share transactions, and what happens if the store is overloaded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::inbox::InboxConflict;
use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::InboxOutcome;
use cornelpoint::inbox::InboxQueue;
use cornelpoint::inbox::InboxWriteResult;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn queue(seed: u64) -> InboxQueue {
    InboxQueue::new(ChaCha8Rng::seed_from_u64(seed))
}

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a valid job ID")
}

fn submission(number: u64) -> InboxKey {
    InboxKey::Submit(job(number))
}

#[test]
fn requests_that_arrive_during_a_write_share_the_next_one() {
    let mut queue = queue(1);
    assert!(queue.push(submission(1)));
    assert_eq!(queue.begin_write(0), [submission(1)]);
    assert!(queue.push(submission(2)));
    assert!(queue.push(submission(3)));
    assert!(queue.begin_write(1).is_empty());
    queue.write_replied(&InboxWriteResult::Committed, 8);
    assert_eq!(queue.begin_write(8), [submission(2), submission(3)]);
}

#[test]
fn a_repeated_request_is_written_once() {
    let mut queue = queue(1);
    assert!(queue.push(submission(1)));
    assert!(queue.push(submission(1)));
    assert_eq!(queue.begin_write(0), [submission(1)]);
    assert!(queue.push(submission(1)));
    let outcomes = queue.write_replied(&InboxWriteResult::Committed, 8);
    assert_eq!(outcomes, [(submission(1), InboxOutcome::Stored)]);
    assert_eq!(queue.next_write_ms(), None);
}

#[test]
fn a_request_that_is_stored_already_does_not_hold_up_the_others() {
    let mut queue = queue(1);
    for number in 1..=3 {
        assert!(queue.push(submission(number)));
    }
    queue.begin_write(0);
    let conflict = InboxConflict {
        jobs: BTreeSet::from([job(2)]),
        ..InboxConflict::default()
    };
    let outcomes = queue.write_replied(&InboxWriteResult::Conflict(conflict), 8);
    assert_eq!(outcomes, [(submission(2), InboxOutcome::Stored)]);
    assert_eq!(queue.begin_write(8), [submission(1), submission(3)]);
}

/// Guards against a submission that is written after its job was shown as unknown.
#[test]
fn a_withdrawn_job_is_submitted_and_a_submitted_one_withdrawn() {
    let mut queue = queue(1);
    let withdraw = InboxKey::Withdraw(job(2));
    for key in [submission(1), withdraw, submission(3)] {
        assert!(queue.push(key));
    }
    queue.begin_write(0);
    let conflict = InboxConflict {
        jobs: BTreeSet::from([job(2)]),
        withdrawn: BTreeMap::from([(job(1), Withdrawal::Cancelled)]),
    };
    let outcomes = queue.write_replied(&InboxWriteResult::Conflict(conflict), 8);
    let withdrawn = InboxOutcome::Withdrawn(Withdrawal::Cancelled);
    assert_eq!(
        outcomes,
        [
            (submission(1), withdrawn),
            (withdraw, InboxOutcome::JobExists)
        ]
    );
    assert_eq!(queue.begin_write(8), [submission(3)]);
}

#[test]
fn a_conflict_that_names_no_request_ends_in_uncertainty() {
    let mut queue = queue(1);
    assert!(queue.push(submission(1)));
    queue.begin_write(0);
    let outcomes = queue.write_replied(&InboxWriteResult::Conflict(InboxConflict::default()), 8);
    assert_eq!(outcomes, [(submission(1), InboxOutcome::Uncertain)]);
}

#[test]
fn a_withdrawn_request_is_not_written_unless_the_write_has_begun() {
    let mut queue = queue(1);
    assert!(queue.push(submission(1)));
    queue.begin_write(0);
    assert!(queue.push(submission(2)));
    assert!(!queue.withdraw(submission(1)));
    assert!(queue.withdraw(submission(2)));
    queue.write_replied(&InboxWriteResult::Committed, 8);
    assert!(queue.begin_write(8).is_empty());
}

/// Callers of 42 processes submit 300 jobs a second to a pool whose partition
/// takes a transaction in 8 ms and rejects one that would wait over a second.
/// The pool's owner, too, writes to that partition.
#[test]
fn submissions_for_an_unreachable_owner_leave_the_partition_to_the_next_one() {
    const PROCESSES: u64 = 42;
    const TRANSACTION_MS: u64 = 8;
    const MAX_PARTITION_WAIT_MS: u64 = 1000;
    let mut queues: Vec<InboxQueue> = (0..PROCESSES).map(queue).collect();
    let mut answers: Vec<Option<(u64, InboxWriteResult)>> = vec![None; queues.len()];
    let mut partition_free_ms = 0;
    let mut stored = 0;
    let mut submitted = 0;
    for now_ms in 0..6000_u64 {
        if now_ms % 10 < 3 {
            let process = usize::try_from(submitted * 31 % PROCESSES).expect("a small number");
            assert!(queues[process].push(submission(submitted)));
            submitted += 1;
        }
        for (queue, answer) in queues.iter_mut().zip(&mut answers) {
            if let Some((_, result)) = answer.take_if(|(due_ms, _)| *due_ms <= now_ms) {
                let outcomes = queue.write_replied(&result, now_ms);
                stored += outcomes.len();
            }
            if !queue.begin_write(now_ms).is_empty() {
                partition_free_ms = partition_free_ms.max(now_ms) + TRANSACTION_MS;
                let wait_ms = partition_free_ms - now_ms;
                assert!(
                    wait_ms < MAX_PARTITION_WAIT_MS,
                    "at {now_ms} ms: {wait_ms} ms"
                );
                *answer = Some((partition_free_ms, InboxWriteResult::Committed));
            }
        }
    }
    let waiting = usize::try_from(submitted).expect("a small number") - stored;
    assert!(waiting < 300, "{waiting} submissions wait");
}
