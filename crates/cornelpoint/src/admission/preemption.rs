use std::collections::BTreeMap;

use crate::job::Resources;

/// A run that may be stopped for a task that goes before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoppableRun<K> {
    /// What stands for the run in the result.
    pub key: K,
    /// Worker that it runs on.
    pub worker: u32,
    /// What it takes.
    pub taken: Resources,
    /// Work that has to be done again, in core-milliseconds.
    pub lost_core_ms: u64,
}

/// Returns the runs to stop so that tasks which need this much each fit, those first that
/// lose least. `free` is what each worker has left; at most `max_stops` runs are stopped.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use cornelpoint::admission::StoppableRun;
/// use cornelpoint::admission::runs_to_stop;
/// use cornelpoint::job::Resources;
///
/// let cpu = |cpu_millicores| Resources { cpu_millicores, ..Resources::default() };
/// let run = |key, worker, lost_core_ms| StoppableRun {
///     key,
///     worker,
///     taken: cpu(1000),
///     lost_core_ms,
/// };
/// let free = BTreeMap::from([(1, cpu(0)), (2, cpu(1000))]);
/// let runs = vec![run("a", 1, 10), run("b", 1, 20), run("c", 2, 25)];
/// // Two cores: on worker 1 two runs would be stopped.
/// assert_eq!(runs_to_stop(cpu(2000), 1, &free, runs, 8), ["c"]);
/// ```
#[must_use]
pub fn runs_to_stop<K: Copy + Ord>(
    need: Resources,
    tasks: usize,
    free: &BTreeMap<u32, Resources>,
    mut runs: Vec<StoppableRun<K>>,
    max_stops: usize,
) -> Vec<K> {
    runs.sort_by_key(|run| (run.lost_core_ms, run.key));
    let mut of_worker: BTreeMap<u32, Vec<StoppableRun<K>>> = BTreeMap::new();
    for run in runs {
        of_worker.entry(run.worker).or_default().push(run);
    }
    // Runs stopped together for one task, with what they lose.
    let mut groups: Vec<(u64, Vec<K>)> = Vec::new();
    for (worker, runs) in of_worker {
        let mut room = free.get(&worker).copied().unwrap_or_default();
        let (mut lost_core_ms, mut group) = (0, Vec::new());
        for run in runs {
            room = room.plus(run.taken);
            lost_core_ms += run.lost_core_ms;
            group.push(run.key);
            if room.fits(Resources::default(), need) {
                room = room.minus(need);
                groups.push((lost_core_ms, std::mem::take(&mut group)));
                lost_core_ms = 0;
            }
        }
    }
    groups.sort();
    let mut stopped = Vec::new();
    for (_, group) in groups.into_iter().take(tasks) {
        if stopped.len() + group.len() > max_stops {
            break;
        }
        stopped.extend(group);
    }
    stopped
}
