use std::f64::consts::TAU;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// Upper limit of a service time drawn from a distribution.
const MAX_SERVICE_TIME_MS: f64 = 60_000.0;

/// How long a request takes to run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// The same time for each request.
    Fixed {
        /// Service time of a request.
        work_ms: u64,
    },
    /// A time drawn from a log-normal distribution.
    LogNormal {
        /// Median of the service time.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    pub(super) fn draw_ms(self, random: &mut ChaCha8Rng) -> u64 {
        match self {
            Self::Fixed { work_ms } => work_ms,
            Self::LogNormal { median_ms, sigma } => {
                rounded(median_ms * (sigma * draw_normal(random)).exp())
            }
        }
    }
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn draw_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let angle = TAU * random.random::<f64>();
    radius * angle.cos()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a range that fits"
)]
fn rounded(time_ms: f64) -> u64 {
    time_ms.clamp(0.0, MAX_SERVICE_TIME_MS).round() as u64
}
