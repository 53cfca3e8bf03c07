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

/// Target for a configuration to be in force everywhere, in seconds.
const IN_FORCE_TARGET_S: f64 = 2.0;
/// Longest wait for it.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);
/// Time after which a leaving endpoint gets no new work, in milliseconds.
const LEAVING_TARGET_MS: u64 = 2_000;
/// Longest wait for a drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// Share of what the slots can do that a surge must still get, in percent.
const GOODPUT_TARGET_PERCENT: f64 = 99.0;
/// Mean demand of a service, in requests a second; a quarter of its slots.
const MEAN_PER_S: f64 = 100.0;
/// Demand of a service in its surge, over its mean (the brief).
const SURGE_FACTOR: f64 = 5.0;
/// Demand of the others meanwhile, under their mean (the brief).
const LULL_DIVISOR: f64 = 20.0;
/// Deadline of the demo's requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// Longest deadline that the demo's configuration allows, in milliseconds.
const MAX_DEADLINE_MS: u64 = 2_000;
/// Share of requests that are not idempotent, in percent.
const POST_PERCENT: u32 = 40;
/// Length of one service's surge.
const SURGE: Duration = Duration::from_millis(2_500);
/// Time in which a surge fills the slots, in milliseconds.
const SURGE_ONSET_MS: u64 = 1_000;
/// Length of a stretch of steady traffic.
const STRETCH: Duration = Duration::from_secs(3);
/// Time from the start of a stretch to what happens in it.
const LEAD: Duration = Duration::from_millis(700);
/// Time in which the demo's balancer notices a failed health check.
const BALANCER_LAG: Duration = Duration::from_millis(200);

/// Runs all steps on a fleet and stops it.
pub(super) fn run(mut fleet: Fleet, arguments: &DemoArguments, report: &mut Report) {
    let mut steps = Steps {
        traffic: Traffic::new(arguments.seed),
        report,
    };
    if let Err(error) = steps.run_all(&mut fleet) {
        steps.report.add(Check::failed("run every step", &error));
    }
    let outcomes = steps.traffic.finish();
    for check in analysis::histories(&fleet, &outcomes) {
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
        let first = shortened(&fleet.configuration);
        let generation = self.accept(fleet, &first)?;
        self.serve(fleet);
        self.surges(fleet);
        self.drain(fleet)?;
        let changed = changed(&first, generation);
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
        let outcomes = self.stretch(fleet, || ()).0;
        self.add_all_answered("steady traffic answered", &outcomes);
    }

    fn surges(&mut self, fleet: &Fleet) {
        let mut lulls = Vec::new();
        let mut worst_percent = f64::INFINITY;
        for surging in 0..fleet.configuration.services.len() {
            let streams = streams(&fleet.configuration, |position| {
                if position == surging {
                    MEAN_PER_S * SURGE_FACTOR
                } else {
                    MEAN_PER_S / LULL_DIVISOR
                }
            });
            let Some(stream) = streams.get(surging) else {
                return;
            };
            let service = stream.service.clone();
            self.report
                .progress(&format!("{service} surges to five times its mean"));
            let begin_ms = now_ms();
            self.traffic.run(&streams, &fleet.gateways(), SURGE);
            let end_ms = now_ms();
            thread::sleep(Duration::from_millis(DEADLINE_MS));
            let outcomes = self.since(begin_ms);
            let window_ms = begin_ms + SURGE_ONSET_MS..end_ms;
            let percent = analysis::goodput_percent(fleet, &outcomes, &service, &window_ms);
            worst_percent = worst_percent.min(percent);
            self.report.progress(&format!(
                "goodput {percent:.1}%: {}",
                analysis::summary(&outcomes)
            ));
            lulls.extend(outcomes.into_iter().filter(|o| o.service != service));
        }
        self.report.add(Check::at_least(
            "goodput in the worst surge, of the slots'",
            worst_percent,
            GOODPUT_TARGET_PERCENT,
            "%",
        ));
        self.add_all_answered("other services answered meanwhile", &lulls);
    }

    fn drain(&mut self, fleet: &Fleet) -> Result<(), FleetError> {
        let Some(instance) = first_endpoint(&fleet.configuration) else {
            return Ok(());
        };
        self.report
            .progress(&format!("{instance} is drained under load"));
        let (outcomes, drained) = self.stretch(fleet, || -> Result<_, FleetError> {
            let told_ms = now_ms();
            fleet.drain(&instance)?;
            let took = fleet.wait_drained(&instance, DRAIN_LIMIT)?;
            Ok((told_ms, took))
        });
        let (told_ms, took) = drained?;
        self.add_all_answered("traffic answered during the drain", &outcomes);
        let late = analysis::runs_after(fleet, &instance, told_ms + LEAVING_TARGET_MS);
        self.report.add(Check::none(
            "new work at the draining endpoint after 2 s",
            late,
            outcomes.len(),
            "requests",
        ));
        self.report.add(Check::at_most(
            "drain finished, by its own zone's word",
            took.as_secs_f64(),
            DRAIN_LIMIT.as_secs_f64(),
            " s",
        ));
        fleet.undrain(&instance)?;
        let back_ms = now_ms();
        let outcomes = self.stretch(fleet, || ()).0;
        self.add_all_answered("traffic answered after the return", &outcomes);
        let runs = analysis::runs_after(fleet, &instance, back_ms);
        self.report.add(Check::at_least(
            "requests at the endpoint after its return",
            count(runs),
            1.0,
            "",
        ));
        Ok(())
    }

    fn change(&mut self, fleet: &Fleet, changed: &Configuration) -> Result<Generation, FleetError> {
        self.report
            .progress("an operator accepts a change in mid-run");
        let (outcomes, result) = self.stretch(fleet, || -> Result<_, FleetError> {
            let generation = fleet.accept(changed, "demo-change")?;
            let took = fleet.wait_applied(generation, IN_FORCE_LIMIT)?;
            let raced = fleet.accept(changed, "demo-late-operator");
            Ok((generation, took, raced))
        });
        let (generation, took, raced) = result?;
        self.add_all_answered("traffic answered during the change", &outcomes);
        self.report.add(Check::at_most(
            "changed configuration in force everywhere",
            took.as_secs_f64(),
            IN_FORCE_TARGET_S,
            " s",
        ));
        self.report.add(Check::none(
            "operators who overwrote it from an old view",
            usize::from(raced.is_ok()),
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
        let (outcomes, accepted) = self.stretch(fleet, || {
            fleet.platform.set_faults(down);
            let accepted = fleet.accept(&next(changed, generation), "demo-outage");
            thread::sleep(STRETCH / 2);
            accepted
        });
        fleet.platform.set_faults(PlatformFaults::default());
        self.add_all_answered("traffic answered during the outage", &outcomes);
        self.report.add(Check::none(
            "accepts taken that could not be kept",
            usize::from(accepted.is_ok()),
            1,
            "accepts",
        ));
        let lowest = fleet.lowest_applied();
        self.report.add(Check::at_least(
            "generation in force after the outage",
            generation_figure(lowest),
            generation_figure(generation),
            "",
        ));
        let generation = fleet.accept(&next(changed, generation), "demo-after-outage")?;
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
        let begin_ms = now_ms();
        let streams = streams(&fleet.configuration, |_| MEAN_PER_S);
        self.traffic.run(&streams, &all, LEAD);
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
        self.traffic.run(&streams, &all, BALANCER_LAG);
        self.traffic.run(&streams, &fleet.gateways(), STRETCH);
        let _ = stopping.join();
        thread::sleep(Duration::from_millis(DEADLINE_MS));
        let outcomes = self.since(begin_ms);
        self.add_all_answered("traffic answered during a planned stop", &outcomes);
    }

    /// Steady traffic for a while, with something happening in it.
    fn stretch<A: Send>(
        &mut self,
        fleet: &Fleet,
        happening: impl FnOnce() -> A + Send,
    ) -> (Vec<Outcome>, A) {
        let begin_ms = now_ms();
        let streams = streams(&fleet.configuration, |_| MEAN_PER_S);
        let gateways: Vec<SocketAddr> = fleet.gateways();
        let traffic = &mut self.traffic;
        let happened = thread::scope(|scope| {
            let happening = scope.spawn(|| {
                thread::sleep(LEAD);
                happening()
            });
            traffic.run(&streams, &gateways, STRETCH);
            happening.join()
        });
        thread::sleep(Duration::from_millis(DEADLINE_MS));
        let outcomes = self.since(begin_ms);
        match happened {
            Ok(happened) => (outcomes, happened),
            Err(panic) => std::panic::resume_unwind(panic),
        }
    }

    fn since(&self, begin_ms: u64) -> Vec<Outcome> {
        let mut outcomes = self.traffic.outcomes();
        outcomes.retain(|outcome| outcome.due_ms >= begin_ms);
        outcomes
    }

    fn add_all_answered(&mut self, name: &'static str, outcomes: &[Outcome]) {
        let unanswered = outcomes.iter().filter(|o| !o.is_answered()).count();
        if let Some(outcome) = outcomes.iter().find(|o| !o.is_answered()) {
            self.report
                .progress(&format!("first without an answer: {outcome:?}"));
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

/// The deployment's configuration with shorter longest deadlines: a drain is
/// vouched for only when a request started before it must be over.
fn shortened(configuration: &Configuration) -> Configuration {
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

/// The configuration with a longer queue for its first service.
fn changed(configuration: &Configuration, generation: Generation) -> Configuration {
    let mut changed = configuration.clone();
    changed.generation = generation;
    if let Some(service) = changed.services.first_mut() {
        service.queue_limit *= 2;
    }
    changed
}

fn next(configuration: &Configuration, generation: Generation) -> Configuration {
    changed(configuration, generation)
}

fn generation_figure(generation: Generation) -> f64 {
    u32::try_from(generation.0).map_or(f64::INFINITY, f64::from)
}

fn count(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}
