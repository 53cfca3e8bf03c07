use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Work of a step that waits for workers and whose job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingWork<K> {
    /// What stands for the step in the result.
    pub key: K,
    /// Priority of the job; 0 comes first.
    pub priority: u32,
    /// Work of the waiting tasks, in core-milliseconds.
    pub work_core_ms: u64,
    /// Latest start with which the job can be done in time.
    pub latest_start_ms: u64,
    /// Value of the job for the work that it still needs.
    pub density: u64,
}

/// Returns the value of a job for the work that it still needs.
///
/// ```
/// use cornelpoint::admission::density;
///
/// assert_eq!(density(1000, 20_000), 50_000);
/// assert_eq!(density(1000, 10_000), 100_000);
/// ```
#[must_use]
pub fn density(value_milli: u64, left_core_ms: u64) -> u64 {
    value_milli.saturating_mul(1_000_000) / left_core_ms.max(1)
}

/// Splits waiting work, given in the order of objectives, into what is placed now and what
/// is put off since not all of it can be in time.
///
/// Where a step would start too late behind the ones before it, the step that loses least
/// for the room it needs is put off, among those before it and itself.
///
/// ```
/// use cornelpoint::admission::WaitingWork;
/// use cornelpoint::admission::order_by_loss;
///
/// let work = |key, latest_start_ms, density| WaitingWork {
///     key,
///     priority: 0,
///     work_core_ms: 1000,
///     latest_start_ms,
///     density,
/// };
/// // One core: the third job would start at 2000 ms.
/// let waiting = vec![work("a", 500, 5), work("b", 1000, 1), work("c", 1500, 9)];
/// assert_eq!(order_by_loss(&waiting, 1000, 0), (vec!["a", "c"], vec!["b"]));
/// ```
#[must_use]
pub fn order_by_loss<K: Copy + Ord>(
    waiting: &[WaitingWork<K>],
    free_millicores: u64,
    now_ms: u64,
) -> (Vec<K>, Vec<K>) {
    let mut before_core_ms = 0;
    let mut cheapest = BinaryHeap::new();
    let mut put_off = vec![false; waiting.len()];
    for (index, work) in waiting.iter().enumerate() {
        cheapest.push((work.priority, Reverse(work.density), index));
        let start_ms = now_ms + before_core_ms * 1000 / free_millicores.max(1);
        before_core_ms += work.work_core_ms;
        if start_ms > work.latest_start_ms
            && let Some((_, _, index)) = cheapest.pop()
        {
            put_off[index] = true;
            before_core_ms -= waiting[index].work_core_ms;
        }
    }
    let indexed = waiting.iter().zip(put_off);
    let (kept, later): (Vec<_>, Vec<_>) = indexed.partition(|(_, is_put_off)| !is_put_off);
    let keys =
        |steps: Vec<(&WaitingWork<K>, bool)>| steps.iter().map(|(work, _)| work.key).collect();
    (keys(kept), keys(later))
}
