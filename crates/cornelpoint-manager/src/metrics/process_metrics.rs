use std::cell::Cell;
use std::time::Duration;

use cornelpoint::job::Resources;
use cornelpoint::quota::WaitReason;
use cornelpoint::speculation::CopyOutcome;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use super::labels::Listener;
use super::labels::Outcome;
use super::labels::Reason;
use super::labels::Refusal;
use super::labels::Source;
use super::labels::TenantResource;
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
    /// Jobs refused by the pools that this process owns, by reason.
    pub(crate) job_refusals: Family<Outcome, Counter>,
    /// Orders to start a task, by outcome.
    pub(crate) starts: Family<Outcome, Counter>,
    /// Jobs that became final, by their status.
    pub(crate) final_jobs: Family<Outcome, Counter>,
    /// Calls to the store, by outcome.
    pub(crate) store_calls: Family<Outcome, Counter>,
    /// Orders to the machine API, by outcome.
    pub(crate) machine_orders: Family<Outcome, Counter>,
    /// Questions to peers for a confirmation of the configuration, by outcome.
    pub(crate) peer_questions: Family<Outcome, Counter>,
    /// Shards claimed by this process.
    pub(crate) takeovers: Counter,
    refused_calls: Family<Reason, Counter>,
    confirmations: Family<Source, Counter>,
    /// Copies of late runs, by outcome.
    copies: Family<Outcome, Counter>,
    waiting_counts: Family<Source, Counter>,
    refusals: Family<Refusal, Counter>,
    connections: Family<Listener, Gauge>,
    connection_bytes: Family<Listener, Gauge>,
    tenant_resources: Family<TenantResource, Gauge>,
    tenant_waits: Family<Reason, Counter>,
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
        let job_refusals = Family::default();
        let starts = Family::default();
        let final_jobs = Family::default();
        let store_calls = Family::default();
        let machine_orders = Family::default();
        let peer_questions = Family::default();
        let refused_calls = Family::default();
        let confirmations = Family::default();
        let copies = Family::default();
        let takeovers = Counter::default();
        let waiting_counts = Family::default();
        let refusals = Family::default();
        let connections = Family::default();
        let connection_bytes = Family::default();
        let tenant_resources = Family::default();
        let tenant_waits = Family::default();
        let configuration_version = Gauge::default();
        let configuration_age_ms = Gauge::default();
        let buckets = || exponential_buckets(MIN_BUCKET_S, 2.0, BUCKET_COUNT);
        let submission_seconds = Histogram::new(buckets());
        let store_seconds = Histogram::new(buckets());
        registry.register("hand_ins", "Jobs handed in", submissions.clone());
        registry.register(
            "job_refusals",
            "Jobs refused by owners",
            job_refusals.clone(),
        );
        registry.register("starts", "Orders to start a task", starts.clone());
        registry.register("final_jobs", "Jobs that became final", final_jobs.clone());
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let orders = machine_orders.clone();
        registry.register("machine_orders", "Orders for machines", orders);
        registry.register("copies", "Copies of late runs", copies.clone());
        registry.register("takeovers", "Shards taken over", takeovers.clone());
        let counts = waiting_counts.clone();
        registry.register("waiting_counts", "Answers to count requests", counts);
        let help = "Questions to peers for a confirmation of the configuration";
        registry.register("peer_questions", help, peer_questions.clone());
        let help = "Callers' calls refused for their keys";
        registry.register("refused_calls", help, refused_calls.clone());
        let help = "Confirmations of the configuration";
        registry.register("confirmations", help, confirmations.clone());
        let help = "Requests refused and connections closed by the limits";
        registry.register("refusals", help, refusals.clone());
        registry.register("connections", "Open connections", connections.clone());
        let help = "Bytes that connections and their bodies hold";
        registry.register("connection_bytes", help, connection_bytes.clone());
        let resources = tenant_resources.clone();
        let help = "What tenants with limits have of the pools owned here";
        registry.register("tenant_resources", help, resources);
        let waits = tenant_waits.clone();
        let help = "Log lines on steps that wait for their tenants' limits";
        registry.register("tenant_waits", help, waits);
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
            job_refusals,
            starts,
            final_jobs,
            store_calls,
            machine_orders,
            peer_questions,
            copies,
            takeovers,
            refused_calls,
            confirmations,
            waiting_counts,
            refusals,
            connections,
            connection_bytes,
            tenant_resources,
            tenant_waits,
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

    /// Adds one to the refusals of a listener for a reason.
    pub(crate) fn record_refusal(&self, port: &'static str, reason: &'static str) {
        let refusal = Refusal { port, reason };
        self.refusals.get_or_create(&refusal).inc();
    }

    /// Records what the connections of a listener hold.
    pub(crate) fn connections_held(&self, port: &'static str, connections: usize, bytes: usize) {
        let listener = Listener { port };
        let to_gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let connections = to_gauge(connections);
        self.connections.get_or_create(&listener).set(connections);
        let bytes = to_gauge(bytes);
        self.connection_bytes.get_or_create(&listener).set(bytes);
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

    /// Records a confirmation of the configuration and from when it counts.
    pub(crate) fn configuration_confirmed(&self, confirmed_ms: u64, source: &'static str) {
        self.configuration_confirmed_ms.set(confirmed_ms);
        self.confirmations.get_or_create(&Source { source }).inc();
    }

    /// Adds one to the calls that are refused for their keys.
    pub(crate) fn call_refused(&self, reason: &'static str) {
        self.refused_calls.get_or_create(&Reason { reason }).inc();
    }

    /// Forgets what tenants have of pools.
    pub(crate) fn clear_tenants(&self) {
        self.tenant_resources.clear();
    }

    /// Records what a tenant has of a pool; `kind` is allotted, used or wanted.
    pub(crate) fn record_tenant(
        &self,
        pool: &str,
        tenant: &str,
        kind: &'static str,
        amount: Resources,
    ) {
        let amounts = [
            ("cpu_millicores", amount.cpu_millicores),
            ("memory_mb", amount.memory_mb),
            ("accelerators", amount.accelerators),
        ];
        for (resource, amount) in amounts {
            let labels = TenantResource {
                pool: pool.to_owned(),
                tenant: tenant.to_owned(),
                kind,
                resource,
            };
            let gauge = self.tenant_resources.get_or_create(&labels);
            gauge.set(i64::try_from(amount).unwrap_or(i64::MAX));
        }
    }

    /// Adds one to the waits for tenants' limits.
    pub(crate) fn record_tenant_wait(&self, reason: WaitReason) {
        let reason = match reason {
            WaitReason::ConfigurationUnconfirmed => "configuration_unconfirmed",
            WaitReason::Unread => "unread",
            WaitReason::Unreadable => "unreadable",
            WaitReason::Unregistered => "unregistered",
            WaitReason::LimitsUnrecorded => "limits_unrecorded",
            WaitReason::Uncounted => "uncounted",
            WaitReason::Allotment => "allotment",
        };
        self.tenant_waits.get_or_create(&Reason { reason }).inc();
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
