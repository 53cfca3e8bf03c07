//! Single decisions about rows that are odd, and about writes without an answer.

use cornelpoint::job::Resources;
use cornelpoint::quota::PoolDemand;
use cornelpoint::quota::PoolQuota;
use cornelpoint::quota::QuotaCall;
use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaRow;
use cornelpoint::quota::QuotaTable;
use cornelpoint::quota::QuotaWrite;
use cornelpoint::quota::TenantDemand;
use cornelpoint::quota::WaitReason;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;

const TENANT: &str = "north";

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millicores: cores * 1000,
        ..Resources::default()
    }
}

fn demand(used: u64, waiting: u64) -> PoolDemand {
    let demand = TenantDemand {
        used: cores(used),
        waiting: cores(waiting),
        blocked: cores(waiting),
    };
    PoolDemand {
        tenants: [(TENANT.to_owned(), demand)].into(),
        capacity: cores(100),
        ..PoolDemand::default()
    }
}

fn write(quota: &mut PoolQuota, demand: &PoolDemand, now_ms: u64) -> QuotaWrite {
    match quota.due_call(demand, now_ms) {
        Some(QuotaCall::Write(write)) => write,
        other => panic!("expected a write, found {other:?}"),
    }
}

fn room(quota: &PoolQuota, now_ms: u64) -> Result<u64, WaitReason> {
    let room = quota.room(TENANT, Resources::default(), Resources::default(), now_ms);
    room.map(|room| room.cpu_millicores)
}

fn tenants(limit: u64) -> Tenants {
    Tenants::check(vec![Some(RawTenant {
        name: TENANT.to_owned(),
        keys: Vec::new(),
        weight_milli: 1000,
        limit: cores(limit),
    })])
}

/// Returns the quota of a pool that may use the whole limit of 16 cores, and the row, which
/// has version 2.
fn quota_with_all() -> (PoolQuota, QuotaRow) {
    let mut quota = PoolQuota::new("a", 1, 1_000_000);
    quota.set_limits(1, &tenants(16), ["a"].into_iter());
    quota.configuration_confirmed(1);
    assert_eq!(quota.due_call(&demand(0, 16), 1), Some(QuotaCall::Read));
    let table = Some(QuotaTable::default());
    quota.replied(QuotaReply::Row(QuotaRow { version: 0, table }), 2);
    let written = write(&mut quota, &demand(0, 16), 3);
    quota.replied(QuotaReply::Committed { version: 2 }, 4);
    assert_eq!(room(&quota, 5), Ok(16_000));
    let table = Some(written.table);
    (quota, QuotaRow { version: 2, table })
}

/// Guards against an allotment that is used although a write without an answer may still
/// give it back, also after the row was read with the version that the write names.
#[test]
fn a_reduction_without_an_answer_counts_until_the_row_has_another_version() {
    let (mut quota, row) = quota_with_all();
    assert_eq!(quota.due_call(&demand(0, 0), 1000), None);
    let reduction = write(&mut quota, &demand(0, 0), 4000);
    assert_eq!(room(&quota, 4000), Ok(12_000));
    quota.replied(QuotaReply::Unanswered, 5500);
    assert!(!quota.row_read(row));
    assert_eq!(room(&quota, 5501), Ok(12_000));
    let again = write(&mut quota, &demand(0, 16), 6000);
    assert_eq!(again.expected_version, reduction.expected_version);
    quota.replied(QuotaReply::Committed { version: 3 }, 6010);
    assert_eq!(room(&quota, 6011), Ok(16_000));
}

/// Guards against starts under a row that can't be decoded, and against an end of all starts
/// once an operator has removed it.
#[test]
fn a_row_that_can_not_be_decoded_stops_starts_until_it_is_removed() {
    let (mut quota, _) = quota_with_all();
    let row = QuotaRow {
        version: 3,
        table: None,
    };
    quota.row_read(row.clone());
    assert_eq!(room(&quota, 10), Err(WaitReason::Unreadable));
    assert_eq!(quota.due_call(&demand(1, 0), 1000), Some(QuotaCall::Read));
    quota.replied(QuotaReply::Row(row), 1010);
    assert_eq!(quota.due_call(&demand(1, 0), 1100), None);
    let table = Some(QuotaTable::default());
    quota.row_read(QuotaRow { version: 0, table });
    let written = write(&mut quota, &demand(1, 0), 3000);
    assert_eq!(written.expected_version, 0);
    quota.replied(QuotaReply::Committed { version: 5 }, 3010);
    assert_eq!(room(&quota, 3011), Ok(8000));
}

/// Guards against a predecessor that starts or writes beside its successor.
#[test]
fn a_higher_token_ends_starts_and_writes() {
    let (mut quota, mut row) = quota_with_all();
    row.version = 3;
    let entry = row
        .table
        .as_mut()
        .and_then(|table| table.pools.get_mut("a"));
    entry.unwrap().fencing_token = 2;
    quota.row_read(row);
    assert_eq!(room(&quota, 10), Err(WaitReason::Unregistered));
    assert_eq!(quota.due_call(&demand(0, 16), 9000), None);
}

/// Guards against starts under a lowered limit while others may still raise by the former
/// one, and under a removed limit while others don't know that use isn't counted any more.
#[test]
fn changed_limits_hold_once_the_row_has_them() {
    let (mut quota, _) = quota_with_all();
    quota.set_limits(2, &tenants(12), ["a"].into_iter());
    assert_eq!(room(&quota, 1000), Err(WaitReason::LimitsUnrecorded));
    write(&mut quota, &demand(0, 16), 1000);
    quota.replied(QuotaReply::Committed { version: 3 }, 1010);
    // The former allotment exceeds the limit: it is given back first.
    assert_eq!(room(&quota, 1011), Ok(0));
    write(&mut quota, &demand(0, 16), 2000);
    quota.replied(QuotaReply::Committed { version: 4 }, 2010);
    assert_eq!(room(&quota, 2011), Ok(12_000));

    quota.set_limits(3, &tenants(0), ["a"].into_iter());
    assert_eq!(room(&quota, 3000), Ok(12_000));
    write(&mut quota, &demand(0, 16), 3000);
    quota.replied(QuotaReply::Committed { version: 5 }, 3010);
    assert_eq!(room(&quota, 3011), Ok(u64::MAX));
}

/// Lets two pools write to one row, without faults, until one of them has room for what it
/// waits for; returns which.
fn first_with_room(limit: u64, waiting: [u64; 2]) -> Option<usize> {
    let mut pools = ["a", "b"].map(|pool| {
        let mut quota = PoolQuota::new(pool, 1, 1_000_000);
        quota.set_limits(1, &tenants(limit), ["a", "b"].into_iter());
        quota.configuration_confirmed(1);
        quota
    });
    let mut row = QuotaRow {
        version: 0,
        table: Some(QuotaTable::default()),
    };
    for now_ms in (10..60_000).step_by(10) {
        for (index, waiting) in waiting.into_iter().enumerate() {
            // At first both take what they have at rest.
            let waiting = if now_ms < 1000 { 0 } else { waiting };
            let quota = &mut pools[index];
            if waiting > 0 && room(quota, now_ms).is_ok_and(|room| room >= waiting * 1000) {
                return Some(index);
            }
            match quota.due_call(&demand(0, waiting), now_ms) {
                Some(QuotaCall::Read) => quota.replied(QuotaReply::Row(row.clone()), now_ms),
                Some(QuotaCall::Write(write)) => {
                    assert_eq!(write.expected_version, row.version);
                    let version = row.version + 1;
                    row.version = version;
                    row.table = Some(write.table);
                    quota.replied(QuotaReply::Committed { version }, now_ms);
                }
                None => {}
            }
            for quota in &mut pools {
                quota.row_read(row.clone());
            }
        }
    }
    None
}

/// Guards against two pools that each keep what the other one's task needs, so that neither
/// ever starts.
#[test]
fn one_of_two_pools_gets_room_for_a_large_task() {
    for need in [5, 11, 13, 16] {
        assert!(first_with_room(16, [need; 2]).is_some(), "{need}");
    }
}

/// Guards against a task within the limit that never starts since an idle pool keeps a part.
#[test]
fn a_task_as_large_as_the_limit_gets_room() {
    assert_eq!(first_with_room(16, [16, 0]), Some(0));
}
