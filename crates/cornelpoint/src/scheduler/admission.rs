use std::collections::HashMap;
use std::collections::VecDeque;

use crate::fleet::PoolReport;
use crate::job::JobId;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::Resources;
use crate::job::TaskId;

use super::instant::Instant;
use super::job_entry::JobEntry;
use super::pool_scheduler::PoolScheduler;

/// Weight of a task's duration against those learned before, as a shift: an
/// average over about sixteen tasks.
const LEARNING_SHIFT: u32 = 4;
/// Weight of a caller's estimate against the queue's learned duration, in
/// thousandths: estimates are off by a factor of two and more.
const ESTIMATE_WEIGHT_PERMILLE: u64 = 400;
/// Share of a job's slack that the work before it may take at the present
/// capacity, in percent: other pools' machines join within three seconds.
const ADMITTED_WAIT_PERCENT: u64 = 220;
/// Shortest time after which a caller that was turned away may ask again.
const SHORTEST_RETRY_MS: u64 = 1000;
/// Longest such time: a surge passes in seconds.
const LONGEST_RETRY_MS: u64 = 8000;
/// How long refused work counts as demand.
const REFUSED_COUNTS_MS: u64 = 1500;
/// Refusals that are kept at most.
const REFUSALS_KEPT: usize = 512;
/// How long a refusal is kept, so that a caller that comes back is known.
const REFUSALS_KEPT_MS: u64 = 10_000;
/// Capacity that is reckoned with while a pool has no usable worker.
const LEAST_CAPACITY_MILLICORES: u64 = 64_000;
/// Retry time for what no worker could hold.
const HOPELESS_RETRY_MS: u64 = 30_000;

/// What is learned of the queues' tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Learned duration of a task by queue, in sixteenths of a millisecond.
    duration_of_queue: HashMap<String, u64>,
    /// Work that was turned away, by when; a caller's first try only.
    refused: VecDeque<(u64, JobId, u64)>,
}

/// A pool's load, for operators and for moves between pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Processor of usable workers, in thousandths of a core.
    pub capacity_millicores: u64,
    /// Processor that long-running tasks hold.
    pub lasting_millicores: u64,
    /// Estimated work that is accepted and not done.
    pub backlog_core_ms: u64,
}

impl Load {
    /// Time in which the accepted work is done at full use.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        let free = self
            .capacity_millicores
            .saturating_sub(self.lasting_millicores);
        self.backlog_core_ms * 1000 / free.max(1)
    }
}

impl PoolScheduler {
    /// Learns how long a task took.
    pub(super) fn learn_duration(&mut self, task: TaskId, took_ms: u64) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if job.step(task.step.step).long_running {
            return;
        }
        let learned = self
            .load
            .duration_of_queue
            .entry(job.record.queue.clone())
            .or_insert(took_ms << LEARNING_SHIFT);
        *learned = *learned - (*learned >> LEARNING_SHIFT) + took_ms;
    }

    /// Expected duration of a task with a caller's estimate.
    fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let Some(learned) = self.load.duration_of_queue.get(queue) else {
            return estimate_ms;
        };
        let learned_ms = learned >> LEARNING_SHIFT;
        (estimate_ms * ESTIMATE_WEIGHT_PERMILLE + learned_ms * (1000 - ESTIMATE_WEIGHT_PERMILLE))
            / 1000
    }

    /// Expected time of a job's longest chain.
    fn expected_chain_ms(&self, queue: &str, spec: &JobSpec) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            let start = step
                .after
                .iter()
                .map(|&after| ends[usize::from(after)])
                .max();
            ends.push(start.unwrap_or(0) + self.expected_ms(queue, step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Time within which a job is of full use to its caller.
    pub(super) fn objective_ms(&self, entry: &JobEntry) -> u64 {
        let rules = self.rules_of(entry);
        let chain_ms = self.expected_chain_ms(&entry.record.queue, &entry.spec);
        chain_ms * rules.stretch_permille / 1000 + rules.objective_ms
    }

    /// The pool's load now.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let mut load = Load::default();
        for worker in self.lives.values() {
            if Self::is_usable(worker, now) {
                load.capacity_millicores += worker.entry.capacity.cpu_millicores;
            }
        }
        for job in self.jobs.values().filter(|job| !job.status.is_final()) {
            for steps in job.occurrences.values() {
                for (entry, step) in steps.iter().zip(&job.spec.steps) {
                    if step.fills {
                        continue;
                    }
                    let cpu = u64::from(entry.remaining) * step.resources.cpu_millicores;
                    if step.long_running {
                        load.lasting_millicores += cpu;
                    } else {
                        let each_ms = self.expected_ms(&job.record.queue, step.estimate_ms);
                        load.backlog_core_ms += cpu * each_ms / 1000;
                    }
                }
            }
        }
        load
    }

    /// Whether to turn a job away, and when its caller may ask again.
    ///
    /// A surge asks several times what a pool holds. What is accepted beyond
    /// the objective helps nobody and delays all that comes after, so a job is
    /// taken only while the accepted work leaves it time for its own chain.
    /// Long-running jobs are always taken: they earn from whenever they start.
    pub(super) fn refuse(
        &self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) -> Option<u64> {
        if !self.could_hold(spec) {
            return Some(HOPELESS_RETRY_MS);
        }
        if spec.is_long_running() || spec.schedule.is_some() {
            return None;
        }
        let mut load = self.load(now);
        if load.capacity_millicores == 0 {
            // Machines are on their way to a pool that has none.
            load.capacity_millicores = LEAST_CAPACITY_MILLICORES;
        }
        let rules = self.queues.get(&record.queue)?;
        let chain_ms = self.expected_chain_ms(&record.queue, spec);
        let objective_ms = chain_ms * rules.stretch_permille / 1000 + rules.objective_ms;
        let gone_ms = self
            .first_refused_ms(id)
            .map_or(0, |at_ms| now.steady_ms - at_ms);
        let slack_ms = objective_ms.saturating_sub(chain_ms + gone_ms);
        let wait_ms = load.wait_ms();
        let allowed_ms = slack_ms * ADMITTED_WAIT_PERCENT / 100;
        // A caller that comes back too late for its objective only gets room
        // that nobody else wants.
        let in_time = slack_ms > 0 && wait_ms <= allowed_ms;
        if in_time || (self.ready.is_empty() && self.has_room_for_start(spec, now)) {
            return None;
        }
        let retry_ms = wait_ms.saturating_sub(allowed_ms);
        Some(retry_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
    }

    /// When a job was first turned away, if that is not long ago.
    pub(super) fn first_refused_ms(&self, id: JobId) -> Option<u64> {
        let mut refused = self.load.refused.iter();
        let (at_ms, _, _) = refused.find(|(_, known, _)| *known == id)?;
        Some(*at_ms)
    }

    /// Whether the first steps of a job would all find room now.
    fn has_room_for_start(&self, spec: &JobSpec, now: Instant) -> bool {
        let first = spec.steps.iter().filter(|step| step.after.is_empty());
        let mut wanted: Vec<(u32, Resources)> =
            first.map(|step| (step.replicas, step.reserved())).collect();
        for worker in self.lives.values() {
            if !Self::is_usable(worker, now) {
                continue;
            }
            let mut used = worker.used;
            for (left, need) in &mut wanted {
                while *left > 0 && worker.entry.capacity.fits(used, *need) {
                    used = used.plus(*need);
                    *left -= 1;
                }
            }
        }
        wanted.iter().all(|(left, _)| *left == 0)
    }

    /// Notes work that was turned away: it shows how much more the pool could
    /// use.
    pub(super) fn note_refused(
        &mut self,
        id: JobId,
        record: &JobRecord,
        spec: &JobSpec,
        now: Instant,
    ) {
        let queue = record.queue.as_str();
        let work = spec
            .steps
            .iter()
            .filter(|step| !step.fills && !step.long_running)
            .map(|step| {
                let cpu = u64::from(step.replicas) * step.resources.cpu_millicores;
                cpu * self.expected_ms(queue, step.estimate_ms) / 1000
            });
        let work = work.sum();
        let refused = &mut self.load.refused;
        if refused.iter().any(|(_, known, _)| *known == id) {
            return;
        }
        refused.push_back((now.steady_ms, id, work));
        while refused.len() > REFUSALS_KEPT
            || refused
                .front()
                .is_some_and(|(at_ms, _, _)| at_ms + REFUSALS_KEPT_MS <= now.steady_ms)
        {
            refused.pop_front();
        }
    }

    /// What the owner of the fleet needs to know.
    #[must_use]
    pub fn report(&self, now: Instant) -> PoolReport {
        let load = self.load(now);
        let refused = self.load.refused.iter();
        let recent = refused.filter(|(at_ms, _, _)| at_ms + REFUSED_COUNTS_MS > now.steady_ms);
        let usable = self
            .lives
            .values()
            .filter(|worker| Self::is_usable(worker, now));
        PoolReport {
            capacity_millicores: load.capacity_millicores,
            lasting_millicores: load.lasting_millicores,
            backlog_core_ms: load.backlog_core_ms,
            refused_core_ms: recent.map(|(_, _, work)| work).sum(),
            least_workers: self.least_workers(),
            workers: u32::try_from(usable.count()).unwrap_or(u32::MAX),
            vacated: self.vacated(),
            cheapest: self.cheapest(now),
        }
    }

    /// Fewest workers on which each step finds its places, and one more for a
    /// task that has to move.
    fn least_workers(&self) -> u32 {
        let active = self.jobs.values().filter(|job| !job.status.is_final());
        let steps = active.flat_map(|job| job.spec.steps.iter());
        let places = steps.map(|step| match step.max_per_worker {
            Some(most) => step.replicas.div_ceil(most.max(1)) + 1,
            None => 1,
        });
        places.max().unwrap_or(1)
    }

    /// Whether some worker known here could hold each task by itself.
    fn could_hold(&self, spec: &JobSpec) -> bool {
        if self.lives.is_empty() {
            return true;
        }
        spec.steps.iter().all(|step| {
            self.lives.values().any(|worker| {
                worker
                    .entry
                    .capacity
                    .fits(Resources::default(), step.reserved())
            })
        })
    }
}
