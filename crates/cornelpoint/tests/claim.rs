//! Claims, step by step and under random schedules of faults.

mod claim_world;

use cornelpoint::claim::ClaimCleaner;
use cornelpoint::claim::ClaimKey;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoreCall;
use expect_test::expect;

use self::claim_world::ClaimScript;
use self::claim_world::FakeTable;
use self::claim_world::Mutant;
use self::claim_world::Told;
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
fn a_key_runs_at_most_once_and_every_refusal_is_true() {
    let mut counts = [0; 3];
    for (number, world) in run(Mutant::None).enumerate() {
        let faults = world.history.faults();
        assert_eq!(faults, Vec::<String>::new(), "schedule {number}");
        let history = &world.history;
        counts[0] += history.count(|t| matches!(t, Told::Answered { .. }));
        counts[1] += history.count(|t| t == Told::NotRun);
        counts[2] += history.count(|t| t == Told::Unknown);
    }
    println!("answered, not run, unknown: {counts:?}");
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn the_checker_finds_every_broken_gateway() {
    for mutant in [
        Mutant::SendsBeforeClaim,
        Mutant::TakesLostForGranted,
        Mutant::ReleasesAfterUnknown,
        Mutant::StoreIgnoresConditions,
    ] {
        let found = run(mutant).filter(|w| !w.history.faults().is_empty());
        let found = found.count();
        println!("{mutant:?}: found in {found} of {SCHEDULES} schedules");
        assert!(found > 0, "{mutant:?}");
    }
}

#[test]
fn a_conflict_on_one_key_does_not_hold_up_the_others() {
    let mut table = FakeTable::default();
    let mut first = ClaimScript::new("entry-1");
    first.claim(1, "a", "on");
    first.exchange(&mut table);
    let mut second = ClaimScript::new("entry-2");
    second.claim(2, "a", "on");
    second.claim(3, "b", "on");
    second.claim(4, "a", "off");
    second.claim(5, "c", "on");
    second.exchange(&mut table);
    expect![[r"
        2: held by entry-1, Claimed
        3: granted
        4: key reused
        5: granted"]]
    .assert_eq(&second.decided());
}

#[test]
fn one_gateway_grants_a_key_once_however_often_it_is_submitted() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    gateway.claim(2, "a", "on");
    gateway.exchange(&mut table);
    expect![[r"
        1: granted
        2: held by entry-1, Claimed"]]
    .assert_eq(&gateway.decided());
}

#[test]
fn a_released_key_is_claimed_again_and_a_settled_one_is_not() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    gateway.exchange(&mut table);
    let claim = gateway.granted.remove(0);
    gateway.batcher.release(claim, gateway.now_ms);
    gateway.exchange(&mut table);
    gateway.claim(2, "a", "on");
    gateway.exchange(&mut table);
    let SendCheck::Send(permit) = gateway.granted.remove(0).begin_send(gateway.now_ms) else {
        panic!("expected a permit before the deadline");
    };
    let now_ms = gateway.now_ms;
    gateway
        .batcher
        .settle(permit, Settlement::Unresolved, now_ms);
    gateway.pass(1000);
    gateway.exchange(&mut table);
    gateway.claim(3, "a", "on");
    gateway.exchange(&mut table);
    expect![[r"
        1: granted
        2: granted
        3: held by entry-1, Unresolved"]]
    .assert_eq(&gateway.decided());
}

/// The write of a refused claim arrives late: the release stands in its way.
#[test]
fn a_late_write_of_a_refused_claim_finds_the_release() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    let late = gateway.call();
    gateway.pass(2000);
    gateway.batcher.on_outcome_unknown(late.id, gateway.now_ms);
    gateway.pass(1000);
    gateway.exchange(&mut table);
    let StoreCall::Transact(transaction) = late.call else {
        panic!("expected a transaction");
    };
    table.transact(&transaction);
    gateway.claim(2, "a", "on");
    gateway.pass(1000);
    gateway.exchange(&mut table);
    expect![[r"
        1: unavailable
        2: granted"]]
    .assert_eq(&gateway.decided());
}

/// The same, when the rows were read back before the time was over.
#[test]
fn a_late_write_finds_the_release_after_a_read_back() {
    let mut table = FakeTable::default();
    let mut gateway = ClaimScript::new("entry-1");
    gateway.claim(1, "a", "on");
    let late = gateway.call();
    gateway.batcher.on_outcome_unknown(late.id, gateway.now_ms);
    gateway.pass(100);
    let read = gateway.call();
    let undecided = gateway.batcher.on_read(read.id, &[], gateway.now_ms);
    assert_eq!(undecided, Vec::new());
    gateway.pass(2000);
    gateway.exchange(&mut table);
    let StoreCall::Transact(transaction) = late.call else {
        panic!("expected a transaction");
    };
    table.transact(&transaction);
    gateway.claim(2, "a", "on");
    gateway.pass(1000);
    gateway.exchange(&mut table);
    expect![[r"
        1: unavailable
        2: granted"]]
    .assert_eq(&gateway.decided());
}

/// Claimed, paused for days, the table cleaned, the repeat granted: the first
/// gateway must not send any more.
#[test]
fn a_gateway_that_was_paused_past_the_deadline_does_not_send() {
    let mut table = FakeTable::default();
    let mut paused = ClaimScript::new("entry-1");
    paused.claim(1, "a", "on");
    paused.exchange(&mut table);
    let mut other = ClaimScript::new("entry-2");
    other.pass(5 * DAY_MS);
    let mut cleaner = ClaimCleaner::new();
    while let Some(scan) = cleaner.next_scan(other.now_ms) {
        let old = cleaner.on_rows(&table.scan(&scan), other.now_ms);
        old.map(|transaction| table.transact(&transaction));
        other.now_ms = cleaner.next_wake_ms().min(other.now_ms + 1000);
    }
    other.claim(2, "a", "on");
    other.exchange(&mut table);
    expect!["2: granted"].assert_eq(&other.decided());
    let claim = paused.granted.remove(0);
    let check = claim.begin_send(other.now_ms);
    assert!(matches!(check, SendCheck::TooLate(_)), "{check:?}");
}

#[test]
fn a_claim_is_seen_across_the_end_of_a_period_and_by_a_slow_clock() {
    for (claim_ms, repeat_ms) in [(DAY_MS - 1, DAY_MS), (DAY_MS, DAY_MS - 1)] {
        let mut table = FakeTable::default();
        let mut first = ClaimScript::new("entry-1");
        first.now_ms += claim_ms;
        first.claim(1, "a", "on");
        first.exchange(&mut table);
        let mut second = ClaimScript::new("entry-2");
        second.now_ms += repeat_ms;
        second.claim(2, "a", "on");
        second.exchange(&mut table);
        expect!["2: held by entry-1, Claimed"].assert_eq(&second.decided());
    }
}

/// 500 keyed requests a second over 9 gateways for 10 seconds, each settled
/// as unresolved 20 ms after its grant; calls take no time.
#[test]
fn batches_keep_the_writes_within_the_budget() {
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
            gateway.pass(10);
            gateway.exchange(&mut table);
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
        .map(|g| g.decided().matches("granted").count())
        .sum();
    println!(
        "{requests} claims, {granted} granted, {} transactions",
        table.commits
    );
    // 20 a second and gateway with a burst of 4, over 10 seconds.
    assert!(table.commits <= 9 * (20 * 10 + 4), "{}", table.commits);
    assert!(granted + 9 * 20 >= requests, "{granted} of {requests}");
}

#[test]
fn a_key_is_one_to_128_visible_characters() {
    let long = "x".repeat(129);
    let found = ["", "a b", "é", &long].map(|text| {
        let error = ClaimKey::try_from(text).expect_err("a bad key");
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
