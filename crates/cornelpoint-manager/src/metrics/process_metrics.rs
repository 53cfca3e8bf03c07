use std::cell::Cell;
use std::time::Duration;

use cornelpoint::speculation::CopyOutcome;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use super::labels::Outcome;
use super::labels::Source;
use crate::clock;

/// Upper bound of the first histogram bucket, in seconds.
const MIN_BUCKET_S: f64 = 0.002;
/// Number of histogram buckets; each bound is twice the one before, up to 8 s.
const BUCKET_COUNT: u16 = 13;

/// All metrics of a process.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    /// Submitted jobs, by outcome.
    pub(crate) submissions: Family<Outcome, Counter>,
    /// Orders to start a task, by outcome.
    pub(crate) starts: Family<Outcome, Counter>,
    /// Jobs that became final, by their status.
    pub(crate) final_jobs: Family<Outcome, Counter>,
    /// Calls to the store, by outcome.
    pub(crate) store_calls: Family<Outcome, Counter>,
    /// Orders to the machine API, by outcome.
    pub(crate) machine_orders: Family<Outcome, Counter>,
    /// Shards claimed by this process.
    pub(crate) takeovers: Counter,
    /// Copies of late runs, by outcome.
    copies: Family<Outcome, Counter>,
    waiting_counts: Family<Source, Counter>,
    configuration_version: Gauge,
    configuration_age_ms: Gauge,
    configuration_confirmed_ms: Cell<u64>,
    submission_seconds: Histogram,
    store_seconds: Histogram,
}

impl ProcessMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cornelpoint");
        let submissions = Family::default();
        let starts = Family::default();
        let final_jobs = Family::default();
        let store_calls = Family::default();
        let machine_orders = Family::default();
        let copies = Family::default();
        let takeovers = Counter::default();
        let waiting_counts = Family::default();
        let configuration_version = Gauge::default();
        let configuration_age_ms = Gauge::default();
        let buckets = || exponential_buckets(MIN_BUCKET_S, 2.0, BUCKET_COUNT);
        let submission_seconds = Histogram::new(buckets());
        let store_seconds = Histogram::new(buckets());
        registry.register("hand_ins", "Jobs handed in", submissions.clone());
        registry.register("starts", "Orders to start a task", starts.clone());
        registry.register("final_jobs", "Jobs that became final", final_jobs.clone());
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let orders = machine_orders.clone();
        registry.register("machine_orders", "Orders for machines", orders);
        registry.register("copies", "Copies of late runs", copies.clone());
        registry.register("takeovers", "Shards taken over", takeovers.clone());
        let counts = waiting_counts.clone();
        registry.register("waiting_counts", "Answers to count requests", counts);
        let version = configuration_version.clone();
        registry.register("configuration_version", "Version in force", version);
        let age = configuration_age_ms.clone();
        let help = "Time since a read that confirmed it was sent";
        registry.register("configuration_age_ms", help, age);
        let submission = submission_seconds.clone();
        registry.register("hand_in_seconds", "Time to answer a hand-in", submission);
        let store = store_seconds.clone();
        registry.register("store_seconds", "Time of a transaction", store);
        Self {
            registry,
            submissions,
            starts,
            final_jobs,
            store_calls,
            machine_orders,
            copies,
            takeovers,
            waiting_counts,
            configuration_version,
            configuration_age_ms,
            configuration_confirmed_ms: Cell::new(0),
            submission_seconds,
            store_seconds,
        }
    }

    /// Adds one to a counter for an outcome.
    pub(crate) fn count(family: &Family<Outcome, Counter>, outcome: &'static str) {
        family.get_or_create(&Outcome { outcome }).inc();
    }

    /// Adds one to the copies of late runs, by outcome.
    pub(crate) fn count_copy(&self, outcome: CopyOutcome) {
        let outcome = match outcome {
            CopyOutcome::Won => "won",
            CopyOutcome::Lost => "lost",
            CopyOutcome::Failed => "failed",
            CopyOutcome::Cancelled => "cancelled",
        };
        Self::count(&self.copies, outcome);
    }

    /// Adds one to the answers to requests for a waiting count, by the source of
    /// the count.
    pub(crate) fn record_waiting_count(&self, source: &'static str) {
        self.waiting_counts.get_or_create(&Source { source }).inc();
    }

    /// Records the time taken to answer a submission.
    pub(crate) fn observe_submission(&self, took: Duration) {
        self.submission_seconds.observe(took.as_secs_f64());
    }

    /// Records the time taken by a transaction of the store.
    pub(crate) fn observe_transaction(&self, took: Duration) {
        self.store_seconds.observe(took.as_secs_f64());
    }

    /// Records the version of the configuration that is applied.
    pub(crate) fn configuration_applied(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.configuration_version.set(version);
    }

    /// Records when a read that confirmed the configuration was sent.
    pub(crate) fn configuration_confirmed(&self, sent_ms: u64) {
        self.configuration_confirmed_ms.set(sent_ms);
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    pub(crate) fn text(&self) -> String {
        let confirmed_ms = self.configuration_confirmed_ms.get();
        let age_ms = clock::now().steady_ms.saturating_sub(confirmed_ms);
        let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
        self.configuration_age_ms.set(age_ms);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# not encoded: {error}\n"),
        }
    }
}
