use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::duration_histogram::DurationHistogram;
use super::duration_histogram::Percentiles;
use super::request_outcome::RequestOutcome;
use super::shape::Shape;

/// Number of requests with the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// Outcome of the requests.
    #[serde(rename = "ending")]
    pub outcome: RequestOutcome,
    /// Number of requests.
    pub requests: u64,
}

/// Results of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Shape of the demand.
    pub shape: Shape,
    /// Number of requests that ended, with or without an answer.
    pub requests: u64,
    /// Number of requests for each outcome.
    #[serde(rename = "endings")]
    pub outcomes: Vec<OutcomeCount>,
    /// Latency of answered requests, from when they were due.
    pub answered: Percentiles,
    /// Latency of all other requests, from when they were due.
    pub unanswered: Percentiles,
    /// Delay from when a request was due until it was sent: the load
    /// generator's own lag.
    pub lag: Percentiles,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed       {}", self.seed)?;
        writeln!(formatter, "requests   {}", self.requests)?;
        for count in &self.outcomes {
            writeln!(formatter, "{:>10} {}", count.requests, count.outcome)?;
        }
        writeln!(formatter, "answered   {}", self.answered)?;
        writeln!(formatter, "unanswered {}", self.unanswered)?;
        writeln!(formatter, "send lag   {}", self.lag)
    }
}

/// Outcomes and latencies of one sender, or of all senders together.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    outcomes: BTreeMap<RequestOutcome, u64>,
    answered: DurationHistogram,
    unanswered: DurationHistogram,
    lag: DurationHistogram,
}

impl Tally {
    /// Creates an empty tally.
    pub(super) fn new() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            answered: DurationHistogram::new(),
            unanswered: DurationHistogram::new(),
            lag: DurationHistogram::new(),
        }
    }

    /// Adds a request; both durations count from when it was due.
    pub(super) fn record(&mut self, outcome: RequestOutcome, lag: Duration, time: Duration) {
        match outcome {
            RequestOutcome::Answered { .. } => self.answered.record(time),
            _ => self.unanswered.record(time),
        }
        self.lag.record(lag);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Adds the tally of another sender.
    pub(super) fn add(&mut self, other: Self) {
        self.answered.add(&other.answered);
        self.unanswered.add(&other.unanswered);
        self.lag.add(&other.lag);
        for (outcome, requests) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += requests;
        }
    }

    /// Converts the tally into the report of a load.
    pub(super) fn into_report(self, seed: u64, shape: Shape) -> LoadReport {
        LoadReport {
            seed,
            shape,
            requests: self.outcomes.values().sum(),
            outcomes: self
                .outcomes
                .into_iter()
                .map(|(outcome, requests)| OutcomeCount { outcome, requests })
                .collect(),
            answered: self.answered.percentiles(),
            unanswered: self.unanswered.percentiles(),
            lag: self.lag.percentiles(),
        }
    }
}
