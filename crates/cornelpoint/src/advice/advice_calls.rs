use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Longest queue of calls at the service: what waits longer can't go after a call that has
/// become more urgent.
const TARGET_QUEUE_MS: u64 = 1000;
/// Calls in flight before the first answer shows how long one takes.
const INITIAL_CALLS: usize = 2;
/// Most calls in flight. The service queues 32.
const MAX_CALLS: usize = 24;
/// Least time after which a call without an answer no longer keeps others from being sent.
const MIN_PATIENCE_MS: u64 = 3000;
/// The same as a multiple of the time that the calls up to it are expected to take.
const PATIENCE_FACTOR: u64 = 3;
/// Pause after a call that was refused because too many wait; doubled by each further one.
const MIN_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 1600;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is answered, however late.
    Answered,
    /// It is refused, because too many calls wait.
    Refused,
    /// It failed otherwise, or was given up.
    Failed,
}

/// What follows from the end of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledCall {
    /// Calls that get no answer any more: one that was sent later has been answered.
    pub lost: Vec<u64>,
    /// Pool that may send the next call.
    pub next_pool: Option<String>,
    /// When it may send it.
    pub resume_ms: u64,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_ms: u64,
    overdue_ms: u64,
}

/// Calls of this process to the advice service, for all its pools. Times are in milliseconds
/// by a monotonic clock.
///
/// The service handles the calls of a process one at a time, in turn, so that more calls in
/// flight bring no earlier answers; they only fix the order of what waits. As many are in
/// flight as the service completes within a second. A call is not given up while it
/// may still be answered: its turn would be wasted, and the next one be as late.
///
/// ```
/// use cornelpoint::advice::AdviceCalls;
/// use cornelpoint::advice::CallOutcome;
///
/// let mut calls = AdviceCalls::default();
/// assert_eq!(calls.free("quoting", 0), 2);
/// let (first, second) = (calls.begin("quoting", 0), calls.begin("quoting", 0));
/// assert_eq!(calls.free("quoting", 10), 0);
/// calls.settle(first, CallOutcome::Answered, 400);
/// calls.settle(second, CallOutcome::Answered, 800);
/// // The service takes 400 ms for each.
/// assert_eq!(calls.free("quoting", 800), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdviceCalls {
    in_flight: BTreeMap<u64, Call>,
    last_call: u64,
    /// Time that the service takes for a call, as the last answers show it.
    turn_ms: Option<u64>,
    last_answer_ms: u64,
    /// Refusals since the last answer.
    refusals: u32,
    /// Most calls in flight after refusals.
    most_accepted: Option<usize>,
    resume_ms: u64,
    /// Pools with steps that wait for a call, in the order in which they may send one.
    waiting: VecDeque<String>,
}

impl AdviceCalls {
    /// Returns the number of calls that a pool may send now. Where several pools wait, each
    /// sends one in its turn.
    #[must_use]
    pub fn free(&self, pool: &str, now_ms: u64) -> usize {
        let active = self
            .in_flight
            .values()
            .filter(|call| now_ms < call.overdue_ms)
            .count();
        let all = self.in_flight.len();
        // After a call without an answer, a single one tries whether the service is back.
        let window = if active < all { 1 } else { self.window() };
        let free = window
            .saturating_sub(active)
            .min(MAX_CALLS - all.min(MAX_CALLS));
        match self.waiting.front() {
            _ if now_ms < self.resume_ms => 0,
            None => free,
            Some(next) if next == pool && self.waiting.len() == 1 => free,
            Some(next) if next == pool => free.min(1),
            Some(_) => 0,
        }
    }

    /// Returns the pool that waits for a call and may send it now.
    #[must_use]
    pub fn next_pool(&self, now_ms: u64) -> Option<&str> {
        let next = self.waiting.front()?;
        (self.free(next, now_ms) > 0).then_some(next)
    }

    /// Records that a pool sends a call, and returns the call's number.
    pub fn begin(&mut self, pool: &str, now_ms: u64) -> u64 {
        self.waiting.retain(|waiting| waiting != pool);
        let ahead = self.in_flight.len() as u64 + 1;
        let expected_ms = ahead * self.turn_ms.unwrap_or(0);
        let patience_ms = MIN_PATIENCE_MS.max(PATIENCE_FACTOR * expected_ms);
        self.last_call += 1;
        let call = Call {
            sent_ms: now_ms,
            overdue_ms: now_ms + patience_ms,
        };
        self.in_flight.insert(self.last_call, call);
        self.last_call
    }

    /// Records whether a pool has steps that wait for a call.
    pub fn set_waiting(&mut self, pool: &str, waits: bool) {
        let is_listed = self.waiting.iter().any(|waiting| waiting == pool);
        if waits && !is_listed {
            self.waiting.push_back(pool.to_owned());
        } else if !waits {
            self.waiting.retain(|waiting| waiting != pool);
        }
    }

    /// Records the end of a call.
    pub fn settle(&mut self, number: u64, outcome: CallOutcome, now_ms: u64) -> SettledCall {
        let call = self.in_flight.remove(&number);
        let mut lost = Vec::new();
        match outcome {
            CallOutcome::Answered => {
                let earlier = self.in_flight.range(..number);
                let overdue = earlier.filter(|(_, call)| call.overdue_ms <= now_ms);
                lost.extend(overdue.map(|(&earlier, _)| earlier));
                if let Some(call) = call {
                    self.learn(call, now_ms);
                }
                self.last_answer_ms = now_ms;
                self.refusals = 0;
                self.resume_ms = 0;
                self.most_accepted = self.most_accepted.map(|most| most + 1);
            }
            CallOutcome::Refused => {
                self.most_accepted = Some((self.in_flight.len() / 2).max(1));
                let pause_ms = MIN_PAUSE_MS << self.refusals.min(4);
                self.refusals += 1;
                self.resume_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
            }
            CallOutcome::Failed => self.resume_ms = self.resume_ms.max(now_ms + MIN_PAUSE_MS),
        }
        SettledCall {
            lost,
            next_pool: self.waiting.front().cloned(),
            resume_ms: self.resume_ms,
        }
    }

    /// Returns when a call may be sent though none is answered before: after a pause, or once
    /// one in flight is overdue.
    #[must_use]
    pub fn next_free_ms(&self, now_ms: u64) -> Option<u64> {
        let overdue = self.in_flight.values().map(|call| call.overdue_ms);
        let times = overdue.chain([self.resume_ms]);
        times.filter(|at_ms| *at_ms > now_ms).min()
    }

    fn learn(&mut self, call: Call, now_ms: u64) {
        let turn_ms = now_ms.saturating_sub(call.sent_ms.max(self.last_answer_ms));
        let known_ms = self.turn_ms.unwrap_or(turn_ms);
        self.turn_ms = Some((3 * known_ms + turn_ms).div_ceil(4).max(1));
    }

    fn window(&self) -> usize {
        let completed = self.turn_ms.map_or(INITIAL_CALLS, |turn_ms| {
            usize::try_from(TARGET_QUEUE_MS / turn_ms).unwrap_or(MAX_CALLS)
        });
        let most = self.most_accepted.unwrap_or(MAX_CALLS).min(MAX_CALLS);
        completed.clamp(1, most)
    }
}
