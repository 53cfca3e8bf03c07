use std::time::Duration;

use cornelpoint::request::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::load_arguments::LoadArguments;
use super::planned_request::PlannedRequest;
use super::shape::Shape;

/// Iterator over the requests of a load in the order in which they are due.
///
/// The requests of each service form a Poisson process whose rate follows the
/// shape. It is made by thinning: points are drawn at the highest rate, and each
/// is kept with the probability of the current rate over the highest.
///
/// ```
/// use clap::Parser;
/// use cornelpoint_cli::load::LoadArguments;
/// use cornelpoint_cli::load::Schedule;
///
/// #[derive(Parser)]
/// struct Line {
///     #[command(flatten)]
///     load: LoadArguments,
/// }
///
/// let words = ["load", "--gateway", "127.0.0.1:1", "--service", "quoting"];
/// let load = Line::parse_from(words).load;
/// let again = Schedule::new(&load).eq(Schedule::new(&load));
/// assert!(again);
/// ```
#[derive(Clone, Debug)]
pub struct Schedule<'a> {
    load: &'a LoadArguments,
    generator: ChaCha8Rng,
    time_s: f64,
    number: u64,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule of a load; the same arguments give the same schedule.
    #[must_use]
    pub fn new(load: &'a LoadArguments) -> Self {
        Self {
            load,
            generator: ChaCha8Rng::seed_from_u64(load.seed),
            time_s: 0.0,
            number: 0,
        }
    }

    /// Advances to the next point of the Poisson process at the highest rate.
    fn advance(&mut self) {
        let uniform: f64 = self.generator.random();
        let max_rate_per_s = f64::from(self.load.rate_per_s) * Shape::MAX_FACTOR;
        self.time_s += -(1.0 - uniform).ln() / max_rate_per_s;
    }

    /// Returns whether the current point is kept at the service's current rate.
    fn survives_thinning(&mut self, service: usize) -> bool {
        let turn = Duration::from_secs_f64(self.time_s).as_secs() / self.load.turn_s;
        let services = self.load.services.len() as u64;
        let factor = self.load.shape.factor(turn, service as u64, services);
        self.generator.random::<f64>() * Shape::MAX_FACTOR < factor
    }

    fn plan(&mut self, service: usize) -> PlannedRequest {
        self.number += 1;
        let number = self.number;
        let is_post = self.generator.random_range(0..100) < self.load.post_percent;
        let has_key = self.generator.random_range(0..100) < self.load.key_percent;
        let seed = self.load.seed;
        PlannedRequest {
            number,
            due: Duration::from_secs_f64(self.time_s),
            gateway: self.generator.random_range(0..self.load.gateways.len()),
            service: self.load.services[service].clone(),
            method: if is_post { Method::Post } else { Method::Get },
            key: (is_post && has_key).then(|| format!("load-{seed}-{number}")),
        }
    }
}

impl Iterator for Schedule<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        if self.load.rate_per_s == 0 {
            return None;
        }
        loop {
            self.advance();
            if self.time_s >= Duration::from_secs(self.load.duration_s).as_secs_f64() {
                return None;
            }
            let service = self.generator.random_range(0..self.load.services.len());
            if self.survives_thinning(service) {
                return Some(self.plan(service));
            }
        }
    }
}
