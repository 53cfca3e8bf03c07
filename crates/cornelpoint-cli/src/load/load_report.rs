use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::duration_histogram::DurationHistogram;
use super::duration_histogram::Percentiles;
use super::request_outcome::RequestOutcome;
use super::shape::Shape;

/// Requests that ended alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// The ending.
    #[serde(rename = "ending")]
    pub outcome: RequestOutcome,
    /// Number of requests.
    pub requests: u64,
}

/// What became of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Shape of the demand.
    pub shape: Shape,
    /// Requests that were due.
    pub requests: u64,
    /// Endings, each with its number.
    #[serde(rename = "endings")]
    pub outcomes: Vec<OutcomeCount>,
    /// Times of answered requests, from when they were due.
    pub answered: Percentiles,
    /// Times of all other requests, from when they were due.
    pub unanswered: Percentiles,
    /// How long after they were due requests were sent: the load generator's
    /// own lag.
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

/// Counts and times of one sender, or of all.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    outcomes: BTreeMap<RequestOutcome, u64>,
    answered: DurationHistogram,
    unanswered: DurationHistogram,
    lag: DurationHistogram,
}

impl Tally {
    /// Nothing yet.
    pub(super) fn new() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            answered: DurationHistogram::new(),
            unanswered: DurationHistogram::new(),
            lag: DurationHistogram::new(),
        }
    }

    /// Adds a request by its times from when it was due.
    pub(super) fn record(&mut self, outcome: RequestOutcome, lag: Duration, time: Duration) {
        match outcome {
            RequestOutcome::Answered { .. } => self.answered.record(time),
            _ => self.unanswered.record(time),
        }
        self.lag.record(lag);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Adds another sender's tally.
    pub(super) fn add(&mut self, other: Self) {
        self.answered.add(&other.answered);
        self.unanswered.add(&other.unanswered);
        self.lag.add(&other.lag);
        for (outcome, requests) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += requests;
        }
    }

    /// The report of a load.
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
