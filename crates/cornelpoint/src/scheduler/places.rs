use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;
use crate::job::TaskId;

use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::task_entry::Phase;
use super::worker_choice::has_label;
use super::worker_state::WorkerState;

/// Room on workers for tasks that last and have to move or wait, each of which takes
/// some of it.
pub(super) struct Places {
    workers: Vec<Place>,
    /// Steps of which no further task fits.
    without_place: BTreeSet<StepId>,
}

struct Place {
    incarnation: IncarnationIndex,
    used: Resources,
    claims: BTreeMap<StepId, u32>,
}

impl Place {
    fn claim(&mut self, worker: &WorkerState, id: StepId, step: &Step) -> bool {
        let claimed = self.claims.get(&id).copied().unwrap_or(0);
        let tasks = worker.tasks_of(id) + claimed;
        let fits = step.max_per_worker.is_none_or(|limit| tasks < limit)
            && has_label(worker, step.required_label.as_deref())
            && worker.entry.capacity.fits(self.used, step.reserved());
        if fits {
            self.used = self.used.plus(step.reserved());
            self.claims.insert(id, claimed + 1);
        }
        fits
    }
}

impl PoolScheduler {
    /// Returns the room that there is now, less what the tasks that last and have no
    /// worker, or are being stopped on workers that leave, will take.
    pub(super) fn free_places(&self, now: Instant) -> Places {
        let workers = self.incarnations.iter();
        let usable = workers.filter(|(_, worker)| Self::is_usable(worker, now));
        let mut places = Places {
            workers: usable
                .map(|(&incarnation, worker)| Place {
                    incarnation,
                    used: worker.used,
                    claims: BTreeMap::new(),
                })
                .collect(),
            without_place: BTreeSet::new(),
        };
        let stopping = self.lasting_runs_that_leave();
        let stopping = stopping.filter(|&(task, run)| self.is_stopping(task, run));
        let waiting = self.waiting_lasting_tasks();
        for task in stopping.map(|(task, _)| task).chain(waiting) {
            self.claim_place(&mut places, task.step);
        }
        places
    }

    /// Returns the room that tasks that last leave on the workers that stay, also on
    /// those that may get no tasks at the moment.
    pub(super) fn places_beside_lasting(&self) -> Places {
        let workers = self.incarnations.iter();
        let staying = workers
            .filter(|(_, worker)| worker.listed && !worker.vacating && !worker.entry.draining);
        Places {
            workers: staying
                .map(|(&incarnation, worker)| Place {
                    incarnation,
                    used: self.used_by_lasting(worker),
                    claims: BTreeMap::new(),
                })
                .collect(),
            without_place: BTreeSet::new(),
        }
    }

    /// Takes a place for one more task of a step. Returns whether there was one.
    pub(super) fn claim_place(&self, places: &mut Places, id: StepId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        if places.without_place.contains(&id) {
            return false;
        }
        let step = job.step(id.step);
        let claimed = places.workers.iter_mut().any(|place| {
            let worker = self.incarnations.get(&place.incarnation);
            worker.is_some_and(|worker| place.claim(worker, id, step))
        });
        if !claimed {
            places.without_place.insert(id);
        }
        claimed
    }

    /// Returns the tasks that last and wait for workers.
    pub(super) fn waiting_lasting_tasks(&self) -> impl Iterator<Item = TaskId> {
        let lasting = self.ready.iter().take_while(|(key, _)| !key.is_batch);
        lasting.flat_map(|(key, ready)| ready.tasks.iter().map(|index| key.step.task(index)))
    }

    /// Returns the runs of tasks that last on workers that leave.
    pub(super) fn lasting_runs_that_leave(&self) -> impl Iterator<Item = (TaskId, u64)> {
        let workers = self.incarnations.values();
        let leaving = workers.filter(|worker| worker.vacating || worker.entry.draining);
        let runs = leaving.flat_map(|worker| worker.runs.keys().copied());
        runs.filter(|(task, _)| {
            let job = self.jobs.get(&task.step.job);
            job.is_some_and(|job| !job.status.is_final() && job.step(task.step.step).long_running)
        })
    }

    fn is_stopping(&self, task: TaskId, number: u64) -> bool {
        let job = self.jobs.get(&task.step.job);
        let run = job.and_then(|job| job.task(task)?.run(number));
        run.is_some_and(|run| matches!(run.phase, Phase::Stopping { .. } | Phase::Stopped { .. }))
    }
}
