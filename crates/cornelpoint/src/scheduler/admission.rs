use std::collections::HashMap;
use std::collections::VecDeque;

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
/// Share of a step's expected time that it takes if all goes well, in percent:
/// durations spread by 40% around what is expected.
const HOPEFUL_PERCENT: u64 = 70;
/// Shortest time after which a caller that was turned away may ask again.
const SHORTEST_RETRY_MS: u64 = 1000;
/// Longest such time: a surge passes in seconds.
const LONGEST_RETRY_MS: u64 = 8000;
/// How long refused work counts as demand.
pub(super) const REFUSED_COUNTS_MS: u64 = 1500;
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
    pub(super) refused: VecDeque<(u64, JobId, u64)>,
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
            .estimate
            .duration_of_queue
            .entry(job.record.queue.clone())
            .or_insert(took_ms << LEARNING_SHIFT);
        *learned = *learned - (*learned >> LEARNING_SHIFT) + took_ms;
    }

    /// Expected duration of a task with a caller's estimate.
    pub(super) fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let Some(learned) = self.estimate.duration_of_queue.get(queue) else {
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

    /// Time from the start of each step to the end of the job, if all goes
    /// well.
    pub(super) fn hopeful_chains_ms(&self, entry: &JobEntry) -> Vec<u64> {
        let steps = &entry.spec.steps;
        let mut chains = vec![0; steps.len()];
        for (place, step) in steps.iter().enumerate().rev() {
            let own_ms = self.expected_ms(&entry.record.queue, step.estimate_ms);
            chains[place] += own_ms * HOPEFUL_PERCENT / 100;
            for &earlier in &step.after {
                let earlier = usize::from(earlier);
                chains[earlier] = chains[earlier].max(chains[place]);
            }
        }
        chains
    }

    /// Time within which a job is of full use to its caller.
    pub(super) fn objective_ms(&self, entry: &JobEntry) -> u64 {
        let rules = self.rules_of(entry);
        let chain_ms = self.expected_chain_ms(&entry.record.queue, &entry.spec);
        chain_ms * rules.stretch_permille / 1000 + rules.objective_ms
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
        if in_time || self.has_idle_room(spec, now) {
            return None;
        }
        let retry_ms = wait_ms.saturating_sub(allowed_ms);
        Some(retry_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
    }

    /// When a job was first turned away, if that is not long ago.
    pub(super) fn first_refused_ms(&self, id: JobId) -> Option<u64> {
        let mut refused = self.estimate.refused.iter();
        let (at_ms, _, _) = refused.find(|(_, known, _)| *known == id)?;
        Some(*at_ms)
    }

    /// Whether the first steps of a job would all find room now, beside all
    /// that waits already.
    fn has_idle_room(&self, spec: &JobSpec, now: Instant) -> bool {
        let first = spec.steps.iter().filter(|step| step.after.is_empty());
        let mut wanted: Vec<(u32, Resources)> =
            first.map(|step| (step.replicas, step.reserved())).collect();
        let mut waiting_millicores = self.waiting_millicores();
        for worker in self.lives.values() {
            if !Self::is_usable(worker, now) {
                continue;
            }
            let mut used = worker.used;
            let free = worker.entry.capacity.minus(used).cpu_millicores;
            let taken = free.min(waiting_millicores);
            waiting_millicores -= taken;
            used.cpu_millicores += taken;
            for (left, need) in &mut wanted {
                while *left > 0 && worker.entry.capacity.fits(used, *need) {
                    used = used.plus(*need);
                    *left -= 1;
                }
            }
        }
        wanted.iter().all(|(left, _)| *left == 0)
    }

    /// Processor that the tasks that wait for a worker ask for.
    fn waiting_millicores(&self) -> u64 {
        let waiting = self.ready.iter().filter_map(|(key, indexes)| {
            let step = self.jobs.get(&key.step.job)?.step(key.step.step);
            Some(step.reserved().cpu_millicores * indexes.len() as u64)
        });
        waiting.sum()
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
        let refused = &mut self.estimate.refused;
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

    /// Fewest workers on which each step finds its places, and one more for a
    /// task that has to move.
    pub(super) fn least_workers(&self) -> u32 {
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
