//! Fleet manager: limits of maintenance waves, and moves between pools.

use std::collections::BTreeSet;

use cornelpoint::fleet::FleetAction;
use cornelpoint::fleet::FleetManager;
use cornelpoint::fleet::FleetSettings;
use cornelpoint::fleet::Machine;
use cornelpoint::fleet::MachineAnswer;
use cornelpoint::fleet::MachineState;
use cornelpoint::fleet::PoolReport;
use cornelpoint::fleet::WaveOrder;
use cornelpoint::job::Resources;

const SPARE: &str = "backoffice";

fn machine(name: &str, pool: &str, state: MachineState) -> Machine {
    Machine {
        name: name.to_owned(),
        pool: pool.to_owned(),
        state,
        zone: "a".to_owned(),
        labels: Vec::new(),
        capacity: Resources {
            cpu_millicores: 32_000,
            memory_mb: 131_072,
            accelerators: 0,
        },
        worker: Some(format!("worker-{name}")),
    }
}

fn spare_machines(count: usize) -> Vec<Machine> {
    (0..count)
        .map(|number| machine(&format!("m{number}"), SPARE, MachineState::Up))
        .collect()
}

fn manager(machines: Vec<Machine>) -> FleetManager {
    let mut manager = FleetManager::new(0, FleetSettings::default());
    manager.skip_takeover_delay();
    manager.set_spare_pool(Some(SPARE));
    manager.machines_listed(machines, 0);
    manager
}

fn wave(machines: usize, most_at_once: usize) -> WaveOrder {
    WaveOrder {
        number: 1,
        machines: (0..machines).map(|number| format!("m{number}")).collect(),
        duration_ms: 20_000,
        most_at_once,
    }
}

fn maintained(actions: &[FleetAction]) -> Vec<String> {
    let maintained = actions.iter().filter_map(|action| match action {
        FleetAction::Maintain { machine, .. } => Some(machine.clone()),
        _ => None,
    });
    maintained.collect()
}

#[test]
fn a_wave_never_exceeds_its_limit_of_machines_down() {
    let mut manager = manager(spare_machines(6));
    manager.wave_ordered(&wave(6, 2), &BTreeSet::new(), 0);
    let first = maintained(&manager.tick(0));
    assert_eq!(first.len(), 2);
    for machine in &first {
        manager.order_replied(machine, MachineAnswer::Done, 10);
    }
    assert!(maintained(&manager.tick(500)).is_empty());
    let mut listed = spare_machines(6);
    listed[0].state = MachineState::Maintenance;
    manager.machines_listed(listed, 2500);
    // One machine is up again, the other is still down.
    assert_eq!(maintained(&manager.tick(2600)).len(), 1);
}

/// Guards against a new owner that exceeds a wave's limit because it does not
/// count the machines that its predecessor took down.
#[test]
fn machines_taken_down_by_a_predecessor_count_towards_the_limit() {
    let mut listed = spare_machines(4);
    listed[0].state = MachineState::Maintenance;
    listed[1].state = MachineState::Maintenance;
    let mut manager = manager(listed);
    manager.wave_ordered(&wave(4, 2), &BTreeSet::new(), 0);
    assert!(maintained(&manager.tick(0)).is_empty());
}

#[test]
fn a_wave_completes_once_all_listed_machines_have_begun() {
    let mut manager = manager(spare_machines(2));
    manager.wave_ordered(&wave(3, 3), &BTreeSet::new(), 0);
    let first = maintained(&manager.tick(0));
    assert_eq!(first, ["m0", "m1"]);
    manager.order_replied("m0", MachineAnswer::Done, 10);
    let completed = |actions: &[FleetAction]| {
        actions.iter().any(|action| {
            matches!(
                action,
                FleetAction::Progress {
                    completed: true,
                    ..
                }
            )
        })
    };
    assert!(!completed(&manager.tick(20)));
    manager.order_replied("m1", MachineAnswer::Done, 30);
    assert!(completed(&manager.tick(40)));
}

/// The pages of a listing are read at different times, so a machine that stays
/// may be missing from one.
#[test]
fn a_machine_missing_from_one_listing_does_not_complete_its_wave() {
    let mut manager = manager(spare_machines(3));
    manager.wave_ordered(&wave(3, 2), &BTreeSet::new(), 0);
    let first = maintained(&manager.tick(0));
    assert_eq!(first, ["m0", "m1"]);
    for machine in &first {
        manager.order_replied(machine, MachineAnswer::Done, 10);
    }
    manager.machines_listed(spare_machines(2), 500);
    manager.tick(600);
    manager.machines_listed(spare_machines(3), 3000);
    assert_eq!(maintained(&manager.tick(3100)), ["m2"]);
}

/// A surge needs six machines more than the pool has; each spare machine is
/// ordered once.
#[test]
fn spare_machines_are_ordered_once_for_a_surge() {
    let mut manager = manager(spare_machines(8));
    let report = PoolReport {
        capacity_millicores: 64_000,
        backlog_core_ms: 200_000,
        refused_core_ms: 56_000,
        workers: 2,
        least_workers: 1,
        ..PoolReport::default()
    };
    manager.pool_reported("quoting", &report, 0);
    let moved = |actions: Vec<FleetAction>| {
        let moves = actions
            .into_iter()
            .filter(|action| matches!(action, FleetAction::Move { .. }));
        moves.count()
    };
    assert_eq!(moved(manager.tick(10)), 6);
    assert_eq!(moved(manager.tick(200)), 0);
}

/// In the first tenths of a second of a surge there is hardly any backlog, so
/// that machines have to be ordered by the rate of incoming work.
#[test]
fn machines_are_ordered_by_the_rate_of_incoming_work() {
    let mut manager = manager(spare_machines(8));
    let report = PoolReport {
        capacity_millicores: 64_000,
        backlog_core_ms: 10_000,
        offered_millicores: 256_000,
        workers: 2,
        least_workers: 1,
        ..PoolReport::default()
    };
    manager.pool_reported("quoting", &report, 0);
    let actions = manager.tick(10);
    let moves = actions
        .iter()
        .filter(|action| matches!(action, FleetAction::Move { .. }));
    assert_eq!(moves.count(), 6);
}

#[test]
fn a_fenced_manager_gives_no_more_orders() {
    let mut manager = manager(spare_machines(2));
    manager.wave_ordered(&wave(2, 1), &BTreeSet::new(), 0);
    let first = maintained(&manager.tick(0));
    manager.order_replied(&first[0], MachineAnswer::Fence, 10);
    assert!(manager.is_fenced());
    assert!(manager.tick(5000).is_empty());
}

/// Two surges overlap: the first pool has most of the machines and a backlog of
/// some seconds when the surge of the second pool begins. Guards against a
/// first pool that gives up no machines while it has a backlog.
#[test]
fn a_pool_with_a_backlog_gives_machines_to_a_pool_whose_surge_begins() {
    let named = |pool: &str, count: usize| {
        let names = (0..count).map(|number| format!("{pool}-{number}"));
        let machines = names.map(|name| machine(&name, pool, MachineState::Up));
        machines.collect::<Vec<_>>()
    };
    let mut machines = named("design", 25);
    machines.extend(named("quoting", 4));
    let mut manager = manager(machines);
    let report = |workers: u32, backlog_s: u64, pool: &str| PoolReport {
        capacity_millicores: u64::from(workers) * 32_000,
        backlog_core_ms: backlog_s * 32_000,
        workers,
        least_workers: 3,
        cheapest: (0..workers).map(|n| format!("worker-{pool}-{n}")).collect(),
        ..PoolReport::default()
    };
    manager.pool_reported("design", &report(25, 42, "design"), 0);
    manager.pool_reported("quoting", &report(4, 30, "quoting"), 0);
    manager.tick(10);
    let vacating = manager.to_vacate();
    assert!(vacating.len() >= 6, "{vacating:?}");
    assert!(
        vacating
            .iter()
            .all(|worker| worker.starts_with("worker-design"))
    );
}

/// Machines that have just arrived are listed before they are usable. Guards
/// against pools that request others in the meantime, which moved idle machines
/// in circles: 4,095 moves in one scenario.
#[test]
fn no_machine_is_requested_to_replace_one_that_is_not_usable_yet() {
    let mut machines = Vec::new();
    for pool in ["design", "quoting"] {
        let names = (0..10).map(|number| format!("{pool}-{number}"));
        machines.extend(names.map(|name| machine(&name, pool, MachineState::Up)));
    }
    let mut manager = manager(machines);
    let report = |workers: u32, pool: &str| PoolReport {
        capacity_millicores: u64::from(workers) * 32_000,
        workers,
        least_workers: 3,
        cheapest: (0..workers).map(|n| format!("worker-{pool}-{n}")).collect(),
        ..PoolReport::default()
    };
    manager.pool_reported("design", &report(10, "design"), 0);
    manager.pool_reported("quoting", &report(3, "quoting"), 0);
    manager.tick(10);
    assert_eq!(manager.to_vacate(), BTreeSet::new());
}

/// The surge of the first pool has passed and left jobs that are late, when the surge
/// of the second one begins. Guards against late work, which is worth little, that
/// keeps all machines of its pool.
#[test]
fn late_work_holds_no_machine_that_a_surge_needs() {
    let mut machines = Vec::new();
    for (pool, count) in [("compliance", 25), ("quoting", 3)] {
        let names = (0..count).map(|number| format!("{pool}-{number}"));
        machines.extend(names.map(|name| machine(&name, pool, MachineState::Up)));
    }
    let report = |workers: u32, pool: &str| PoolReport {
        capacity_millicores: u64::from(workers) * 32_000,
        workers,
        least_workers: 3,
        cheapest: (0..workers).map(|n| format!("worker-{pool}-{n}")).collect(),
        ..PoolReport::default()
    };
    let late = PoolReport {
        late_core_ms: 25 * 32_000 * 4,
        ..report(25, "compliance")
    };
    let surge = PoolReport {
        offered_millicores: 20 * 32_000,
        ..report(3, "quoting")
    };
    let mut manager = manager(machines);
    manager.pool_reported("compliance", &late, 0);
    manager.pool_reported("quoting", &report(3, "quoting"), 0);
    manager.tick(10);
    assert_eq!(manager.to_vacate(), BTreeSet::new(), "no surge");
    manager.pool_reported("quoting", &surge, 20);
    manager.tick(30);
    assert_eq!(manager.to_vacate().len(), 17);
}

#[test]
fn workers_are_due_until_the_maintenance_of_their_machines_begins() {
    let mut manager = manager(spare_machines(4));
    manager.wave_ordered(&wave(3, 2), &BTreeSet::new(), 0);
    let due = ["worker-m0", "worker-m1", "worker-m2"].map(str::to_owned);
    assert_eq!(manager.due_workers(), BTreeSet::from(due));
    let actions = manager.tick(10);
    for machine in maintained(&actions) {
        manager.order_replied(&machine, MachineAnswer::Done, 20);
    }
    assert_eq!(manager.due_workers().len(), 1);
}
