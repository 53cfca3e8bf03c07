//! Claims carried to the platform stand-in, with its faults.

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

const PATIENCE: Duration = Duration::from_secs(20);

fn platform() -> PlatformStandIn {
    PlatformStandIn::start(&PlatformSettings::default()).expect("a free port")
}

fn start(platform: &PlatformStandIn, name: &str) -> RunningClaimStore {
    let claimant = Claimant {
        instance: InstanceId::try_from(name).expect("a name"),
        incarnation: 1,
    };
    let client = PlatformClient::new(platform.address(), Duration::from_secs(2));
    RunningClaimStore::start(&ClaimStoreSettings::new(claimant, 1), client)
}

fn claim(store: &ClaimStore, key: &str, body: &[u8], patience: Duration) -> ClaimDecision {
    let service = ServiceName::try_from("controller").expect("a name");
    let place = ClaimRowName::new(&service, &ClaimKey::try_from(key).expect("a key"));
    let fingerprint = Fingerprint::new(Method::Post, &service, "/", body);
    store.claim(&place, fingerprint, Instant::now() + patience)
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
fn a_repeat_at_another_gateway_waits_for_the_whole_first_answer() {
    let platform = platform();
    let first = start(&platform, "entry-1");
    let second = start(&platform, "entry-2");
    for (key, length_bytes) in [("small", 10), ("large", 1_000_000)] {
        let claim_one = granted(claim(&first.store(), key, b"on", PATIENCE));
        let store = second.store();
        let repeat = thread::spawn(move || claim(&store, key, b"on", PATIENCE));
        let permit = permit(&first.store(), claim_one);
        first.store().store_answer(permit, answer(length_bytes));
        let decision = repeat.join().expect("a decision");
        assert_eq!(decision, ClaimDecision::Answered(answer(length_bytes)));
    }
}

#[test]
fn a_claim_whose_store_answers_are_lost_is_read_back() {
    let platform = platform();
    platform.set_faults(PlatformFaults {
        lose_answer_percent: 100,
        ..PlatformFaults::default()
    });
    let store = start(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", PATIENCE));
    drop(claim_one);
    let dump = store.store().dump().expect("a dump");
    assert_eq!((dump.granted, dump.lost_calls), (1, 1));
}

#[test]
fn an_outage_refuses_as_not_run_and_ends() {
    let platform = platform();
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let store = start(&platform, "entry-1");
    let decision = claim(&store.store(), "a", b"on", Duration::from_millis(300));
    let refused = ClaimDecision::Refused(Refusal::ClaimUnavailable);
    assert_eq!(decision, refused);
    platform.set_faults(PlatformFaults::default());
    granted(claim(&store.store(), "a", b"on", PATIENCE));
}

#[test]
fn a_key_with_another_body_is_an_error_and_an_open_one_stays_unknown() {
    let platform = platform();
    let store = start(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", PATIENCE));
    let permit = permit(&store.store(), claim_one);
    let reused = claim(&store.store(), "a", b"off", PATIENCE);
    assert_eq!(reused, ClaimDecision::Refused(Refusal::KeyReused));
    store.store().store_unresolved(permit);
    let repeat = claim(&store.store(), "a", b"on", PATIENCE);
    assert_eq!(repeat, ClaimDecision::Refused(Refusal::ClaimUnresolved));
}

#[test]
fn a_stop_writes_what_is_left() {
    let platform = platform();
    let store = start(&platform, "entry-1");
    let claim_one = granted(claim(&store.store(), "a", b"on", PATIENCE));
    let permit = permit(&store.store(), claim_one);
    store.store().store_answer(permit, answer(100_000));
    let claim_two = granted(claim(&store.store(), "b", b"on", PATIENCE));
    store.store().release(claim_two);
    store.stop(Instant::now() + PATIENCE);
    let next = start(&platform, "entry-2");
    let repeat = claim(&next.store(), "a", b"on", PATIENCE);
    assert_eq!(repeat, ClaimDecision::Answered(answer(100_000)));
    granted(claim(&next.store(), "b", b"on", PATIENCE));
}
