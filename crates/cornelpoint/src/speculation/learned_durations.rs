use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::job::JobId;
use crate::job::StepId;

use super::ratio_history::RatioHistory;

/// Least number of tasks of a step whose durations are compared with each other.
const MIN_SIBLINGS: usize = 4;
/// Largest number of durations that are kept of one step.
const MAX_SIBLINGS: usize = 64;
/// Largest number of images and queues of which durations are kept.
const MAX_SOURCES: usize = 512;

/// Share of the highest tenth of ratios to estimates up to which the usual ratio is raised.
/// With a half, a slow worker that runs a third of a pool's tasks would seem usual.
const HIGH_SHARE: f64 = 0.4;

/// What the durations of tasks are learned by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DurationSource {
    /// Tasks of this program image.
    Image(String),
    /// Tasks of this queue without an image.
    Queue(String),
}

impl DurationSource {
    /// Returns the source of a step's durations: its image, or its queue if it has none.
    ///
    /// ```
    /// use cornelpoint::speculation::DurationSource;
    ///
    /// let source = DurationSource::new(None, "quotes");
    /// assert_eq!(source, DurationSource::Queue("quotes".to_owned()));
    /// ```
    #[must_use]
    pub fn new(image: Option<&str>, queue: &str) -> Self {
        match image {
            Some(image) => Self::Image(image.to_owned()),
            None => Self::Queue(queue.to_owned()),
        }
    }
}

/// What is known of the tasks of a step before they run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepProfile {
    /// The step.
    pub step: StepId,
    /// Where the usual duration is learned from.
    pub source: DurationSource,
    /// Number of the step's tasks.
    pub tasks: u32,
    /// Expected duration of a task by the estimate and the model of the queue.
    pub expected_ms: u64,
}

/// Histories of one source.
#[derive(Clone, Debug, Default)]
struct SourceHistory {
    /// Ratios to the expected duration.
    to_expected: RatioHistory,
    /// Ratios to the median duration of the tasks of the same step.
    to_siblings: RatioHistory,
    last_learned: u64,
}

/// Durations of the tasks of a step that are done.
#[derive(Clone, Debug, Default)]
struct StepDurations {
    /// Sorted durations, in milliseconds.
    sorted_ms: Vec<u64>,
    worker: Option<u32>,
    /// Whether the tasks ran on more than one worker.
    is_mixed: bool,
}

/// What is usual for the tasks of a step: a unit of time and the history of ratios to it.
pub(super) struct Usual<'a> {
    pub(super) unit_ms: u64,
    pub(super) ratios: &'a RatioHistory,
}

/// Recent durations of tasks by image or queue, and of the tasks of steps that are not
/// done.
///
/// Callers' estimates are off by up to nine tenths, but the tasks of one step have the same
/// error, so that a task is compared with those of its step once most of them are done.
#[derive(Clone, Debug, Default)]
pub struct LearnedDurations {
    histories: HashMap<DurationSource, SourceHistory>,
    steps: BTreeMap<StepId, StepDurations>,
    learned: u64,
}

impl LearnedDurations {
    /// Records the duration of a finished task, and the number of its worker.
    ///
    /// ```
    /// use cornelpoint::job::StepId;
    /// use cornelpoint::speculation::DurationSource;
    /// use cornelpoint::speculation::LearnedDurations;
    /// use cornelpoint::speculation::StepProfile;
    ///
    /// let profile = StepProfile {
    ///     step: StepId { job: "00000000000000aa".parse().unwrap(), occurrence: 0, step: 0 },
    ///     source: DurationSource::new(None, "quotes"),
    ///     tasks: 4,
    ///     expected_ms: 1000,
    /// };
    /// let mut learned = LearnedDurations::default();
    /// for (worker, took_ms) in [(1, 600), (2, 700), (1, 800)] {
    ///     assert_eq!(learned.ratio_to_usual(&profile, 1600), None);
    ///     learned.learn(&profile, worker, took_ms);
    /// }
    /// assert_eq!(learned.ratio_to_usual(&profile, 1600), Some(2.0));
    /// ```
    pub fn learn(&mut self, profile: &StepProfile, worker: u32, took_ms: u64) {
        let to_expected = ratio(took_ms, profile.expected_ms);
        self.history_mut(&profile.source)
            .to_expected
            .record(to_expected);
        let durations = self.steps.entry(profile.step).or_default();
        durations.is_mixed |= *durations.worker.get_or_insert(worker) != worker;
        let sorted_ms = &mut durations.sorted_ms;
        if sorted_ms.len() < MAX_SIBLINGS {
            let index = sorted_ms.partition_point(|known| *known < took_ms);
            sorted_ms.insert(index, took_ms);
        }
    }

    /// Records the age of a run that was stopped because another run of its task ended
    /// first. If it was late, it counts as if it had lasted for as long again: with its age
    /// alone, late runs would seem to end soon, and their copies would come too late.
    pub fn learn_stopped(&mut self, profile: &StepProfile, age_ms: u64) {
        let is_late = self
            .late_ms(profile)
            .is_some_and(|late_ms| late_ms < age_ms);
        if !is_late {
            return;
        }
        let by_siblings = self.sibling_median_ms(profile);
        let history = self.history_mut(&profile.source);
        let to_expected = ratio(2 * age_ms, profile.expected_ms);
        history.to_expected.record(to_expected);
        if let Some(median_ms) = by_siblings {
            history.to_siblings.record(ratio(2 * age_ms, median_ms));
        }
    }

    /// Records that all tasks of a step are done, whose durations are no longer kept.
    pub fn step_done(&mut self, profile: &StepProfile) {
        let Some(durations) = self.steps.remove(&profile.step) else {
            return;
        };
        let durations = durations.sorted_ms;
        let Some(median_ms) = durations.get(durations.len() / 2).copied() else {
            return;
        };
        if durations.len() >= MIN_SIBLINGS {
            let history = self.history_mut(&profile.source);
            for took_ms in durations {
                history.to_siblings.record(ratio(took_ms, median_ms));
            }
        }
    }

    /// Removes the durations of a job's steps, once it is final.
    pub fn forget_job(&mut self, job: JobId) {
        let first = StepId {
            job,
            occurrence: 0,
            step: 0,
        };
        let steps = self.steps.range(first..);
        let steps = steps.take_while(|(step, _)| step.job == job);
        let steps: Vec<StepId> = steps.map(|(step, _)| *step).collect();
        for step in steps {
            self.steps.remove(&step);
        }
    }

    /// Returns the ratio of a duration, or of the age of a run, to what is usual for the
    /// tasks of its step, or `None` if too little is known. Tasks of the step tell it only
    /// if they ran on several workers: one of them may be slow.
    #[must_use]
    pub fn ratio_to_usual(&self, profile: &StepProfile, took_ms: u64) -> Option<f64> {
        let durations = self.steps.get(&profile.step);
        if durations.is_some_and(|durations| durations.is_mixed)
            && let Some(median_ms) = self.sibling_median_ms(profile)
        {
            return Some(ratio(took_ms, median_ms));
        }
        let to_expected = &self.histories.get(&profile.source)?.to_expected;
        let (median, high) = (to_expected.quantile(50)?, to_expected.quantile(90)?);
        // Where estimates are far off, twice the median is nothing unusual.
        let usual = median.max(high * HIGH_SHARE).max(f64::EPSILON);
        Some(ratio(took_ms, profile.expected_ms) / usual)
    }

    /// Returns what is usual for the tasks of a step, or `None` if too little is known.
    pub(super) fn usual(&self, profile: &StepProfile) -> Option<Usual<'_>> {
        let history = self.histories.get(&profile.source)?;
        let by_siblings = self.sibling_median_ms(profile).map(|unit_ms| Usual {
            unit_ms,
            ratios: &history.to_siblings,
        });
        let by_siblings = by_siblings.filter(|usual| usual.ratios.is_known());
        by_siblings.or_else(|| {
            let by_estimate = Usual {
                unit_ms: profile.expected_ms.max(1),
                ratios: &history.to_expected,
            };
            by_estimate.ratios.is_known().then_some(by_estimate)
        })
    }

    /// Returns the median duration of a step's tasks once more than half of them are done.
    /// Those that are done first are the shorter ones, so that the median of these alone
    /// would be too low.
    fn sibling_median_ms(&self, profile: &StepProfile) -> Option<u64> {
        let tasks = usize::try_from(profile.tasks).unwrap_or(usize::MAX);
        if tasks < MIN_SIBLINGS {
            return None;
        }
        let durations = self.steps.get(&profile.step)?;
        let median_ms = durations.sorted_ms.get(tasks.min(MAX_SIBLINGS) / 2)?;
        Some((*median_ms).max(1))
    }

    fn history_mut(&mut self, source: &DurationSource) -> &mut SourceHistory {
        self.learned += 1;
        if self.histories.len() >= MAX_SOURCES && !self.histories.contains_key(source) {
            let sources = self.histories.iter();
            let oldest = sources.min_by_key(|(_, history)| history.last_learned);
            if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
                self.histories.remove(&oldest);
            }
        }
        let history = self.histories.entry(source.clone()).or_default();
        history.last_learned = self.learned;
        history
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 ms"
)]
pub(super) fn ratio(time_ms: u64, unit_ms: u64) -> f64 {
    time_ms as f64 / unit_ms.max(1) as f64
}
