//! Limits of the ejection rules.

/// Consecutive failures after which an endpoint is bad.
pub(super) const CONSECUTIVE_FAILURES: usize = 3;
/// Consecutive failures after which an endpoint on probation is bad. Probation
/// follows re-admission.
pub(super) const CONSECUTIVE_FAILURES_ON_PROBATION: usize = 1;
/// Consecutive good outcomes that end suspicion and probation.
pub(super) const CONSECUTIVE_GOOD: usize = 3;
/// Latest outcomes that are kept for each endpoint.
pub(super) const OUTCOME_WINDOW: usize = 16;
/// Outcomes below which the shares of failed and slow requests are not used.
pub(super) const MIN_OUTCOMES_FOR_SHARE: usize = 8;
/// Share of failed requests from which on an endpoint is bad.
pub(super) const EJECTION_FAILED_PERCENT: usize = 50;
/// Share of slow requests, finished or in flight, from which on an endpoint is
/// bad.
pub(super) const EJECTION_SLOW_PERCENT: usize = 65;
pub(super) const HUNDRED_PERCENT: usize = 100;

/// A slow request takes more than this many times the typical latency of the
/// pool.
pub(super) const SLOW_FACTOR: u64 = 4;
/// A slow request takes more than this much longer than the typical latency of
/// the pool, in microseconds.
pub(super) const SLOW_MARGIN_US: u64 = 10_000;

/// A hanging request takes more than this many times the typical latency of the
/// pool.
pub(super) const HANG_FACTOR: u64 = 5;
/// A hanging request takes more than this share of the long latency of the
/// pool.
pub(super) const HANG_LONG_LATENCY_PERCENT: u64 = 150;
/// A hanging request has run for longer than this, in milliseconds.
pub(super) const HANG_MIN_MS: u64 = 500;

/// Samples below which there is no estimate of the latencies.
pub(super) const MIN_LATENCY_SAMPLES: u32 = 4;
/// Requests in flight that are tracked for each endpoint: one for each of its
/// connections.
pub(super) const MAX_TRACKED_IN_FLIGHT: usize = 64;
/// Interval between two reviews of a pool, in milliseconds.
pub(super) const REVIEW_INTERVAL_MS: u64 = 50;

/// First pause of an ejected endpoint, in milliseconds.
pub(super) const EJECTION_PAUSE_MS: u64 = 1000;
/// Longest pause of an ejected endpoint, in milliseconds.
pub(super) const MAX_EJECTION_PAUSE_MS: u64 = 32_000;
/// First pause of an endpoint that refuses connections, in milliseconds.
pub(super) const DOWN_PAUSE_MS: u64 = 250;
/// Longest pause of an endpoint that refuses connections, in milliseconds.
pub(super) const MAX_DOWN_PAUSE_MS: u64 = 4000;
/// Time after re-admission from which on the next ejection starts with the
/// first pause again, in milliseconds.
pub(super) const EJECTION_RESET_MS: u64 = 60_000;
/// One endpoint may be ejected for each group of this many endpoints.
pub(super) const MAX_EJECTED_DIVISOR: usize = 2;
pub(super) const US_PER_MS: u64 = 1000;
