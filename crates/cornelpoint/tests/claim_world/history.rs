use std::collections::BTreeMap;

/// What a caller was told of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// The answer of this run.
    Answered { run: u64 },
    /// The try did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What endpoints ran and what callers were told.
#[derive(Debug, Default)]
pub struct History {
    /// Runs by key.
    runs: BTreeMap<u64, Vec<u64>>,
    /// Tries that were sent, with their key.
    sent: BTreeMap<u64, u64>,
    told: Vec<(u64, u64, Told)>,
    next_run: u64,
}

impl History {
    pub fn send(&mut self, key: u64, try_number: u64) {
        self.sent.insert(try_number, key);
    }

    pub fn not_started(&mut self, try_number: u64) {
        self.sent.remove(&try_number);
    }

    pub fn run(&mut self, key: u64) -> u64 {
        self.next_run += 1;
        self.runs.entry(key).or_default().push(self.next_run);
        self.next_run
    }

    pub fn tell(&mut self, key: u64, try_number: u64, told: Told) {
        self.told.push((key, try_number, told));
    }

    pub fn count(&self, is_counted: impl Fn(Told) -> bool) -> usize {
        self.told.iter().filter(|(_, _, t)| is_counted(*t)).count()
    }

    /// Everything that contradicts the promises.
    pub fn faults(&self) -> Vec<String> {
        let twice = self.runs.iter().filter(|(_, runs)| runs.len() > 1);
        let twice = twice.map(|(key, runs)| format!("key {key} ran {} times", runs.len()));
        let untrue = self.told.iter().filter_map(|told| self.untrue(*told));
        twice.chain(untrue).collect()
    }

    fn untrue(&self, (key, try_number, told): (u64, u64, Told)) -> Option<String> {
        let runs = self.runs.get(&key);
        match told {
            Told::NotRun if self.sent.contains_key(&try_number) => {
                Some(format!("try {try_number} of key {key} was sent"))
            }
            Told::Answered { run } if runs.is_none_or(|runs| !runs.contains(&run)) => Some(
                format!("try {try_number} of key {key} got another's answer"),
            ),
            Told::Answered { .. } | Told::NotRun | Told::Unknown => None,
        }
    }
}
