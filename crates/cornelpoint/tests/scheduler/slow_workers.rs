//! Workers that are slow or hang.

use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::worker::CompletionKind;

use crate::copy_pool::CopyPool;
use crate::support::job_id;
use crate::support::step;

const USUAL_MS: u64 = 400;
const SLOW: IncarnationIndex = 0;

/// Runs 40 jobs of four tasks, one after another, in a pool of three workers with four cores
/// each. Returns how many tasks the first worker was given in each quarter of the time.
fn tasks_by_quarter(cpu_millicores: u64, slow_ms: impl Fn(usize) -> u64) -> (CopyPool, Vec<usize>) {
    let mut pool = CopyPool::new(3);
    let mut given = vec![0; 4];
    for number in 0..40 {
        let quarter = number / 10;
        pool.accept(number as u64, vec![step(4, cpu_millicores)]);
        let end_ms = pool.now_ms + 2 * USUAL_MS;
        while pool.now_ms < end_ms {
            pool.advance(&mut |_, _, worker| {
                given[quarter] += usize::from(worker == SLOW);
                if worker == SLOW {
                    slow_ms(quarter)
                } else {
                    USUAL_MS
                }
            });
        }
    }
    (pool, given)
}

/// Guards against a slow worker that gets the most tasks since it is the fullest one, and
/// against one that is never tried again.
#[test]
fn a_slow_worker_gets_work_last_and_is_tried_again() {
    let (_, given) = tasks_by_quarter(1000, |_| USUAL_MS);
    assert!(given[1] > 20, "{given:?}");
    let (_, given) = tasks_by_quarter(1000, |_| 5 * USUAL_MS);
    assert!(given[1] + given[2] + given[3] <= 15, "{given:?}");
    let (_, given) = tasks_by_quarter(
        1000,
        |quarter| if quarter < 2 { 5 * USUAL_MS } else { USUAL_MS },
    );
    assert!(given[3] > 20, "{given:?}");
}

/// Guards against a worker that gets further tasks though it ends none.
#[test]
fn a_worker_that_hangs_gets_work_last() {
    // It has room for 16 tasks.
    let (_, given) = tasks_by_quarter(
        250,
        |quarter| if quarter == 0 { USUAL_MS } else { 1_000_000 },
    );
    assert!(given[1] + given[2] + given[3] <= 12, "{given:?}");
}

/// Guards against work that waits though a slow worker has room.
#[test]
fn a_slow_worker_gets_what_fits_nowhere_else() {
    let (mut pool, _) = tasks_by_quarter(1000, |_| 5 * USUAL_MS);
    pool.accept(99, vec![step(12, 1000)]);
    pool.advance_by(100, USUAL_MS);
    assert_eq!(
        pool.active
            .iter()
            .filter(|run| run.kind == CompletionKind::Done)
            .count(),
        12
    );
    pool.advance_by(2 * USUAL_MS, USUAL_MS);
    assert_eq!(
        pool.scheduler.status(job_id(99)),
        Some(JobStatus::Completed)
    );
}
