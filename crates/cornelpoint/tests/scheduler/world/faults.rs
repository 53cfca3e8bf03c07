//! Process kills, network partitions and takeovers.

use std::collections::BTreeSet;

use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::PredecessorBounds;
use cornelpoint::scheduler::SchedulerSettings;
use rand::RngExt;

use super::FAULTS_END_MS;
use super::LEASE_EXPIRY_MS;
use super::MAX_UNCONFIRMED_MS;
use super::Mutant;
use super::Owner;
use super::WORKERS;
use super::World;
use crate::support::POOL;
use crate::support::at;
use crate::support::queue;

impl World {
    /// At random, kills or isolates the owner and starts a successor,
    /// partitions the owner from workers, or heals its partitions.
    pub(super) fn inject_fault(&mut self) {
        let current = self.owners.len() - 1;
        let healing_interval = self.views.as_ref().map_or(200, |_| 400);
        if self.random.random_range(0..self.loss_interval()) == 0 {
            self.lose_owner();
        } else if self.random.random_range(0..300) == 0 {
            self.partition(current);
        } else if self.random.random_range(0..healing_interval) == 0 {
            self.owners[current].partitioned_from.clear();
        }
    }

    /// Ticks between two losses of the owner, on average. Rarer after the idle time, so that
    /// successors wait for leases to their end.
    fn loss_interval(&self) -> i32 {
        if self.views.is_some() && self.now_ms > FAULTS_END_MS {
            700
        } else if self.copies {
            400
        } else {
            150
        }
    }

    /// Kills or isolates the owner and starts a successor.
    pub(super) fn lose_owner(&mut self) {
        let current = self.owners.len() - 1;
        let killed = self.chance(50);
        if killed {
            self.owners[current].alive = false;
        } else {
            self.owners[current].has_store = false;
            self.partition(current);
        }
        self.take_over(killed);
        if self.splits && !killed {
            self.split(current);
        }
    }

    /// Leaves an owner the worker that runs most, and its successor the others.
    fn split(&mut self, owner: usize) {
        let busiest = (0..WORKERS).max_by_key(|worker| self.workers[*worker].used_millicores());
        let worker = busiest.unwrap_or(0);
        let others = (0..WORKERS).filter(|other| *other != worker);
        self.owners[owner].partitioned_from = others.collect();
        self.owners[owner + 1].partitioned_from = BTreeSet::from([worker]);
    }

    fn partition(&mut self, owner: usize) {
        for worker in 0..WORKERS {
            if self.chance(40) {
                self.owners[owner].partitioned_from.insert(worker);
            }
        }
    }

    pub(super) fn heal(&mut self) {
        for owner in &mut self.owners {
            owner.partitioned_from.clear();
            owner.has_store = true;
        }
        if let Some(views) = &mut self.views {
            views.heal();
            for owner in &mut self.owners {
                owner.scheduler.vacate(&BTreeSet::new(), at(self.now_ms));
            }
        }
    }

    pub(super) fn take_over(&mut self, predecessor_ended: bool) {
        let first = self.store.token == 0;
        let bounds = PredecessorBounds {
            replaced_ms: self.now_ms,
            earlier_leases_end_ms: self.store.predecessor_leases_end_ms,
            lease_expiry_ms: LEASE_EXPIRY_MS,
        };
        self.store.token += 1;
        let may_act_ms = if predecessor_ended {
            0
        } else {
            MAX_UNCONFIRMED_MS
        };
        let leases_end_ms = self.now_ms + may_act_ms + LEASE_EXPIRY_MS;
        if !first {
            self.store.predecessor_leases_end_ms =
                self.store.predecessor_leases_end_ms.max(leases_end_ms);
            self.takeovers += 1;
        }
        let mut scheduler =
            PoolScheduler::new(POOL, self.store.token, SchedulerSettings::default());
        let queue = queue();
        scheduler.set_queues(std::iter::once(&queue));
        let waits = self.mutant != Mutant::NoWaitForLeases;
        let leases_end_ms = if waits {
            self.store.predecessor_leases_end_ms
        } else {
            0
        };
        scheduler.set_predecessor(self.store.workers.clone(), leases_end_ms);
        scheduler.bound_predecessor(bounds);
        for (id, record) in &self.store.records {
            let spec = record
                .job
                .clone()
                .try_into()
                .expect("a stored job is valid");
            let progress = self.store.progress.get(id);
            scheduler.restore(*id, record.clone(), spec, progress, at(self.now_ms));
        }
        let mut owner = Owner {
            scheduler,
            token: self.store.token,
            alive: true,
            has_store: true,
            partitioned_from: BTreeSet::new(),
            confirmed_ms: self.now_ms,
        };
        let cut_off_percent = self.views.as_ref().map_or(15, |_| 40);
        for worker in 0..WORKERS {
            if !first && self.chance(cut_off_percent) {
                owner.partitioned_from.insert(worker);
            }
        }
        self.owners.push(owner);
    }
}
