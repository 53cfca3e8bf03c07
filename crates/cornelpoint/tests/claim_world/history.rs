use std::collections::BTreeMap;

/// Result of one attempt, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerResult {
    /// The answer that this run of the request gave.
    Answered { run: u64 },
    /// The attempt did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Runs at the endpoints, and results that were reported to callers.
#[derive(Debug, Default)]
pub struct History {
    /// Numbers of the runs, by key.
    runs: BTreeMap<u64, Vec<u64>>,
    /// Key of each attempt that was sent, unless the endpoint did not start it.
    sent: BTreeMap<u64, u64>,
    /// Key, attempt and reported result.
    results: Vec<(u64, u64, CallerResult)>,
    next_run: u64,
}

impl History {
    pub fn send(&mut self, key: u64, attempt: u64) {
        self.sent.insert(attempt, key);
    }

    pub fn not_started(&mut self, attempt: u64) {
        self.sent.remove(&attempt);
    }

    pub fn run(&mut self, key: u64) -> u64 {
        self.next_run += 1;
        self.runs.entry(key).or_default().push(self.next_run);
        self.next_run
    }

    pub fn record_result(&mut self, key: u64, attempt: u64, result: CallerResult) {
        self.results.push((key, attempt, result));
    }

    pub fn count(&self, is_counted: impl Fn(CallerResult) -> bool) -> usize {
        self.results
            .iter()
            .filter(|(_, _, result)| is_counted(*result))
            .count()
    }

    /// Returns a message for each violated guarantee: a key that ran more than
    /// once, or a false result.
    pub fn violations(&self) -> Vec<String> {
        let repeated = self.runs.iter().filter(|(_, runs)| runs.len() > 1);
        let repeated = repeated.map(|(key, runs)| format!("key {key} ran {} times", runs.len()));
        let false_result = self
            .results
            .iter()
            .filter_map(|result| self.false_result(*result));
        repeated.chain(false_result).collect()
    }

    fn false_result(&self, (key, attempt, result): (u64, u64, CallerResult)) -> Option<String> {
        let runs = self.runs.get(&key);
        match result {
            CallerResult::NotRun if self.sent.contains_key(&attempt) => Some(format!(
                "attempt {attempt} of key {key} was sent, but reported as not run"
            )),
            CallerResult::Answered { run } if runs.is_none_or(|runs| !runs.contains(&run)) => Some(
                format!("attempt {attempt} of key {key} got an answer that no run of the key gave"),
            ),
            CallerResult::Answered { .. } | CallerResult::NotRun | CallerResult::Unknown => None,
        }
    }
}
