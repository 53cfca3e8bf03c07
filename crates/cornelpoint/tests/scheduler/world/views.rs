//! Takeovers that follow one another within a partition, orders into a partition, workers
//! that the registry misses or that leave, and a time without jobs after which the known
//! readings of workers' clocks are old.

use std::collections::BTreeSet;

use cornelpoint::scheduler::Action;
use cornelpoint::worker::OrderOutcome;
use rand::RngExt;

use super::World;
use super::event::Event;
use super::event::Reply;
use super::event::no_answer;
use crate::fake_worker::FakeWorker;
use crate::support::at;

/// Jobs that are submitted before the idle time.
const EARLY_JOBS: u64 = 7;
const IDLE_END_MS: u64 = 75_000;
/// End of the second phase of faults.
pub(super) const FAULTS_END_MS: u64 = 97_000;
/// Leaves time for the waits for leases and two long tasks, one after another.
pub(super) const END_MS: u64 = 160_000;
/// Time after the idle time within which the owner is lost, soon after its first starts.
const FIRST_LOSS_MS: u64 = 1000;
/// Duration of tasks that may outlast a takeover and the wait for leases.
pub(super) const LONGEST_WORK_MS: u64 = 14_000;
/// Rate of the slowest clock that a worker may have, in thousandths.
const SLOWEST_PERMILLE: u64 = 980;

#[derive(Debug, Default)]
pub(super) struct Views {
    /// When the owner is lost again after a takeover.
    next_loss_ms: Option<u64>,
    takeovers: usize,
    /// Until when the registry misses a worker, by its number.
    missed_until_ms: Vec<u64>,
    draining: BTreeSet<usize>,
    vacating: BTreeSet<String>,
}

impl Views {
    pub(super) fn heal(&mut self) {
        let workers = self.missed_until_ms.len();
        *self = Self {
            takeovers: self.takeovers,
            missed_until_ms: vec![0; workers],
            ..Self::default()
        };
    }
}

pub(super) fn injects_faults(now_ms: u64) -> bool {
    (IDLE_END_MS..FAULTS_END_MS).contains(&now_ms)
}

/// Whether no job is submitted after so many.
pub(super) fn is_idle(now_ms: u64, submitted: u64) -> bool {
    submitted >= EARLY_JOBS && now_ms < IDLE_END_MS
}

impl World {
    /// Adds the faults of this module. Half of the workers have the slowest clock.
    pub(crate) fn with_limited_views(mut self) -> Self {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let permille = if number % 2 == 0 {
                SLOWEST_PERMILLE
            } else {
                1000
            };
            *worker = FakeWorker::new(&worker.id, 0, permille, true);
        }
        self.views = Some(Views {
            missed_until_ms: vec![0; self.workers.len()],
            ..Views::default()
        });
        self
    }

    /// Takes out of the registry what it misses.
    pub(super) fn limit_view(&mut self) {
        let Some(views) = &self.views else { return };
        let now_ms = self.now_ms;
        for &number in &views.draining {
            self.listed[number].draining = true;
        }
        let mut missed_until_ms = views.missed_until_ms.iter();
        self.listed
            .retain(|_| missed_until_ms.next().is_some_and(|until| *until <= now_ms));
    }

    /// Loses the owner again soon after a takeover, and right after the idle time.
    fn lose_owner_again(&mut self) {
        let (now_ms, takeovers) = (self.now_ms, self.takeovers);
        let next_loss_ms = self.views.as_ref().and_then(|views| views.next_loss_ms);
        let is_lost = next_loss_ms.is_some_and(|at_ms| at_ms <= now_ms);
        if is_lost {
            self.lose_owner();
        }
        let follows = self.chance(50);
        let after_takeover_ms = now_ms + self.random.random_range(100..5000);
        let after_idle_ms = now_ms + self.random.random_range(0..FIRST_LOSS_MS);
        let Some(views) = &mut self.views else { return };
        if is_lost {
            views.next_loss_ms = None;
        }
        if now_ms == IDLE_END_MS {
            views.next_loss_ms = Some(after_idle_ms);
        } else if views.takeovers < takeovers {
            views.takeovers = takeovers;
            views.next_loss_ms = follows.then_some(after_takeover_ms);
        }
    }

    pub(super) fn inject_view_fault(&mut self) {
        if self.views.is_none() {
            return;
        }
        self.lose_owner_again();
        let Some(mut views) = self.views.take() else {
            return;
        };
        let number = self.random.random_range(0..self.workers.len());
        if self.random.random_range(0..150) == 0 {
            views.missed_until_ms[number] = self.now_ms + self.random.random_range(1000..9000);
        }
        if self.random.random_range(0..200) == 0 && !views.draining.remove(&number) {
            views.draining.insert(number);
        }
        let vacated = self.random.random_range(0..200) == 0;
        let id = self.workers[number].id.clone();
        if vacated && !views.vacating.remove(&id) {
            views.vacating.insert(id);
        }
        // The request is repeated while it holds.
        if vacated || self.now_ms.is_multiple_of(1000) {
            let now = at(self.now_ms);
            for owner in &mut self.owners {
                owner.scheduler.vacate(&views.vacating, now);
            }
        }
        self.views = Some(views);
    }

    /// Sends an action to a worker that can't be reached: it is known not to have been
    /// sent, is lost, arrives late, or is carried out while its answer is lost.
    pub(super) fn send_into_partition(&mut self, owner: usize, action: Action) {
        let reply = match (self.random.random_range(0..10), &action) {
            (
                0..4,
                Action::Start {
                    incarnation,
                    task,
                    run,
                    ..
                },
            ) => Reply::Start(*incarnation, *task, *run, OrderOutcome::NotSent),
            (
                0..4,
                Action::Stop {
                    incarnation,
                    task,
                    run,
                },
            ) => Reply::Stop(*incarnation, *task, *run, OrderOutcome::NotSent),
            _ => no_answer(&action),
        };
        if matches!(
            reply,
            Reply::Start(.., OrderOutcome::NotSent) | Reply::Stop(.., OrderOutcome::NotSent)
        ) {
            self.push(20, Event::Reply(owner, reply));
            return;
        }
        self.push(300, Event::Reply(owner, reply));
        match self.random.random_range(0..10) {
            0 => {
                self.carry_out(owner, &action);
            }
            1 => {
                let late_ms = self.random.random_range(500..9000);
                let worker = self.worker_of(owner, &action);
                let born_unix_ms = worker.map_or(0, |worker| self.workers[worker].born_unix_ms);
                self.push(late_ms, Event::LateOrder(owner, action, born_unix_ms));
            }
            _ => {}
        }
    }
}
