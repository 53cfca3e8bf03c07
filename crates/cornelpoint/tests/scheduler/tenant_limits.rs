//! Limits of tenants on what runs.

use cornelpoint::job::RawStep;
use cornelpoint::job::Resources;
use cornelpoint::quota::Allotment;
use cornelpoint::quota::Limit;
use cornelpoint::quota::PoolEntry;
use cornelpoint::quota::QuotaCall;
use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaRow;
use cornelpoint::quota::QuotaTable;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerEvent;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::answer_renewals;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

const CONFIGURATION_MS: u64 = 3000;

fn tenants(cpu_millicores: u64) -> Tenants {
    Tenants::check(vec![Some(RawTenant {
        name: "north".to_owned(),
        keys: Vec::new(),
        weight_milli: 1000,
        limit: Resources {
            cpu_millicores,
            ..Resources::default()
        },
    })])
}

/// Returns a scheduler that keeps tenant `north` within two cores. There are two pools.
fn limited_scheduler(workers: &[&str]) -> PoolScheduler {
    let mut scheduler = ready_scheduler(workers);
    scheduler.enforce_limits(CONFIGURATION_MS);
    let pools = [POOL, "other"].into_iter();
    scheduler.set_limits(1, Some(&tenants(2000)), pools);
    scheduler.confirm_configuration(1);
    scheduler
}

fn submit(scheduler: &mut PoolScheduler, number: u64, tenant: &str, tasks: u64, now_ms: u64) {
    submit_step(scheduler, number, tenant, step(tasks, 1000), now_ms);
}

fn submit_step(
    scheduler: &mut PoolScheduler,
    number: u64,
    tenant: &str,
    raw: RawStep,
    now_ms: u64,
) {
    let (mut record, spec) = job(vec![raw]);
    record.tenant = Some(tenant.to_owned());
    let answer = scheduler.submit(job_id(number), record, spec, at(now_ms));
    assert_eq!(answer, SubmitAnswer::Storing);
    store_batches(scheduler, now_ms);
}

/// The row with the entry of this pool's predecessor, and one of the other pool.
fn row(version: u64, predecessor_millicores: u64, other_millicores: u64) -> QuotaRow {
    let mut table = QuotaTable {
        configuration: 1,
        ..QuotaTable::default()
    };
    let limit = tenants(2000).get("north").unwrap().limit;
    table.limits.insert("north".to_owned(), Limit(limit));
    for (pool, cpu_millicores) in [(POOL, predecessor_millicores), ("other", other_millicores)] {
        let allotted = Resources {
            cpu_millicores,
            ..Resources::default()
        };
        let allotment = Allotment {
            allotted,
            ..Allotment::default()
        };
        let tenants = [("north".to_owned(), allotment)].into();
        let entry = PoolEntry {
            fencing_token: 0,
            tenants,
        };
        table.pools.insert(pool.to_owned(), entry);
    }
    QuotaRow {
        version,
        table: Some(table),
    }
}

/// Carries out the calls that are due, each at once.
fn carry_out_calls(scheduler: &mut PoolScheduler, row: &QuotaRow, now_ms: u64) {
    let mut version = row.version;
    while let Some(call) = scheduler.due_quota_call(at(now_ms)) {
        let reply = match call {
            QuotaCall::Read => QuotaReply::Row(row.clone()),
            QuotaCall::Write(write) => {
                assert_eq!(write.expected_version, version);
                version += 1;
                QuotaReply::Committed { version }
            }
        };
        scheduler.quota_replied(reply, at(now_ms));
    }
}

/// Entries of the workers, and of two that claim more than a number can hold: their sum made
/// owners fail.
fn odd_entries() -> Vec<RegistryEntry> {
    let mut entries = ["w1", "w2", "x1", "x2"].map(|id| entry(id, 5));
    for entry in &mut entries[2..] {
        entry.capacity.cpu_millicores = u64::MAX;
    }
    entries.into()
}

/// Guards against starts without an allotment, and against a tenant that holds back others.
#[test]
fn a_step_waits_for_its_tenants_limit_and_others_go_on() {
    let mut scheduler = limited_scheduler(&["w1", "w2"]);
    scheduler.apply_registry(&odd_entries(), true, at(5));
    submit(&mut scheduler, 1, "north", 4, 10);
    submit(&mut scheduler, 2, "south", 2, 10);
    let started = starts(&mut scheduler, 100);
    assert_eq!(started.len(), 2, "{started:?}");
    assert!(
        started
            .iter()
            .all(|(_, task, _)| task.starts_with("0000000000000002"))
    );
    assert!(starts(&mut scheduler, 600).is_empty());
    assert!(starts(&mut scheduler, 1200).is_empty());
    let events = scheduler.take_events();
    let waits = |event: &SchedulerEvent| matches!(event, SchedulerEvent::TenantWaits { tenant, .. } if tenant == "north");
    assert_eq!(events.iter().filter(|event| waits(event)).count(), 1);

    carry_out_calls(&mut scheduler, &row(5, 0, 0), 1300);
    assert_eq!(starts(&mut scheduler, 1301).len(), 2);
    assert!(starts(&mut scheduler, 1400).is_empty());
}

/// Guards against a limit whose room is not used again after a run has ended.
#[test]
fn the_end_of_a_run_makes_room() {
    let mut scheduler = limited_scheduler(&["w1"]);
    submit(&mut scheduler, 1, "north", 3, 10);
    carry_out_calls(&mut scheduler, &row(5, 0, 0), 20);
    let started = starts(&mut scheduler, 30);
    assert_eq!(started.len(), 2);
    let (_, task, run) = started[0].clone();
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: 1100,
        completions: vec![RunCompletion {
            sequence: 1,
            task: task.parse().unwrap(),
            run,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        }],
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(100));
    assert_eq!(starts(&mut scheduler, 101).len(), 1);
}

/// Guards against a successor that starts beside runs of its predecessor it can't know.
#[test]
fn unreported_workers_of_a_predecessor_count_up_to_the_allotment() {
    let mut scheduler = limited_scheduler(&["w1", "w2"]);
    let silent = WorkerRecord {
        id: "w3".to_owned(),
        born_unix_ms: 5,
        machine: None,
    };
    scheduler.set_predecessor(vec![silent], 500);
    submit(&mut scheduler, 1, "north", 4, 10);
    carry_out_calls(&mut scheduler, &row(5, 2000, 0), 20);
    assert!(starts(&mut scheduler, 30).is_empty());
    scheduler.confirm_ownership(600);
    answer_renewals(&mut scheduler, 600);
    scheduler.confirm_configuration(600);
    assert_eq!(starts(&mut scheduler, 610).len(), 2);
}

/// Guards against limits of a configuration that may have been replaced.
#[test]
fn nothing_starts_under_an_unconfirmed_configuration() {
    let mut scheduler = limited_scheduler(&["w1"]);
    submit(&mut scheduler, 1, "north", 2, 10);
    carry_out_calls(&mut scheduler, &row(5, 0, 0), 20);
    scheduler.confirm_ownership(CONFIGURATION_MS);
    assert!(starts(&mut scheduler, CONFIGURATION_MS + 1).is_empty());
    scheduler.confirm_configuration(CONFIGURATION_MS);
    assert_eq!(starts(&mut scheduler, CONFIGURATION_MS + 2).len(), 2);
}

/// Guards against a job that waits for ever, and against calls where there is no limit.
#[test]
fn a_task_beyond_the_limit_is_refused_and_without_limits_nothing_is_asked() {
    let mut scheduler = limited_scheduler(&["w1"]);
    let (mut record, spec) = job(vec![step(1, 2001)]);
    record.tenant = Some("north".to_owned());
    let answer = scheduler.submit(job_id(1), record, spec, at(10));
    let retry_after_ms = 30_000;
    assert_eq!(answer, SubmitAnswer::Rejected { retry_after_ms });

    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.enforce_limits(CONFIGURATION_MS);
    scheduler.set_limits(1, Some(&tenants(0)), [POOL].into_iter());
    submit(&mut scheduler, 2, "north", 4, 10);
    assert_eq!(starts(&mut scheduler, 1000).len(), 4);
    assert_eq!(scheduler.due_quota_call(at(1000)), None);
}

fn lasting(cpu_millicores: u64) -> RawStep {
    RawStep {
        long_running: true,
        ..step(1, cpu_millicores)
    }
}

/// Guards against a worker that is held, and idle, for a step that waits for its tenant's
/// limit.
#[test]
fn no_worker_is_held_for_a_step_without_room_in_its_tenants_limit() {
    let mut scheduler = limited_scheduler(&["w1"]);
    submit_step(&mut scheduler, 1, "north", lasting(1000), 10);
    for now_ms in [20, 600, 700] {
        assert!(starts(&mut scheduler, now_ms).is_empty());
    }
    submit(&mut scheduler, 2, "south", 2, 800);
    assert_eq!(starts(&mut scheduler, 900).len(), 2);
}

/// Guards against an order that is sent, after a pause, under a limit that was lowered since
/// the start was decided on.
#[test]
fn a_start_is_not_sent_once_the_limit_is_below_it() {
    let mut scheduler = limited_scheduler(&["w1"]);
    submit(&mut scheduler, 1, "north", 1, 10);
    carry_out_calls(&mut scheduler, &row(5, 0, 0), 20);
    let started = starts(&mut scheduler, 30);
    let task = started[0].1.parse().unwrap();
    assert!(scheduler.may_send_start(task, at(40)));
    scheduler.set_limits(2, Some(&tenants(500)), [POOL, "other"].into_iter());
    scheduler.confirm_configuration(5000);
    assert!(!scheduler.may_send_start(task, at(5010)));
}

/// Guards against small tasks that wait for ever behind one that doesn't fit beside tasks
/// that last.
#[test]
fn a_step_that_waits_for_lasting_tasks_holds_back_no_others() {
    let mut scheduler = limited_scheduler(&["w1"]);
    submit_step(&mut scheduler, 1, "north", lasting(1000), 10);
    carry_out_calls(&mut scheduler, &row(5, 2000, 0), 20);
    assert_eq!(starts(&mut scheduler, 30).len(), 1);
    submit_step(&mut scheduler, 2, "north", lasting(1500), 40);
    submit(&mut scheduler, 3, "north", 1, 40);
    let started = starts(&mut scheduler, 50);
    assert_eq!(started.len(), 1, "{started:?}");
    assert!(started[0].1.starts_with("0000000000000003"));
}
