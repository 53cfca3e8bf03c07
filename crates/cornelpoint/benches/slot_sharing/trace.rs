//! Seeded arrivals: a surge that moves from pool to pool, or a steady load.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::Fleet;
use super::fleet::POOLS;
use super::fleet::SLOTS;

pub const DURATION_MS: u64 = 20_000;
pub const MAX_DEADLINE_MS: u64 = 2_000;

const SURGE_MS: u64 = DURATION_MS / POOLS as u64;
const MEDIAN_SERVICE_MS: f64 = 45.0;
const SERVICE_SIGMA: f64 = 0.5;
const MIN_SERVICE_MS: f64 = 5.0;
const MAX_SERVICE_MS: f64 = 400.0;
const HEAVY_FACTOR: f64 = 3.0;
/// Mean load of a pool as a fraction of the capacity of its slots.
const MEAN_LOAD: f64 = 0.3;
const SURGE_FACTOR: f64 = 5.0;
const OUTSIDE_SURGE_FACTOR: f64 = 0.05;

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub gateway: usize,
    pub pool: usize,
    pub service_ms: u64,
    pub deadline_ms: u64,
}

/// Shape of the load over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Each pool in turn has five times its mean load, and a twentieth of it at
    /// other times.
    Surge,
    /// All pools have this fraction of the capacity of their slots.
    Steady(f64),
}

/// One load to replay.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub shape: Shape,
    /// Whether the first gateway has three times the load of any other.
    pub heavy_gateway: bool,
}

/// Generates the arrivals of one load from a seed.
pub fn generate(fleet: &Fleet, load: Load, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at_ms in 0..DURATION_MS {
        for pool in 0..POOLS {
            for _ in 0..poisson(&mut random, rate_per_ms(load.shape, pool, at_ms)) {
                arrivals.push(arrival(&mut random, fleet, load, at_ms, pool));
            }
        }
    }
    arrivals
}

/// Returns whether a pool has neither a surge nor a backlog left from one.
pub fn is_outside_surge(pool: usize, at_ms: u64) -> bool {
    !has_surge(pool, at_ms) && !has_surge(pool, at_ms.saturating_sub(MAX_DEADLINE_MS))
}

fn has_surge(pool: usize, at_ms: u64) -> bool {
    (at_ms / SURGE_MS) as usize == pool
}

fn rate_per_ms(shape: Shape, pool: usize, at_ms: u64) -> f64 {
    let mean_service_ms = MEDIAN_SERVICE_MS * (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
    let slots = (ENDPOINTS_PER_POOL as f64) * f64::from(SLOTS);
    let capacity_per_ms = slots / mean_service_ms;
    let load = match shape {
        Shape::Steady(load) => load,
        Shape::Surge if has_surge(pool, at_ms) => MEAN_LOAD * SURGE_FACTOR,
        Shape::Surge => MEAN_LOAD * OUTSIDE_SURGE_FACTOR,
    };
    capacity_per_ms * load
}

fn arrival(random: &mut ChaCha8Rng, fleet: &Fleet, load: Load, at_ms: u64, pool: usize) -> Arrival {
    let heavy = if load.heavy_gateway {
        HEAVY_FACTOR
    } else {
        1.0
    };
    let draw = random.random::<f64>() * (fleet.gateways as f64 - 1.0 + heavy);
    let gateway = if draw < heavy {
        0
    } else {
        (1 + (draw - heavy) as usize).min(fleet.gateways - 1)
    };
    let service_ms = (MEDIAN_SERVICE_MS * (SERVICE_SIGMA * normal(random)).exp())
        .clamp(MIN_SERVICE_MS, MAX_SERVICE_MS);
    Arrival {
        at_ms,
        gateway,
        pool,
        service_ms: service_ms.round() as u64,
        deadline_ms: at_ms + random.random_range(500..=MAX_DEADLINE_MS),
    }
}

fn poisson(random: &mut ChaCha8Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.random::<f64>();
    let mut count = 0;
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * random.random::<f64>();
    radius * angle.cos()
}
