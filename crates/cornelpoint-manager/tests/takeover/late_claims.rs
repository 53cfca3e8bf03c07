//! Claims of a pool that get no answer and that the store carries out seconds later.

use std::cell::Cell;
use std::time::Duration;

use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::scheduler::SchedulerSettings;

use crate::TRANSACTION_DURATION;
use crate::fleet::CLUSTER_TABLE;
use crate::fleet::Fleet;
use crate::fleet::wait_until;

/// How much later the store carries out a claim.
const LATE: Duration = Duration::from_secs(4);

/// Pauses the owner, which has not ended, and lets the store carry out the claims of the
/// other processes late.
fn lose_owner(fleet: &Fleet) -> OwnerRow {
    let before = fleet.owner_row().unwrap();
    for instance in fleet.others() {
        let store = &fleet.store;
        store.set_late_writes(&instance.name, CLUSTER_TABLE, Some(LATE));
    }
    fleet.owner().pause();
    before
}

/// Waits until a claim is carried out, and ends the fault. Returns a time of the store's
/// clock before it: until then, the former owner may have had its ownership confirmed.
fn wait_for_late_claim(fleet: &Fleet, before: &OwnerRow) -> u64 {
    let owned_ms = Cell::new(0);
    wait_until("a claim is carried out", || {
        let now_ms = fleet.store.clock_ms();
        let claimed = fleet.owner_row().unwrap().fencing_token > before.fencing_token;
        if !claimed {
            owned_ms.set(now_ms);
        }
        claimed
    });
    for instance in &fleet.instances {
        let store = &fleet.store;
        store.set_late_writes(&instance.name, CLUSTER_TABLE, None);
    }
    owned_ms.get()
}

/// Waits for the owner after that of the late claim. It must wait until the leases that
/// the paused owner may have granted have expired.
fn assert_leases_awaited(fleet: &Fleet, before: &OwnerRow, owned_ms: u64) {
    let token = before.fencing_token + 2;
    wait_until("the pool has another owner", || {
        fleet.owner_row().unwrap().fencing_token >= token
    });
    let waits_until_ms = fleet.owner_row().unwrap().earlier_over_store_ms;
    let acts_ms = OwnershipSettings::default().max_unconfirmed_ms;
    let leases_end_ms = owned_ms + acts_ms + SchedulerSettings::default().lease_ms;
    assert!(
        waits_until_ms >= leases_end_ms,
        "the owner waits until {waits_until_ms}, leases end at {leases_end_ms}"
    );
}

/// Guards against tasks that run twice: the process whose claim was late releases the
/// pool, and the next owner waits as if the claim had been carried out when it was sent.
#[test]
fn a_pool_claimed_late_is_released_before_its_former_owner_has_stopped() {
    let fleet = Fleet::start("late_claim", TRANSACTION_DURATION);
    let before = lose_owner(&fleet);
    let owned_ms = wait_for_late_claim(&fleet, &before);
    assert_leases_awaited(&fleet, &before, owned_ms);
}

/// Guards against tasks that run twice: the process whose claim was late has ended before
/// the claim is carried out, and the next owner waits for its leases only.
#[test]
fn a_pool_claimed_late_by_an_ended_process_is_claimed_too_early() {
    let mut fleet = Fleet::start("late_claim_of_ended_process", TRANSACTION_DURATION);
    let before = lose_owner(&fleet);
    let owner = fleet.owner().name.clone();
    let claims = || {
        let counts = fleet.instances.iter();
        let counts = counts.map(|instance| fleet.store.late_transactions(&instance.name));
        counts.sum::<u64>()
    };
    wait_until("a claim is sent", || claims() > 0);
    for instance in fleet.others() {
        instance.kill();
    }
    let owned_ms = wait_for_late_claim(&fleet, &before);
    for instance in &mut fleet.instances {
        if instance.name != owner {
            instance.restart();
        }
    }
    assert_leases_awaited(&fleet, &before, owned_ms);
}
