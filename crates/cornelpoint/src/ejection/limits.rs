//! Bounds of the ejection rules.

/// Failures in a row that condemn an endpoint.
pub(super) const FAILURES_IN_A_ROW: usize = 3;
/// Failures in a row that condemn an endpoint just re-admitted.
pub(super) const FAILURES_ON_PROBATION: usize = 1;
/// Good outcomes in a row that end suspicion, and probation.
pub(super) const GOOD_IN_A_ROW: usize = 3;
/// Outcomes that are remembered of an endpoint.
pub(super) const REMEMBERED_OUTCOMES: usize = 16;
/// Outcomes below which no share is worked out.
pub(super) const SHARE_OUTCOMES: usize = 8;
/// Share of failures that condemns an endpoint.
pub(super) const FAILED_PERCENT: usize = 50;
/// Share of slow requests, finished or running, that condemns an endpoint.
pub(super) const SLOW_PERCENT: usize = 65;
pub(super) const HUNDRED_PERCENT: usize = 100;

/// A slow request takes this many times the pool's typical latency.
pub(super) const SLOW_FACTOR: u64 = 4;
/// A slow request takes at least this much longer, in microseconds.
pub(super) const SLOW_MARGIN_US: u64 = 10_000;

/// A hanging request takes this many times the pool's typical latency.
pub(super) const HANG_FACTOR: u64 = 5;
/// A hanging request takes this share of the pool's long latency.
pub(super) const HANG_LONG_PERCENT: u64 = 150;
/// A hanging request has run for at least this long, in milliseconds.
pub(super) const HANG_MIN_MS: u64 = 500;

/// Samples below which an endpoint has no typical latency.
pub(super) const LATENCY_SAMPLES: u32 = 4;
/// Requests in flight that are remembered of an endpoint, its connections.
pub(super) const REMEMBERED_IN_FLIGHT: usize = 64;
/// Time between two reviews of a pool, in milliseconds.
pub(super) const REVIEW_MS: u64 = 50;

/// First pause of an ejected endpoint, in milliseconds.
pub(super) const EJECTION_PAUSE_MS: u64 = 1000;
/// Longest pause of an ejected endpoint, in milliseconds.
pub(super) const MAX_EJECTION_PAUSE_MS: u64 = 32_000;
/// First pause of an endpoint that refuses connections, in milliseconds.
pub(super) const DOWN_PAUSE_MS: u64 = 250;
/// Longest pause of an endpoint that refuses connections, in milliseconds.
pub(super) const MAX_DOWN_PAUSE_MS: u64 = 4000;
/// Good time after which the next ejection starts with the first pause, in
/// milliseconds.
pub(super) const FORGIVE_MS: u64 = 60_000;
/// A pool of this many endpoints may have one ejected.
pub(super) const POOL_SHARE: usize = 2;
pub(super) const US_PER_MS: u64 = 1000;
