//! Decisions of deployments that have neither tenants nor competing callers.

use cornelpoint::scheduler::SchedulerSettings;
use xxhash_rust::xxh3::xxh3_64;

use super::replay::Scenario;
use super::replay::replay;

/// Guards against a change of what is admitted, in which order it starts and when callers
/// retry, where the configuration has no tenants and the settings no `pressure`. The
/// digests were taken on revision dcf4faa, which has copies and slow workers, but not
/// admission as a type of its own.
#[test]
fn decisions_without_tenants_and_pressure_are_unchanged() {
    let digests = [1, 2].map(|seed| {
        let replayed = replay(&Scenario {
            seed,
            flooding: Some(0),
            has_tenants: false,
            settings: SchedulerSettings::default(),
        });
        let trace: Vec<u8> = replayed
            .trace
            .iter()
            .flat_map(|n| n.to_le_bytes())
            .collect();
        (replayed.trace.len(), xxh3_64(&trace))
    });
    let expected = [
        (13_782, 16_053_044_560_972_468_055),
        (13_495, 5_395_608_380_718_939_933),
    ];
    assert_eq!(digests, expected);
}
