use crate::job::TaskId;

use super::learned_durations::LearnedDurations;
use super::learned_durations::StepProfile;
use super::learned_durations::ratio;

/// Quantile of the usual durations, in percent, that a run must exceed to be late.
const LATE_PERCENT: usize = 90;
/// Least expected gain, in relation to the usual time of a fresh run. Copies use room that
/// is idle; with half the work that a copy takes, the replay of the load has as much extra
/// work as with all of it, and more jobs in time.
const MIN_GAIN: f64 = 0.5;
/// Least expected gain. Below, an order to start and the report of the end use it up.
const MIN_GAIN_MS: u64 = 100;
/// Largest number of copies in a pool at a time.
const MAX_COPIES: usize = 24;
/// Largest share of a pool's CPU that copies reserve, in percent. Three tasks in a hundred
/// take seven times as long: their copies need a fortieth.
const MAX_COPIES_PERCENT: u64 = 10;

/// A run that may get a copy: the only run of a task whose step allows copies.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// What is known of the task's step.
    pub profile: StepProfile,
    /// Time since the start was ordered.
    pub age_ms: u64,
    /// Longest time that other tasks are expected to take which end the job, or open the
    /// next step, together with this one.
    pub rest_ms: u64,
    /// CPU that a copy reserves.
    pub cpu_millicores: u64,
    /// Whether a copy can still bring the job within its objective.
    pub in_time: bool,
}

/// What a pool has for copies.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// Runs that may get a copy.
    pub candidates: Vec<CandidateRun>,
    /// Whether tasks of any step wait for workers.
    pub steps_wait: bool,
    /// CPU of the usable workers.
    pub capacity_millicores: u64,
    /// Copies that may occupy workers, including those that are being stopped.
    pub copies: usize,
    /// CPU that these reserve.
    pub copies_millicores: u64,
    /// Copies that may start now, by how earlier ones have turned out.
    pub most_copies: usize,
}

/// A run that gets a copy, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChosenCopy {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Time since the start of the run was ordered.
    pub age_ms: u64,
    /// Usual time of a fresh run.
    pub usual_ms: u64,
    /// Age from which the run was late: the quantile of the durations of such tasks.
    pub late_ms: u64,
    /// Time by which a copy is expected to end earlier.
    pub gain_ms: u64,
}

impl LearnedDurations {
    /// Returns the age from which a run is late, or `None` if too little is known.
    ///
    /// ```
    /// use cornelpoint::job::StepId;
    /// use cornelpoint::speculation::DurationSource;
    /// use cornelpoint::speculation::LearnedDurations;
    /// use cornelpoint::speculation::StepProfile;
    ///
    /// let profile = StepProfile {
    ///     step: StepId { job: "00000000000000aa".parse().unwrap(), occurrence: 0, step: 0 },
    ///     source: DurationSource::new(Some("layout"), "quotes"),
    ///     tasks: 1,
    ///     expected_ms: 1000,
    /// };
    /// let mut learned = LearnedDurations::default();
    /// assert_eq!(learned.late_ms(&profile), None);
    /// for _ in 0..40 {
    ///     learned.learn(&profile, 1, 1200);
    /// }
    /// assert_eq!(learned.late_ms(&profile), Some(1200));
    /// ```
    #[must_use]
    pub fn late_ms(&self, profile: &StepProfile) -> Option<u64> {
        let usual = self.usual(profile)?;
        let late = usual.ratios.quantile(LATE_PERCENT)?;
        Some(milliseconds(late, usual.unit_ms))
    }

    /// Returns the runs that get a copy now, the most useful first, within the bounds of
    /// the pool. None while any step waits for workers.
    ///
    /// ```
    /// use cornelpoint::speculation::LearnedDurations;
    /// use cornelpoint::speculation::PoolView;
    ///
    /// let view = PoolView {
    ///     candidates: Vec::new(),
    ///     steps_wait: false,
    ///     capacity_millicores: 64_000,
    ///     copies: 0,
    ///     copies_millicores: 0,
    ///     most_copies: usize::MAX,
    /// };
    /// assert!(LearnedDurations::default().choose_copies(&view).is_empty());
    /// ```
    #[must_use]
    pub fn choose_copies(&self, pool: &PoolView) -> Vec<ChosenCopy> {
        if pool.steps_wait {
            return Vec::new();
        }
        let gains = pool.candidates.iter();
        let gains = gains.filter_map(|run| Some((run, self.gain(run)?)));
        let mut gains: Vec<(&CandidateRun, ChosenCopy)> = gains.collect();
        gains.sort_by_key(|(run, copy)| (!run.in_time, std::cmp::Reverse(copy.gain_ms), run.task));
        let (mut copies, mut millicores) = (pool.copies, pool.copies_millicores);
        let mut chosen = Vec::new();
        for (run, copy) in gains {
            let share = pool.capacity_millicores * MAX_COPIES_PERCENT / 100;
            // A small pool may make one copy whatever its share is.
            let fits = copies == 0 || millicores + run.cpu_millicores <= share;
            if chosen.len() >= pool.most_copies || copies >= MAX_COPIES || !fits {
                continue;
            }
            copies += 1;
            millicores += run.cpu_millicores;
            chosen.push(copy);
        }
        chosen
    }

    /// Returns the copy of a run if it is late and a copy is expected to end so much
    /// earlier that it is worth its work.
    fn gain(&self, run: &CandidateRun) -> Option<ChosenCopy> {
        let usual = self.usual(&run.profile)?;
        let age = ratio(run.age_ms, usual.unit_ms);
        let late = usual.ratios.quantile(LATE_PERCENT)?;
        if age <= late {
            return None;
        }
        let fresh = usual.ratios.quantile(50)?;
        let rest = ratio(run.rest_ms, usual.unit_ms);
        let gain = usual.ratios.expected_excess(age, fresh.max(rest));
        let gain_ms = milliseconds(gain, usual.unit_ms);
        (gain >= fresh * MIN_GAIN && gain_ms >= MIN_GAIN_MS).then(|| ChosenCopy {
            task: run.task,
            run: run.run,
            age_ms: run.age_ms,
            usual_ms: milliseconds(fresh, usual.unit_ms),
            late_ms: milliseconds(late, usual.unit_ms),
            gain_ms,
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "ratios are positive, and durations far below 2^52 ms"
)]
fn milliseconds(ratio: f64, unit_ms: u64) -> u64 {
    (ratio * unit_ms as f64).round() as u64
}
