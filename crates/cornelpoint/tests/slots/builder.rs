//! Builders for the slot tests.

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::slots::Borrower;
use cornelpoint::slots::BorrowerSettings;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderEndpoint;
use cornelpoint::slots::HolderSettings;

pub const MAX_DEADLINE_MS: u64 = 2_000;
pub const SLOTS: u32 = 8;

pub fn settings() -> HolderSettings {
    HolderSettings::for_max_deadline(MAX_DEADLINE_MS)
}

pub fn instance(number: u32) -> InstanceId {
    InstanceId::try_from(format!("quoting-{number}")).unwrap()
}

pub fn endpoint(number: u32, epoch: u64, accepts_work: bool) -> HolderEndpoint {
    HolderEndpoint {
        instance: instance(number),
        epoch,
        slots: SLOTS,
        accepts_work,
    }
}

pub fn borrower(number: u32, incarnation: u64, now_ms: u64) -> Borrower {
    let settings = BorrowerSettings::for_own_zone(
        InstanceId::try_from(format!("entry-{number}")).unwrap(),
        incarnation,
        PoolName::try_from("quoting").unwrap(),
        AvailabilityZone::try_from("a").unwrap(),
    );
    Borrower::new(settings, now_ms)
}

/// Runs one exchange without loss or delay. Returns false if none was due.
pub fn exchange(borrower: &mut Borrower, holder: &mut Holder, now_ms: u64) -> bool {
    let Some(request) = borrower.request_due(now_ms) else {
        return false;
    };
    let reply = holder.exchange(&request, now_ms);
    borrower.apply(&reply, now_ms);
    true
}
