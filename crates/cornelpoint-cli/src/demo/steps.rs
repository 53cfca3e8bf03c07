use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use cornelpoint_standin::clock::now_ms;
use cornelpoint_standin::platform::PlatformFaults;

use super::analysis;
use super::check::Check;
use super::demo_arguments::DemoArguments;
use super::outcome::Outcome;
use super::report::Report;
use super::traffic::Stream;
use super::traffic::Traffic;
use crate::fleet::Fleet;
use crate::fleet::FleetError;

/// Target time until a configuration is in force at all gateways, in seconds.
const IN_FORCE_TARGET_S: f64 = 2.0;
/// Longest wait until a configuration is in force at all gateways.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);
/// Target time after which a leaving endpoint gets no new work, in milliseconds.
const LEAVING_TARGET_MS: u64 = 2_000;
/// Longest wait for a drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// Least goodput of a surging service, in percent of its slot time.
const GOODPUT_TARGET_PERCENT: f64 = 99.0;
/// Mean demand of a service, in requests a second; it uses a quarter of the slots.
const MEAN_PER_S: f64 = 100.0;
/// Required peak demand of a surging service, as a multiple of its mean.
const SURGE_FACTOR: f64 = 5.0;
/// Divisor of the mean demand of the other services during a surge, also a requirement.
const OFF_PEAK_DIVISOR: f64 = 20.0;
/// Deadline of the demo's requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// Longest deadline that the demo's configuration allows, in milliseconds.
const MAX_DEADLINE_MS: u64 = 2_000;
/// Share of requests that are not idempotent, in percent.
const POST_PERCENT: u32 = 40;
/// Duration of one service's surge.
const SURGE_DURATION: Duration = Duration::from_millis(2_500);
/// Time in which a surge fills the slots, in milliseconds; excluded from the goodput.
const SURGE_RAMP_UP_MS: u64 = 1_000;
/// Duration of a period of steady traffic.
const STEADY_TRAFFIC: Duration = Duration::from_secs(3);
/// Time from the start of steady traffic to the action under test.
const ACTION_DELAY: Duration = Duration::from_millis(700);
/// Time in which the demo's load balancer notices a failed health check.
const BALANCER_DELAY: Duration = Duration::from_millis(200);

/// Runs all steps on a fleet, compares the results with the endpoints' runs and stops the fleet.
pub(super) fn run(mut fleet: Fleet, arguments: &DemoArguments, report: &mut Report) {
    let mut steps = Steps {
        traffic: Traffic::new(arguments.seed),
        report,
    };
    if let Err(error) = steps.run_all(&mut fleet) {
        steps.report.add(Check::failed("run every step", &error));
    }
    let outcomes = steps.traffic.finish();
    for check in analysis::compare_with_runs(&fleet, &outcomes) {
        report.add(check);
    }
    fleet.stop();
}

struct Steps<'a> {
    traffic: Traffic,
    report: &'a mut Report,
}

impl Steps<'_> {
    fn run_all(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let first = with_short_deadlines(&fleet.configuration);
        let generation = self.accept(fleet, &first)?;
        self.serve(fleet);
        self.surges(fleet);
        self.drain(fleet)?;
        let changed = with_longer_queue(&first, generation);
        let generation = self.change(fleet, &changed)?;
        self.outage(fleet, &changed, generation)?;
        self.planned_stop(fleet);
        Ok(())
    }

    fn accept(
        &mut self,
        fleet: &Fleet,
        configuration: &Configuration,
    ) -> Result<Generation, FleetError> {
        self.report.progress("an operator accepts the template");
        let generation = fleet.accept(configuration, "demo-first")?;
        let took = fleet.wait_applied(generation, IN_FORCE_LIMIT)?;
        self.report.add(Check::at_most(
            "first configuration in force everywhere",
            took.as_secs_f64(),
            IN_FORCE_TARGET_S,
            " s",
        ));
        fleet.wait_ready(IN_FORCE_LIMIT)?;
        Ok(generation)
    }

    fn serve(&mut self, fleet: &Fleet) {
        self.report.progress("all services serve steady traffic");
        let outcomes = self.run_steady_traffic(fleet, || ()).0;
        self.add_all_answered("steady traffic answered", &outcomes);
    }

    fn surges(&mut self, fleet: &Fleet) {
        let mut other_outcomes = Vec::new();
        let mut worst_percent = f64::INFINITY;
        for surging in 0..fleet.configuration.services.len() {
            let streams = streams(&fleet.configuration, |position| {
                if position == surging {
                    MEAN_PER_S * SURGE_FACTOR
                } else {
                    MEAN_PER_S / OFF_PEAK_DIVISOR
                }
            });
            let Some(stream) = streams.get(surging) else {
                return;
            };
            let service = stream.service.clone();
            self.report
                .progress(&format!("{service} surges to five times its mean"));
            let start_ms = now_ms();
            self.traffic
                .run(&streams, &fleet.gateways(), SURGE_DURATION);
            let end_ms = now_ms();
            thread::sleep(Duration::from_millis(DEADLINE_MS));
            let outcomes = self.outcomes_since(start_ms);
            let window_ms = start_ms + SURGE_RAMP_UP_MS..end_ms;
            let percent = analysis::goodput_percent(fleet, &outcomes, &service, &window_ms);
            worst_percent = worst_percent.min(percent);
            self.report.progress(&format!(
                "goodput {percent:.1}%: {}",
                analysis::summary(&outcomes)
            ));
            other_outcomes.extend(outcomes.into_iter().filter(|o| o.service != service));
        }
        self.report.add(Check::at_least(
            "lowest goodput in a surge, of slot time",
            worst_percent,
            GOODPUT_TARGET_PERCENT,
            "%",
        ));
        self.add_all_answered("other services answered meanwhile", &other_outcomes);
    }

    fn drain(&mut self, fleet: &Fleet) -> Result<(), FleetError> {
        let Some(instance) = first_endpoint(&fleet.configuration) else {
            return Ok(());
        };
        self.report
            .progress(&format!("{instance} is drained under load"));
        let (outcomes, drained) = self.run_steady_traffic(fleet, || -> Result<_, FleetError> {
            let drain_start_ms = now_ms();
            fleet.drain(&instance)?;
            let took = fleet.wait_drained(&instance, DRAIN_LIMIT)?;
            Ok((drain_start_ms, took))
        });
        let (drain_start_ms, took) = drained?;
        self.add_all_answered("traffic answered during the drain", &outcomes);
        let late = analysis::runs_after(fleet, &instance, drain_start_ms + LEAVING_TARGET_MS);
        self.report.add(Check::none(
            "new work at the draining endpoint after 2 s",
            late,
            outcomes.len(),
            "requests",
        ));
        self.report.add(Check::at_most(
            "drain confirmed by the endpoint's own zone",
            took.as_secs_f64(),
            DRAIN_LIMIT.as_secs_f64(),
            " s",
        ));
        fleet.undrain(&instance)?;
        let undrain_ms = now_ms();
        let outcomes = self.run_steady_traffic(fleet, || ()).0;
        self.add_all_answered("traffic answered after the undrain", &outcomes);
        let runs = analysis::runs_after(fleet, &instance, undrain_ms);
        self.report.add(Check::at_least(
            "requests at the endpoint after the undrain",
            to_f64(runs),
            1.0,
            "",
        ));
        Ok(())
    }

    fn change(&mut self, fleet: &Fleet, changed: &Configuration) -> Result<Generation, FleetError> {
        self.report
            .progress("an operator accepts a change in mid-run");
        let (outcomes, result) = self.run_steady_traffic(fleet, || -> Result<_, FleetError> {
            let generation = fleet.accept(changed, "demo-change")?;
            let took = fleet.wait_applied(generation, IN_FORCE_LIMIT)?;
            let stale_accept = fleet.accept(changed, "demo-late-operator");
            Ok((generation, took, stale_accept))
        });
        let (generation, took, stale_accept) = result?;
        self.add_all_answered("traffic answered during the change", &outcomes);
        self.report.add(Check::at_most(
            "changed configuration in force everywhere",
            took.as_secs_f64(),
            IN_FORCE_TARGET_S,
            " s",
        ));
        self.report.add(Check::none(
            "operators who overwrote a newer generation",
            usize::from(stale_accept.is_ok()),
            1,
            "operators",
        ));
        Ok(generation)
    }

    fn outage(
        &mut self,
        fleet: &Fleet,
        changed: &Configuration,
        generation: Generation,
    ) -> Result<(), FleetError> {
        self.report.progress("the platform is down");
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let (outcomes, accepted) = self.run_steady_traffic(fleet, || {
            fleet.platform.set_faults(down);
            let accepted = fleet.accept(&next_change(changed, generation), "demo-outage");
            thread::sleep(STEADY_TRAFFIC / 2);
            accepted
        });
        fleet.platform.set_faults(PlatformFaults::default());
        self.add_all_answered("traffic answered during the outage", &outcomes);
        self.report.add(Check::none(
            "accepts confirmed during the outage",
            usize::from(accepted.is_ok()),
            1,
            "accepts",
        ));
        let lowest = fleet.lowest_applied();
        self.report.add(Check::at_least(
            "generation in force after the outage",
            generation_to_f64(lowest),
            generation_to_f64(generation),
            "",
        ));
        let generation = fleet.accept(&next_change(changed, generation), "demo-after-outage")?;
        let took = fleet.wait_applied(generation, IN_FORCE_LIMIT)?;
        self.report.add(Check::at_most(
            "next configuration in force everywhere",
            took.as_secs_f64(),
            IN_FORCE_TARGET_S,
            " s",
        ));
        Ok(())
    }

    fn planned_stop(&mut self, fleet: &mut Fleet) {
        self.report
            .progress("an entry instance is stopped under load");
        let Some(mut entry) = fleet.entries.pop() else {
            return;
        };
        let mut all = fleet.gateways();
        all.extend(entry.caller_address());
        let start_ms = now_ms();
        let streams = streams(&fleet.configuration, |_| MEAN_PER_S);
        self.traffic.run(&streams, &all, ACTION_DELAY);
        let gateway = entry.gateway.take();
        let keeper = entry.keeper.take();
        let stopping = thread::spawn(move || {
            if let Some(gateway) = gateway {
                gateway.stop();
            }
            if let Some(keeper) = keeper {
                keeper.stop();
            }
        });
        self.traffic.run(&streams, &all, BALANCER_DELAY);
        self.traffic
            .run(&streams, &fleet.gateways(), STEADY_TRAFFIC);
        let _ = stopping.join();
        thread::sleep(Duration::from_millis(DEADLINE_MS));
        let outcomes = self.outcomes_since(start_ms);
        self.add_all_answered("traffic answered during a planned stop", &outcomes);
    }

    /// Runs steady traffic for [`STEADY_TRAFFIC`] with an action during it, and
    /// returns the outcomes and the result of the action.
    fn run_steady_traffic<A: Send>(
        &mut self,
        fleet: &Fleet,
        action: impl FnOnce() -> A + Send,
    ) -> (Vec<Outcome>, A) {
        let start_ms = now_ms();
        let streams = streams(&fleet.configuration, |_| MEAN_PER_S);
        let gateways: Vec<SocketAddr> = fleet.gateways();
        let traffic = &mut self.traffic;
        let action_result = thread::scope(|scope| {
            let action = scope.spawn(|| {
                thread::sleep(ACTION_DELAY);
                action()
            });
            traffic.run(&streams, &gateways, STEADY_TRAFFIC);
            action.join()
        });
        thread::sleep(Duration::from_millis(DEADLINE_MS));
        let outcomes = self.outcomes_since(start_ms);
        match action_result {
            Ok(action_result) => (outcomes, action_result),
            Err(panic) => std::panic::resume_unwind(panic),
        }
    }

    fn outcomes_since(&self, start_ms: u64) -> Vec<Outcome> {
        let mut outcomes = self.traffic.outcomes();
        outcomes.retain(|outcome| outcome.due_ms >= start_ms);
        outcomes
    }

    fn add_all_answered(&mut self, name: &'static str, outcomes: &[Outcome]) {
        let unanswered = outcomes.iter().filter(|o| !o.is_answered()).count();
        if let Some(outcome) = outcomes.iter().find(|o| !o.is_answered()) {
            self.report
                .progress(&format!("first request without an answer: {outcome:?}"));
        }
        self.report.add(Check {
            name,
            passed: unanswered == 0 && !outcomes.is_empty(),
            found: format!("{} of {}", outcomes.len() - unanswered, outcomes.len()),
            expected: "all".to_owned(),
        });
    }
}

fn streams(configuration: &Configuration, rate_per_s: impl Fn(usize) -> f64) -> Vec<Stream> {
    configuration
        .services
        .iter()
        .enumerate()
        .map(|(position, service)| Stream {
            service: service.name.clone(),
            rate_per_s: rate_per_s(position),
            deadline_ms: DEADLINE_MS,
            post_percent: POST_PERCENT,
        })
        .collect()
}

/// Limits the deadlines of a configuration to [`MAX_DEADLINE_MS`]: a drain is
/// confirmed only after every request that started before it must have ended.
fn with_short_deadlines(configuration: &Configuration) -> Configuration {
    let mut shortened = configuration.clone();
    for service in &mut shortened.services {
        service.max_deadline_ms = service.max_deadline_ms.min(MAX_DEADLINE_MS);
        service.deadline_ms = service.deadline_ms.min(MAX_DEADLINE_MS);
    }
    shortened
}

fn first_endpoint(configuration: &Configuration) -> Option<InstanceId> {
    let pool = configuration.pools.first()?;
    pool.endpoints
        .first()
        .map(|endpoint| endpoint.instance.clone())
}

/// Returns the configuration with the queue limit of its first service doubled.
fn with_longer_queue(configuration: &Configuration, generation: Generation) -> Configuration {
    let mut changed = configuration.clone();
    changed.generation = generation;
    if let Some(service) = changed.services.first_mut() {
        service.queue_limit *= 2;
    }
    changed
}

fn next_change(configuration: &Configuration, generation: Generation) -> Configuration {
    with_longer_queue(configuration, generation)
}

fn generation_to_f64(generation: Generation) -> f64 {
    u32::try_from(generation.0).map_or(f64::INFINITY, f64::from)
}

fn to_f64(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}
