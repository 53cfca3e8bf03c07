//! Jobs whose bodies are small and whose tasks, steps or occurrences are many.

use serde_json::Value;
use serde_json::json;

use crate::withstands_jobs;

/// Jobs of many steps that one caller submits.
const MANY_JOBS: u64 = 400;
/// Times of a job that are due at once: the most that a job may have.
const OCCURRENCES: u64 = 100_000;

/// Guards against an owner that ends since it holds a record for each task of a job.
#[test]
fn a_job_of_many_tasks_stays_within_the_memory() {
    withstands_jobs("many_tasks", |process| {
        let body = body(&json!({}), 300, |step| {
            let earlier: Vec<u64> = step.checked_sub(1).into_iter().collect();
            json!({ "replicas": 10_000, "after": earlier })
        });
        assert_eq!(process.submit_body(1, &body), Some(200));
    });
}

/// The same where all steps may run at once, as gangs.
#[test]
fn gangs_of_many_tasks_stay_within_the_memory() {
    withstands_jobs("gangs", |process| {
        let body = body(
            &json!({}),
            300,
            |_| json!({ "replicas": 10_000, "gang": true }),
        );
        assert_eq!(process.submit_body(1, &body), Some(200));
    });
}

/// The same for a job whose occurrences are all due.
#[test]
fn occurrences_that_are_due_stay_within_the_memory() {
    withstands_jobs("occurrences", |process| {
        let schedule = json!({ "repeat_count": OCCURRENCES, "start_time_ms": 1 });
        let body = body(&schedule, 20, |_| json!({ "replicas": 100 }));
        assert_eq!(process.submit_body(1, &body), Some(200));
    });
}

/// The same for many jobs, of which an owner takes as many as it can hold.
#[test]
fn many_jobs_of_many_steps_stay_within_the_memory() {
    withstands_jobs("many_jobs", |process| {
        let schedule = json!({ "repeat_count": 1, "start_time_ms": 1 });
        let body = body(&schedule, 1000, |_| json!({ "replicas": 100 }));
        for number in 1..=MANY_JOBS {
            let status = process.submit_body(number, &body);
            assert!(
                matches!(status, Some(200 | 429 | 503)),
                "a job is answered {status:?}"
            );
        }
    });
}

/// Encodes a job of a number of steps.
pub fn body(fields: &Value, steps: u64, step: impl Fn(u64) -> Value) -> Vec<u8> {
    let steps = (0..steps).map(|index| {
        let mut step = step(index);
        step["cpu"] = 500.into();
        step["estimate_ms"] = 900.into();
        step
    });
    let mut job = fields.clone();
    job["spec"] = "task".into();
    job["steps"] = steps.collect::<Vec<Value>>().into();
    job.to_string().into_bytes()
}
