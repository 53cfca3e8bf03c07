//! Contents of fault plans, and that the driver clears all faults at the end.

use std::sync::Arc;

use cornelpoint::name::InstanceId;
use cornelpoint_standin::endpoint::EndpointSettings;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::fault_plan::FaultDriver;
use cornelpoint_standin::fault_plan::FaultKind;
use cornelpoint_standin::fault_plan::FaultPlan;
use cornelpoint_standin::fault_plan::PlanScope;
use cornelpoint_standin::fault_plan::Targets;
use cornelpoint_standin::history::Recorder;
use cornelpoint_standin::platform::PlatformFaults;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;

fn scope(duration_ms: u64) -> PlanScope<'static> {
    PlanScope {
        kinds: &FaultKind::ALL,
        endpoints: 1,
        relays: 0,
        duration_ms,
    }
}

#[test]
fn plans_differ_by_seed_and_end_in_time() {
    let plans: Vec<_> = (1..=20)
        .map(|seed| FaultPlan::from_seed(seed, scope(10_000)))
        .collect();
    assert!(plans.windows(2).all(|pair| pair[0] != pair[1]));
    for plan in &plans {
        assert!(plan.faults.is_sorted_by_key(|fault| fault.at_ms));
        assert!(plan.faults.iter().all(|fault| fault.at_ms <= 10_000));
        assert!(plan.faults.len() >= 20);
    }
}

#[test]
fn driver_clears_all_faults_at_the_end() {
    let instance = InstanceId::try_from("quoting-1").unwrap();
    let targets = Arc::new(Targets {
        endpoints: vec![EndpointStandIn::start(EndpointSettings::new(instance)).unwrap()],
        platform: Some(PlatformStandIn::start(&PlatformSettings::default()).unwrap()),
        ..Targets::default()
    });
    let plan = FaultPlan::from_seed(1, scope(300));
    FaultDriver::start(plan, Arc::clone(&targets), Arc::new(Recorder::default())).wait();
    let platform = targets.platform.as_ref().unwrap();
    assert_eq!(platform.dump().faults, PlatformFaults::default());
    assert!(!targets.endpoints[0].dump().leaving);
}
