use std::collections::BTreeMap;

use cornelpoint::platform::InstanceList;
use cornelpoint::platform::Key;
use cornelpoint::platform::ListedInstance;
use cornelpoint::platform::Row;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::dump::PlatformDump;
use super::faults::PlatformFaults;
use super::lagging_list::LaggingList;
use super::rate_meter::RateMeter;
use super::settings::PlatformSettings;
use super::store::Store;

/// Why a request is rejected without effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Down,
    RateLimit,
}

/// What happens to the answer to a transaction that was processed.
#[derive(Debug)]
pub(super) enum Answer {
    Sent(TransactionOutcome),
    Lost,
}

/// State of the platform stand-in.
#[derive(Debug)]
pub(super) struct State {
    store: Store,
    objects: BTreeMap<String, Vec<u8>>,
    list: LaggingList,
    writes: RateMeter,
    reads: RateMeter,
    faults: PlatformFaults,
    random: ChaCha8Rng,
    transactions: u64,
    conflicts: u64,
    lost_answers: u64,
    refused_down: u64,
    refused_rate: u64,
}

impl State {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        Self {
            store: Store::default(),
            objects: BTreeMap::new(),
            list: LaggingList::new(settings.instance_list_lag_ms, &settings.instances),
            writes: RateMeter::new(settings.max_writes_per_s),
            reads: RateMeter::new(settings.max_reads_per_s),
            faults: PlatformFaults::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            transactions: 0,
            conflicts: 0,
            lost_answers: 0,
            refused_down: 0,
            refused_rate: 0,
        }
    }

    pub(super) fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    pub(super) fn set_faults(&mut self, faults: PlatformFaults, now_ms: u64) {
        self.advance_list(now_ms);
        self.faults = faults;
    }

    pub(super) fn admit_write(&mut self, now_ms: u64) -> Result<(), Rejection> {
        self.reject_if_down()?;
        let counted = self.writes.try_count(now_ms);
        self.reject_if_over_rate(counted)
    }

    pub(super) fn admit_read(&mut self, now_ms: u64) -> Result<(), Rejection> {
        self.reject_if_down()?;
        let counted = self.reads.try_count(now_ms);
        self.reject_if_over_rate(counted)
    }

    pub(super) fn transact(&mut self, transaction: Transaction) -> Answer {
        self.transactions += 1;
        let outcome = self.store.transact(transaction);
        if matches!(outcome, TransactionOutcome::Conflict { .. }) {
            self.conflicts += 1;
        }
        if self.loses_answer() {
            self.lost_answers += 1;
            return Answer::Lost;
        }
        Answer::Sent(outcome)
    }

    pub(super) fn read(&self, keys: &[Key]) -> Vec<Row> {
        self.store.read(keys)
    }

    pub(super) fn scan(&self, scan: &Scan) -> Vec<Row> {
        self.store.scan(scan)
    }

    pub(super) fn put_object(&mut self, name: &str, content: Vec<u8>) {
        self.objects.insert(name.to_owned(), content);
    }

    pub(super) fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    pub(super) fn list_instance(&mut self, instance: ListedInstance, now_ms: u64) {
        self.list.set(instance, now_ms);
    }

    pub(super) fn advance_list(&mut self, now_ms: u64) {
        if !self.faults.instance_list_frozen {
            self.list.advance(now_ms);
        }
    }

    pub(super) fn instances(&self) -> InstanceList {
        self.list.list()
    }

    pub(super) fn dump(&self) -> PlatformDump {
        PlatformDump {
            rows: self.store.row_count(),
            objects: self.objects.len(),
            instances: self.list.len(),
            writes: self.writes.total(),
            reads: self.reads.total(),
            conflicts: self.conflicts,
            lost_answers: self.lost_answers,
            refused_down: self.refused_down,
            refused_rate: self.refused_rate,
            peak_writes_per_s: self.writes.peak_per_s(),
            peak_reads_per_s: self.reads.peak_per_s(),
            faults: self.faults.clone(),
        }
    }

    fn reject_if_down(&mut self) -> Result<(), Rejection> {
        if !self.faults.down {
            return Ok(());
        }
        self.refused_down += 1;
        Err(Rejection::Down)
    }

    fn reject_if_over_rate(&mut self, counted: bool) -> Result<(), Rejection> {
        if counted {
            return Ok(());
        }
        self.refused_rate += 1;
        Err(Rejection::RateLimit)
    }

    fn loses_answer(&mut self) -> bool {
        let every = u64::from(self.faults.lose_answer_every);
        if every > 0 && self.transactions.is_multiple_of(every) {
            return true;
        }
        let percent = u32::from(self.faults.lose_answer_percent);
        percent > 0 && self.random.random_range(0..100) < percent
    }
}
