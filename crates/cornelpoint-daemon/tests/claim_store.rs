//! Tests the claim store against the platform stand-in and its faults.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::claim::ClaimKey;
use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::Claimant;
use cornelpoint::claim::Fingerprint;
use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::SendPermit;
use cornelpoint::name::InstanceId;
use cornelpoint::name::ServiceName;
use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint_daemon::claim_store::ClaimDecision;
use cornelpoint_daemon::claim_store::ClaimStore;
use cornelpoint_daemon::claim_store::ClaimStoreSettings;
use cornelpoint_daemon::claim_store::CompleteAnswer;
use cornelpoint_daemon::claim_store::RunningClaimStore;
use cornelpoint_daemon::platform_client::PlatformClient;
use cornelpoint_standin::platform::PlatformFaults;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(20);

fn platform() -> PlatformStandIn {
    PlatformStandIn::start(&PlatformSettings::default()).expect("a port should be free")
}

fn start_store(platform: &PlatformStandIn, name: &str) -> RunningClaimStore {
    let claimant = Claimant {
        instance: InstanceId::try_from(name).expect("the name should be valid"),
        incarnation: 1,
    };
    let client = PlatformClient::new(platform.address(), Duration::from_secs(2));
    RunningClaimStore::start(&ClaimStoreSettings::new(claimant, 1), client)
}

fn claim(store: &ClaimStore, key: &str, body: &[u8], timeout: Duration) -> ClaimDecision {
    let service = ServiceName::try_from("controller").expect("the name should be valid");
    let row_name = ClaimRowName::new(
        &service,
        &ClaimKey::try_from(key).expect("the key should be valid"),
    );
    let fingerprint = Fingerprint::new(Method::Post, &service, "/", body);
    store.claim(&row_name, fingerprint, Instant::now() + timeout)
}

fn granted(decision: ClaimDecision) -> HeldClaim {
    match decision {
        ClaimDecision::Granted(claim) => claim,
        other => panic!("expected a claim, found {other:?}"),
    }
}

fn permit(store: &ClaimStore, claim: HeldClaim) -> SendPermit {
    match store.begin_send(claim) {
        SendCheck::Send(permit) => permit,
        SendCheck::TooLate(claim) => panic!("expected a permit, found {claim:?}"),
    }
}

fn answer(length_bytes: usize) -> CompleteAnswer {
    CompleteAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; length_bytes],
    }
}

#[test]
fn a_repeat_at_another_gateway_waits_for_the_complete_first_answer() {
    let platform = platform();
    let first = start_store(&platform, "entry-1");
    let second = start_store(&platform, "entry-2");
    for (key, length_bytes) in [("small", 10), ("large", 1_000_000)] {
        let claim_one = granted(claim(&first.store(), key, b"on", CLAIM_TIMEOUT));
        let store = second.store();
        let repeat = thread::spawn(move || claim(&store, key, b"on", CLAIM_TIMEOUT));
        let permit = permit(&first.store(), claim_one);
        first.store().store_answer(permit, answer(length_bytes));
        let decision = repeat.join().expect("the claiming thread should not panic");
        assert_eq!(decision, ClaimDecision::Answered(answer(length_bytes)));
    }
}

#[test]
fn a_claim_is_read_back_when_the_table_service_loses_its_answers() {
    let platform = platform();
    platform.set_faults(PlatformFaults {
        lose_answer_percent: 100,
        ..PlatformFaults::default()
    });
    let store = start_store(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", CLAIM_TIMEOUT));
    drop(claim_one);
    let dump = store.store().dump().expect("the store should answer");
    assert_eq!((dump.granted, dump.lost_calls), (1, 1));
}

#[test]
fn claims_are_refused_as_not_run_during_an_outage_and_granted_after_it() {
    let platform = platform();
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let store = start_store(&platform, "entry-1");
    let decision = claim(&store.store(), "a", b"on", Duration::from_millis(300));
    let refused = ClaimDecision::Refused(Refusal::ClaimUnavailable);
    assert_eq!(decision, refused);
    platform.set_faults(PlatformFaults::default());
    granted(claim(&store.store(), "a", b"on", CLAIM_TIMEOUT));
}

#[test]
fn a_reused_key_with_another_body_is_refused_and_an_unresolved_claim_stays_unresolved() {
    let platform = platform();
    let store = start_store(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", CLAIM_TIMEOUT));
    let permit = permit(&store.store(), claim_one);
    let reused = claim(&store.store(), "a", b"off", CLAIM_TIMEOUT);
    assert_eq!(reused, ClaimDecision::Refused(Refusal::KeyReused));
    store.store().store_unresolved(permit);
    let repeat = claim(&store.store(), "a", b"on", CLAIM_TIMEOUT);
    assert_eq!(repeat, ClaimDecision::Refused(Refusal::ClaimUnresolved));
}

#[test]
fn stopping_the_store_writes_pending_answers_and_releases() {
    let platform = platform();
    let store = start_store(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", CLAIM_TIMEOUT));
    let permit = permit(&store.store(), claim_one);
    store.store().store_answer(permit, answer(100_000));
    let claim_two = granted(claim(&store.store(), "b", b"on", CLAIM_TIMEOUT));
    store.store().release(claim_two);
    store.stop(Instant::now() + CLAIM_TIMEOUT);
    let next = start_store(&platform, "entry-2");
    let repeat = claim(&next.store(), "a", b"on", CLAIM_TIMEOUT);
    assert_eq!(repeat, ClaimDecision::Answered(answer(100_000)));
    granted(claim(&next.store(), "b", b"on", CLAIM_TIMEOUT));
}
