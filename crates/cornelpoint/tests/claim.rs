//! Claims on idempotency keys, in scripted steps and under random schedules of
//! faults.

mod claim_world;

use cornelpoint::claim::ClaimCleaner;
use cornelpoint::claim::ClaimKey;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoreCall;
use expect_test::expect;

use self::claim_world::CallerResult;
use self::claim_world::ClaimScript;
use self::claim_world::FakeTable;
use self::claim_world::Mutant;
use self::claim_world::World;

const SCHEDULES: u64 = 200;
const DAY_MS: u64 = 86_400_000;

fn first_seed() -> u64 {
    let seed = std::env::var("CORNELPOINT_SEED").ok();
    seed.and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn run(mutant: Mutant) -> impl Iterator<Item = World> {
    let first = first_seed() * SCHEDULES;
    (first..first + SCHEDULES).map(move |seed| World::new(seed, mutant).run())
}

#[test]
fn a_key_runs_at_most_once_and_callers_get_true_results() {
    let mut counts = [0; 3];
    for (number, world) in run(Mutant::None).enumerate() {
        let violations = world.history.violations();
        assert_eq!(violations, Vec::<String>::new(), "schedule {number}");
        let history = &world.history;
        counts[0] += history.count(|result| matches!(result, CallerResult::Answered { .. }));
        counts[1] += history.count(|result| result == CallerResult::NotRun);
        counts[2] += history.count(|result| result == CallerResult::Unknown);
    }
    println!("answered, not run, unknown: {counts:?}");
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn the_checks_detect_every_mutant() {
    for mutant in [
        Mutant::SendsBeforeClaim,
        Mutant::TreatsLostAsCommitted,
        Mutant::ReleasesAfterUnknown,
        Mutant::StoreIgnoresConditions,
    ] {
        let found = run(mutant).filter(|w| !w.history.violations().is_empty());
        let found = found.count();
        println!("{mutant:?}: found in {found} of {SCHEDULES} schedules");
        assert!(found > 0, "{mutant:?}");
    }
}

#[test]
fn a_conflict_on_one_key_does_not_delay_the_others() {
    let mut table = FakeTable::default();
    let mut first = ClaimScript::new("entry-1");
    first.claim(1, "a", "on");
    first.run_calls(&mut table);
    let mut second = ClaimScript::new("entry-2");
    second.claim(2, "a", "on");
    second.claim(3, "b", "on");
    second.claim(4, "a", "off");
    second.claim(5, "c", "on");
    second.run_calls(&mut table);
    expect![[r"
        2: held by entry-1, Claimed
        3: granted
        4: key reused
        5: granted"]]
    .assert_eq(&second.take_decisions());
}

#[test]
fn a_key_that_is_submitted_twice_is_granted_once() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    gateway.claim(2, "a", "on");
    gateway.run_calls(&mut table);
    expect![[r"
        1: granted
        2: held by entry-1, Claimed"]]
    .assert_eq(&gateway.take_decisions());
}

#[test]
fn a_released_key_can_be_claimed_again_but_a_settled_one_cannot() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    gateway.run_calls(&mut table);
    let claim = gateway.granted.remove(0);
    gateway.batcher.release(claim, gateway.now_ms);
    gateway.run_calls(&mut table);
    gateway.claim(2, "a", "on");
    gateway.run_calls(&mut table);
    let SendCheck::Send(permit) = gateway.granted.remove(0).begin_send(gateway.now_ms) else {
        panic!("expected a permit before the deadline");
    };
    let now_ms = gateway.now_ms;
    gateway
        .batcher
        .settle(permit, Settlement::Unresolved, now_ms);
    gateway.advance(1000);
    gateway.run_calls(&mut table);
    gateway.claim(3, "a", "on");
    gateway.run_calls(&mut table);
    expect![[r"
        1: granted
        2: granted
        3: held by entry-1, Unresolved"]]
    .assert_eq(&gateway.take_decisions());
}

/// The store receives the write of a rejected claim only after the claim's
/// release. If the write took effect, the key would stay claimed.
#[test]
fn a_delayed_write_of_a_rejected_claim_conflicts_with_its_release() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    let delayed = gateway.call();
    gateway.advance(2000);
    gateway
        .batcher
        .on_outcome_unknown(delayed.id, gateway.now_ms);
    gateway.advance(1000);
    gateway.run_calls(&mut table);
    let StoreCall::Transact(transaction) = delayed.call else {
        panic!("expected a transaction");
    };
    table.transact(&transaction);
    gateway.claim(2, "a", "on");
    gateway.advance(1000);
    gateway.run_calls(&mut table);
    expect![[r"
        1: unavailable
        2: granted"]]
    .assert_eq(&gateway.take_decisions());
}

/// As above, but the row is read back before the claim expires.
#[test]
fn a_delayed_write_conflicts_with_the_release_after_a_read_back() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    let delayed = gateway.call();
    gateway
        .batcher
        .on_outcome_unknown(delayed.id, gateway.now_ms);
    gateway.advance(100);
    let read = gateway.call();
    let undecided = gateway.batcher.on_read(read.id, &[], gateway.now_ms);
    assert_eq!(undecided, Vec::new());
    gateway.advance(2000);
    gateway.run_calls(&mut table);
    let StoreCall::Transact(transaction) = delayed.call else {
        panic!("expected a transaction");
    };
    table.transact(&transaction);
    gateway.claim(2, "a", "on");
    gateway.advance(1000);
    gateway.run_calls(&mut table);
    expect![[r"
        1: unavailable
        2: granted"]]
    .assert_eq(&gateway.take_decisions());
}

/// A gateway is paused for days after its claim is granted. Meanwhile the
/// claim's row is removed and a repeat is granted at another gateway, so the
/// first one must not send any more.
#[test]
fn a_gateway_paused_past_the_deadline_does_not_send() {
    let mut table = FakeTable::default();
    let mut paused = ClaimScript::new("entry-1");
    paused.claim(1, "a", "on");
    paused.run_calls(&mut table);
    let mut other = ClaimScript::new("entry-2");
    other.advance(5 * DAY_MS);
    let mut cleaner = ClaimCleaner::new();
    while let Some(scan) = cleaner.next_scan(other.now_ms) {
        let old = cleaner.on_rows(&table.scan(&scan), other.now_ms);
        old.map(|transaction| table.transact(&transaction));
        other.now_ms = cleaner.next_wake_ms().min(other.now_ms + 1000);
    }
    other.claim(2, "a", "on");
    other.run_calls(&mut table);
    expect!["2: granted"].assert_eq(&other.take_decisions());
    let claim = paused.granted.remove(0);
    let check = claim.begin_send(other.now_ms);
    assert!(matches!(check, SendCheck::TooLate(_)), "{check:?}");
}

#[test]
fn a_claim_is_visible_across_a_period_boundary_and_to_a_slow_clock() {
    for (claim_ms, repeat_ms) in [(DAY_MS - 1, DAY_MS), (DAY_MS, DAY_MS - 1)] {
        let mut table = FakeTable::default();
        let mut first = ClaimScript::new("entry-1");
        first.now_ms += claim_ms;
        first.claim(1, "a", "on");
        first.run_calls(&mut table);
        let mut second = ClaimScript::new("entry-2");
        second.now_ms += repeat_ms;
        second.claim(2, "a", "on");
        second.run_calls(&mut table);
        expect!["2: held by entry-1, Claimed"].assert_eq(&second.take_decisions());
    }
}

/// 9 gateways get 500 requests with a key a second in total, for 10 seconds.
/// Every 20 ms, the granted ones are settled as unresolved; store calls take no
/// time.
#[test]
fn transactions_stay_within_the_rate_limit() {
    let mut table = FakeTable::default();
    let mut gateways: Vec<ClaimScript> = (1..=9)
        .map(|number| ClaimScript::new(&format!("entry-{number}")))
        .collect();
    let mut requests = 0;
    for step in 0..1000 {
        for _ in 0..5 {
            let gateway = &mut gateways[requests % 9];
            gateway.claim(requests as u64, &format!("k{requests}"), "on");
            requests += 1;
        }
        for gateway in &mut gateways {
            gateway.advance(10);
            gateway.run_calls(&mut table);
            if step % 2 == 0 {
                continue;
            }
            for claim in std::mem::take(&mut gateway.granted) {
                if let SendCheck::Send(permit) = claim.begin_send(gateway.now_ms) {
                    let now_ms = gateway.now_ms;
                    gateway
                        .batcher
                        .settle(permit, Settlement::Unresolved, now_ms);
                }
            }
        }
    }
    let granted: usize = gateways
        .iter_mut()
        .map(|g| g.take_decisions().matches("granted").count())
        .sum();
    println!(
        "{requests} claims, {granted} granted, {} transactions",
        table.commits
    );
    // Each gateway may send 20 transactions a second and a burst of 4, for 10
    // seconds.
    assert!(table.commits <= 9 * (20 * 10 + 4), "{}", table.commits);
    assert!(granted + 9 * 20 >= requests, "{granted} of {requests}");
}

#[test]
fn a_key_has_1_to_128_visible_ascii_characters() {
    let long = "x".repeat(129);
    let found = ["", "a b", "é", &long].map(|text| {
        let error = ClaimKey::try_from(text).expect_err("the key is invalid");
        error.to_string()
    });
    expect![[r"
        expected a key, found an empty text
        expected visible ASCII characters, found ` `
        expected visible ASCII characters, found `\u{e9}`
        expected a key of at most 128 bytes, found 129"]]
    .assert_eq(&found.join("\n"));
    assert!(ClaimKey::try_from(&long[1..]).is_ok());
}
