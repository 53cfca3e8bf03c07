use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::job::Resources;
use cornelpoint::quota::QuotaCall;
use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaWrite;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::limits::Configurations;
use super::owner::Owner;
use super::owner::Reservation;
use super::store::Store;

/// Age from which a configuration doesn't count as confirmed.
pub(super) const CONFIGURATION_MS: u64 = 3000;
pub(super) const TENANTS: [&str; 2] = ["large", "small"];
pub(super) const CAPACITY: Resources = cores(8);
const POOLS: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 4;
const STEP_MS: u64 = 10;
/// Time for which the store's timeout lets a caller wait.
const TIMEOUT_MS: u64 = 1500;
/// Time after a takeover at which all leases of predecessors have ended.
const LEASES_END_MS: u64 = 10_850;

pub(super) const fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millicores: cores * 1000,
        memory_mb: cores * 512,
        accelerators: 0,
    }
}

/// A fault that the model has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// Owners use allotments that they have given back.
    OldAllotment,
    /// A successor doesn't count what workers may run that have not reported.
    ForgottenPredecessor,
    /// An order without an answer doesn't count until the run is listed.
    UncountedLateStart,
    /// A write without an answer counts as not carried out.
    ForgottenWrite,
}

/// An order to start a run that has not reached its worker.
struct Order {
    pool: usize,
    fencing_token: u64,
    run: u64,
    reservation: Reservation,
    sent_ms: u64,
    due_ms: u64,
    is_lost: bool,
}

#[derive(Default)]
struct Worker {
    fencing_token: u64,
    /// Runs, with the tokens of their orders.
    runs: BTreeMap<u64, (u64, Reservation)>,
    silent_until_ms: u64,
}

struct Pool {
    workers: Vec<Worker>,
    owners: Vec<Owner>,
    taken_over_ms: u64,
    waiting: Vec<Resources>,
}

/// A call of an owner on its way to the store, or its answer on the way back.
struct Call {
    pool: usize,
    fencing_token: u64,
    due_ms: u64,
    stage: Stage,
}

enum Stage {
    Request {
        call: QuotaCall,
        is_answered: bool,
    },
    Reply(QuotaReply),
    /// A write whose caller no longer waits.
    Late(QuotaWrite),
}

pub(crate) struct World {
    random: ChaCha8Rng,
    mutant: Option<Mutant>,
    now_ms: u64,
    has_faults: bool,
    /// Whether owners and limits stay and the store has more faults. Every other schedule is
    /// like that: takeovers settle most of what an unanswered write leaves in doubt.
    has_store_faults: bool,
    store: Store,
    store_away_until_ms: u64,
    configurations: Configurations,
    pools: Vec<Pool>,
    orders: Vec<Order>,
    calls: Vec<Call>,
    next_run: u64,
    pub(crate) starts: u64,
    /// What was found when a start broke the limit.
    pub(crate) broken: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64, mutant: Option<Mutant>) -> Self {
        let pools = POOLS.iter().map(|pool| Pool {
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            owners: vec![Owner::new(pool, 1, BTreeSet::new())],
            taken_over_ms: 0,
            waiting: vec![Resources::default(); TENANTS.len()],
        });
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            mutant,
            now_ms: 0,
            has_faults: true,
            has_store_faults: seed % 2 == 1,
            store: Store::default(),
            store_away_until_ms: 0,
            configurations: Configurations::new(vec![cores(24), cores(10)]),
            pools: pools.collect(),
            orders: Vec::new(),
            calls: Vec::new(),
            next_run: 1,
            starts: 0,
            broken: None,
        }
    }

    pub(crate) fn writes(&self) -> usize {
        self.store.committed
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_ratio(1, one_in)
    }

    fn within(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn one_of(&mut self, choices: &[u64]) -> u64 {
        choices[self.random.random_range(0..choices.len())]
    }

    /// Runs for a time, or until a start breaks a limit.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms && self.broken.is_none() {
            self.now_ms += STEP_MS;
            if self.has_faults {
                self.change_demand();
                self.make_trouble();
            }
            self.carry_out_orders();
            self.carry_out_calls();
            for pool in 0..POOLS.len() {
                self.end_runs(pool);
                self.drop_owners(pool);
                for owner in 0..self.pools[pool].owners.len() {
                    self.inform(pool, owner);
                    self.hear_workers(pool, owner);
                    self.begin_call(pool, owner);
                    self.start_tasks(pool, owner);
                }
            }
        }
    }

    /// Ends all faults and lets one pool only have work, of the first tenant. Returns how
    /// much of the limit, in percent, its allotment is after a time.
    pub(crate) fn share_of_only_pool(&mut self, duration_ms: u64) -> u64 {
        self.has_faults = false;
        self.store_away_until_ms = 0;
        for pool in &mut self.pools {
            pool.waiting = vec![Resources::default(); TENANTS.len()];
            for worker in &mut pool.workers {
                worker.silent_until_ms = 0;
            }
            for owner in &mut pool.owners {
                owner.cut_off_until_ms = 0;
            }
        }
        self.pools[0].waiting[0] = cores(1000);
        self.run(duration_ms);
        let limit = self.configurations.newest_limits()[0].memory_mb;
        let owner = self.pools[0].owners.last().unwrap();
        let allotted = owner.quota.allotment(TENANTS[0]).allotted.memory_mb;
        let most = limit.min(CAPACITY.memory_mb * WORKERS as u64);
        allotted * 100 / most
    }

    fn change_demand(&mut self) {
        for pool in 0..POOLS.len() {
            for tenant in 0..TENANTS.len() {
                if self.chance(150) {
                    let most = self.one_of(&[0, 0, 4, 60]);
                    self.pools[pool].waiting[tenant] = cores(most);
                }
            }
        }
    }

    fn make_trouble(&mut self) {
        let is_due = self.now_ms >= self.configurations.changed_ms() + CONFIGURATION_MS;
        if is_due && !self.has_store_faults && self.chance(300) {
            let limits = (0..TENANTS.len()).map(|_| {
                // CPU has no limit at times, memory always has one.
                let limit = cores(self.one_of(&[4, 10, 16, 40, 60, 80]));
                let cpu = cores(self.one_of(&[0, 0, 4, 10, 16, 40, 60, 80]));
                Resources {
                    cpu_millicores: cpu.cpu_millicores,
                    ..limit
                }
            });
            let limits = limits.collect();
            self.configurations.commit(limits, self.now_ms);
        }
        if self.chance(1500) {
            self.store_away_until_ms = self.now_ms + self.within(500..5000);
        }
        for pool in 0..POOLS.len() {
            if self.chance(700) {
                let worker = self.random.random_range(0..WORKERS);
                let until_ms = self.now_ms + self.within(500..9000);
                self.pools[pool].workers[worker].silent_until_ms = until_ms;
            }
            let one_in = if self.has_store_faults { 250 } else { 400 };
            if self.chance(one_in) {
                let until_ms = self.now_ms + self.within(500..9000);
                self.pools[pool].owners.last_mut().unwrap().cut_off_until_ms = until_ms;
            }
            if !self.has_store_faults && self.chance(700) {
                self.take_over(pool);
            }
        }
    }

    /// Gives a pool a new owner. The former one goes on until it notices.
    fn take_over(&mut self, pool: usize) {
        let ends_ms = self.now_ms + self.within(0..6500);
        let former = self.pools[pool].owners.last_mut().unwrap();
        former.ends_ms = ends_ms;
        let fencing_token = former.fencing_token + 1;
        let workers = (0..WORKERS).collect();
        let owner = Owner::new(POOLS[pool], fencing_token, workers);
        self.pools[pool].owners.push(owner);
        self.pools[pool].taken_over_ms = self.now_ms;
    }

    /// Ends owners whose ownership isn't confirmed any more, and the leases of earlier ones.
    fn drop_owners(&mut self, pool: usize) {
        let now_ms = self.now_ms;
        let Pool {
            owners,
            workers,
            taken_over_ms,
            ..
        } = &mut self.pools[pool];
        owners.retain(|owner| owner.ends_ms > now_ms);
        let current = owners.last_mut().unwrap();
        if now_ms < *taken_over_ms + LEASES_END_MS {
            return;
        }
        for worker in std::mem::take(&mut current.unreported) {
            let worker = &mut workers[worker];
            worker.fencing_token = current.fencing_token;
            let token = current.fencing_token;
            worker.runs.retain(|_, (run_token, _)| *run_token >= token);
        }
    }

    fn end_runs(&mut self, pool: usize) {
        for worker in 0..WORKERS {
            let runs: Vec<u64> = self.pools[pool].workers[worker]
                .runs
                .keys()
                .copied()
                .collect();
            for run in runs {
                if self.chance(120) {
                    self.pools[pool].workers[worker].runs.remove(&run);
                }
            }
        }
    }

    /// Lets an owner read the row and have its configuration confirmed.
    fn inform(&mut self, pool: usize, owner: usize) {
        let now_ms = self.now_ms;
        let (hears_row, hears_configuration) = (self.chance(4), self.chance(20));
        let read_ms = now_ms.saturating_sub(self.within(0..600));
        let hears_peers = self.chance(3);
        let configuration = self.configurations.newest_at(read_ms);
        let row = self.store.read();
        let store_away = now_ms < self.store_away_until_ms;
        let owner = &mut self.pools[pool].owners[owner];
        let is_cut_off = store_away || now_ms < owner.cut_off_until_ms;
        // Peers tell of the configuration where the store can't be reached.
        if hears_configuration && (!is_cut_off || hears_peers) {
            let tenants = configuration.tenants();
            let pools = POOLS.into_iter();
            owner
                .quota
                .set_limits(configuration.version, &tenants, pools);
            owner.quota.configuration_confirmed(read_ms);
        }
        if hears_row && !is_cut_off {
            owner.quota.row_read(row);
        }
        if now_ms.is_multiple_of(800) {
            owner.old_quota = owner.quota.clone();
        }
        owner.old_quota.configuration_confirmed(now_ms);
    }

    /// Lets an owner exchange reports with the workers that answer.
    fn hear_workers(&mut self, pool: usize, owner: usize) {
        for worker in 0..WORKERS {
            let now_ms = self.now_ms;
            if !self.chance(5) || now_ms < self.pools[pool].workers[worker].silent_until_ms {
                continue;
            }
            let mutant = self.mutant;
            let Pool {
                workers, owners, ..
            } = &mut self.pools[pool];
            let (worker_state, owner) = (&mut workers[worker], &mut owners[owner]);
            if worker_state.fencing_token > owner.fencing_token {
                owner.ends_ms = now_ms;
                continue;
            }
            worker_state.fencing_token = owner.fencing_token;
            owner.unreported.remove(&worker);
            let orders = &self.orders;
            owner.reservations.retain(|run, reservation| {
                let is_under_way = orders.iter().any(|order| order.run == *run);
                reservation.worker != worker
                    || worker_state.runs.contains_key(run)
                    || (is_under_way && mutant != Some(Mutant::UncountedLateStart))
            });
            for (run, (_, reservation)) in &worker_state.runs {
                owner.reservations.insert(*run, *reservation);
            }
        }
    }

    fn begin_call(&mut self, pool: usize, owner: usize) {
        let (now_ms, mutant) = (self.now_ms, self.mutant);
        let Pool {
            owners, waiting, ..
        } = &mut self.pools[pool];
        let owner = &mut owners[owner];
        let demand = owner.demand(waiting, WORKERS, mutant);
        let Some(call) = owner.quota.due_call(&demand, now_ms) else {
            return;
        };
        let fencing_token = owner.fencing_token;
        let is_cut_off = now_ms < owner.cut_off_until_ms;
        let is_away = is_cut_off || now_ms < self.store_away_until_ms;
        let faults = match (is_away, self.has_store_faults) {
            (true, _) => 4,
            (false, true) => 8,
            (false, false) => 40,
        };
        let fault = self.within(0..faults);
        let fault = if self.has_faults { fault } else { u64::MAX };
        let mut send = |due_ms, stage| {
            self.calls.push(Call {
                pool,
                fencing_token,
                due_ms,
                stage,
            });
        };
        let timeout_ms = now_ms + TIMEOUT_MS;
        match (fault, call) {
            (0, _) => send(now_ms + 10, Stage::Reply(QuotaReply::Refused)),
            (1, QuotaCall::Write(write)) => {
                send(timeout_ms, Stage::Reply(QuotaReply::Unanswered));
                let late_ms = self.random.random_range(0..12_000);
                self.calls.push(Call {
                    pool,
                    fencing_token,
                    due_ms: now_ms + late_ms,
                    stage: Stage::Late(write),
                });
            }
            (1 | 2, _) => send(timeout_ms, Stage::Reply(QuotaReply::Unanswered)),
            (_, call) if is_away && fault == 3 => send(
                now_ms + 10,
                Stage::Request {
                    call,
                    is_answered: false,
                },
            ),
            (_, call) => send(
                now_ms + 10,
                Stage::Request {
                    call,
                    is_answered: true,
                },
            ),
        }
    }

    fn carry_out_calls(&mut self) {
        let now_ms = self.now_ms;
        let calls = std::mem::take(&mut self.calls);
        let (due, later): (Vec<Call>, Vec<Call>) =
            calls.into_iter().partition(|call| call.due_ms <= now_ms);
        self.calls = later;
        for call in due {
            let (due_ms, reply) = match call.stage {
                Stage::Request { call, is_answered } => {
                    let reply = match call {
                        QuotaCall::Read => QuotaReply::Row(self.store.read()),
                        QuotaCall::Write(write) => self.store.write(&write),
                    };
                    if is_answered {
                        (now_ms + self.within(10..60), reply)
                    } else {
                        (now_ms + TIMEOUT_MS, QuotaReply::Unanswered)
                    }
                }
                Stage::Late(write) => {
                    self.store.write(&write);
                    continue;
                }
                Stage::Reply(reply) => {
                    let reply = match (self.mutant, reply) {
                        (Some(Mutant::ForgottenWrite), QuotaReply::Unanswered) => {
                            QuotaReply::Refused
                        }
                        (_, reply) => reply,
                    };
                    let owners = &mut self.pools[call.pool].owners;
                    let mut owners = owners.iter_mut();
                    let owner = owners.find(|owner| owner.fencing_token == call.fencing_token);
                    if let Some(owner) = owner {
                        owner.quota.replied(reply, now_ms);
                    }
                    continue;
                }
            };
            self.calls.push(Call {
                due_ms,
                stage: Stage::Reply(reply),
                ..call
            });
        }
    }

    /// Sends orders for waiting tasks as far as the owner may.
    fn start_tasks(&mut self, pool: usize, owner: usize) {
        for tenant in 0..TENANTS.len() {
            for _ in 0..4 {
                let need = cores(self.within(1..4));
                let worker = self.random.random_range(0..WORKERS);
                let (now_ms, mutant) = (self.now_ms, self.mutant);
                let Pool {
                    owners,
                    waiting,
                    workers,
                    ..
                } = &mut self.pools[pool];
                let owner = &mut owners[owner];
                let on_worker = owner.reservations.values();
                let on_worker = on_worker.filter(|run| run.worker == worker);
                let used = on_worker.fold(Resources::default(), |used, run| used.plus(run.need));
                let may_start = waiting[tenant].fits(Resources::default(), need)
                    && !owner.unreported.contains(&worker)
                    && now_ms >= workers[worker].silent_until_ms.saturating_sub(300)
                    && CAPACITY.fits(used, need)
                    && owner.has_room(tenant, need, mutant, now_ms);
                if !may_start {
                    continue;
                }
                waiting[tenant] = waiting[tenant].minus(need);
                let reservation = Reservation {
                    worker,
                    tenant,
                    need,
                };
                let run = self.next_run;
                self.next_run += 1;
                owner.reservations.insert(run, reservation);
                let fencing_token = owner.fencing_token;
                let is_late = self.has_faults && self.chance(12);
                let delay_ms = if is_late { self.within(2000..9000) } else { 10 };
                let is_lost = self.has_faults && self.chance(40);
                self.orders.push(Order {
                    pool,
                    fencing_token,
                    run,
                    reservation,
                    sent_ms: now_ms,
                    due_ms: now_ms + delay_ms,
                    is_lost,
                });
            }
        }
    }

    fn carry_out_orders(&mut self) {
        let now_ms = self.now_ms;
        let orders = std::mem::take(&mut self.orders);
        let (due, later): (Vec<Order>, Vec<Order>) =
            orders.into_iter().partition(|order| order.due_ms <= now_ms);
        self.orders = later;
        for order in due {
            let worker = &mut self.pools[order.pool].workers[order.reservation.worker];
            if order.is_lost || worker.fencing_token > order.fencing_token {
                continue;
            }
            let started = (order.fencing_token, order.reservation);
            worker.runs.insert(order.run, started);
            self.starts += 1;
            self.check(&order);
        }
    }

    /// Checks that a start has kept its tenant within the limit. An order can't be called
    /// back, so that one carried out late counts against the limits in force since it was
    /// sent.
    fn check(&mut self, order: &Order) {
        let tenant = order.reservation.tenant;
        let workers = self.pools.iter().flat_map(|pool| &pool.workers);
        let runs = workers.flat_map(|worker| worker.runs.values());
        let runs = runs.filter(|(_, run)| run.tenant == tenant);
        let sum = runs.fold(Resources::default(), |sum, (_, run)| sum.plus(run.need));
        let highest = &self.configurations;
        let limit = highest.highest_limit(tenant, order.sent_ms, self.now_ms);
        if sum.cpu_millicores > limit.cpu_millicores || sum.memory_mb > limit.memory_mb {
            let owners = self.pools.iter().flat_map(|pool| &pool.owners);
            let owners = owners.map(|owner| {
                let allotted = owner.quota.allotment(TENANTS[tenant]).allotted;
                let used = owner.used(tenant);
                let token = owner.fencing_token;
                format!("owner {token}: {used:?} of {allotted:?}")
            });
            let owners: Vec<String> = owners.collect();
            let tenant = TENANTS[tenant];
            self.broken = Some(format!(
                "{:#?} {} at {} ms {tenant} runs {sum:?} of {limit:?}: {} in pool {} sent at {} by {}",
                self.configurations,
                owners.join("\n"),
                self.now_ms,
                order.run,
                order.pool,
                order.sent_ms,
                order.fencing_token
            ));
        }
    }
}
