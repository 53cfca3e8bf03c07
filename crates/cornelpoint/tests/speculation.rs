//! Which late runs get a copy.

use cornelpoint::job::StepId;
use cornelpoint::speculation::CandidateRun;
use cornelpoint::speculation::CopyOutcome;
use cornelpoint::speculation::CopyRecord;
use cornelpoint::speculation::DurationSource;
use cornelpoint::speculation::LearnedDurations;
use cornelpoint::speculation::PoolView;
use cornelpoint::speculation::StepProfile;

fn profile(step: u16) -> StepProfile {
    StepProfile {
        step: StepId {
            job: "00000000000000aa".parse().expect("a valid job ID"),
            occurrence: 0,
            step,
        },
        source: DurationSource::new(None, "quotes"),
        tasks: 1,
        expected_ms: 1000,
    }
}

/// Has seen 100 tasks of 0.5 to 1.5 s, of which three took seven times as long.
fn learned() -> LearnedDurations {
    let mut learned = LearnedDurations::default();
    for number in 0..100 {
        let usual_ms = 500 + number * 10;
        let took_ms = if number % 33 == 1 {
            usual_ms * 7
        } else {
            usual_ms
        };
        learned.learn(&profile(0), 1, took_ms);
    }
    learned
}

fn candidate(index: u32, age_ms: u64, rest_ms: u64) -> CandidateRun {
    CandidateRun {
        task: profile(0).step.task(index),
        run: 1,
        profile: profile(0),
        age_ms,
        rest_ms,
        cpu_millicores: 1000,
        in_time: true,
    }
}

fn view(candidates: Vec<CandidateRun>) -> PoolView {
    PoolView {
        candidates,
        steps_wait: false,
        capacity_millicores: 40_000,
        copies: 0,
        copies_millicores: 0,
        most_copies: usize::MAX,
    }
}

/// Returns the tasks that get a copy.
fn chosen(learned: &LearnedDurations, view: &PoolView) -> Vec<u32> {
    let chosen = learned.choose_copies(view);
    chosen.iter().map(|copy| copy.task.index).collect()
}

/// Guards against copies of usual runs, and of runs for whose end the job doesn't wait.
#[test]
fn runs_that_last_longer_than_usual_get_a_copy_if_their_job_waits_for_them() {
    let learned = learned();
    assert_eq!(chosen(&learned, &view(vec![candidate(0, 1200, 0)])), [0; 0]);
    assert_eq!(chosen(&learned, &view(vec![candidate(0, 1700, 0)])), [0]);
    assert_eq!(
        chosen(&learned, &view(vec![candidate(0, 1700, 9000)])),
        [0; 0]
    );
}

/// Guards against copies that others pay for.
#[test]
fn copies_are_bounded_by_the_pool() {
    let learned = learned();
    let late = |index| candidate(index, 1700 + u64::from(index), 0);
    let all = view((0..9).map(late).collect());
    // A tenth of 40 cores.
    assert_eq!(chosen(&learned, &all).len(), 4);
    let waits = PoolView {
        steps_wait: true,
        ..all.clone()
    };
    assert_eq!(chosen(&learned, &waits), [0; 0]);
    let used = PoolView {
        copies: 3,
        copies_millicores: 3000,
        most_copies: usize::MAX,
        ..all
    };
    assert_eq!(chosen(&learned, &used).len(), 1);
    let small = PoolView {
        capacity_millicores: 4000,
        ..view(vec![late(1), late(2)])
    };
    assert_eq!(chosen(&learned, &small).len(), 1);
}

/// Guards against copies by what was usual long ago, or before anything is known.
#[test]
fn what_is_usual_is_learned_from_recent_tasks() {
    let late = view(vec![candidate(0, 1700, 0)]);
    assert_eq!(chosen(&LearnedDurations::default(), &late), [0; 0]);
    let mut learned = learned();
    for _ in 0..200 {
        learned.learn(&profile(0), 1, 1700);
    }
    assert_eq!(chosen(&learned, &late), [0; 0]);
}

/// Guards against copies that only cost work: where tasks last long by themselves, a copy
/// takes as long as the run that it copies.
#[test]
fn copies_that_only_lose_become_trials() {
    let late = |number| candidate(number, 1700, 0);
    let learned = learned();
    let mut record = CopyRecord::default();
    for _ in 0..8 {
        record.record_outcome(CopyOutcome::Lost);
    }
    record.copy_started(0);
    let choose = |record: &CopyRecord, now_ms| {
        let view = PoolView {
            most_copies: record.most_copies(now_ms),
            ..view(vec![late(1), late(2)])
        };
        chosen(&learned, &view).len()
    };
    assert_eq!(choose(&record, 1000), 0);
    assert_eq!(choose(&record, 6000), 1);
    record.record_outcome(CopyOutcome::Won);
    assert_eq!(choose(&record, 6001), 2);
}
