use clap::ValueEnum;
use serde::Serialize;

/// Peak demand, as a multiple of the mean.
const PEAK_FACTOR: f64 = 5.0;
/// Demand between peaks, as a multiple of the mean.
const TROUGH_FACTOR: f64 = 0.05;

/// How the demand for the services changes over time, in turns of equal length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Constant demand at the mean.
    Flat,
    /// All services together: one turn at the mean, one at five times the mean,
    /// one at a twentieth of it, repeated.
    Surge,
    /// One service after the other: five times its mean in its own turn, a
    /// twentieth in all others.
    Turns,
}

impl Shape {
    /// Largest factor of all shapes.
    pub const MAX_FACTOR: f64 = PEAK_FACTOR;

    /// Returns the demand for a service in a turn, as a multiple of its mean.
    ///
    /// ```
    /// use cornelpoint_cli::load::Shape;
    ///
    /// assert!(Shape::Turns.factor(1, 1, 4) > Shape::Turns.factor(1, 0, 4));
    /// ```
    #[must_use]
    pub fn factor(self, turn: u64, service: u64, services: u64) -> f64 {
        match self {
            Self::Flat => 1.0,
            Self::Surge => match turn % 3 {
                0 => 1.0,
                1 => PEAK_FACTOR,
                _ => TROUGH_FACTOR,
            },
            Self::Turns if turn % services.max(1) == service => PEAK_FACTOR,
            Self::Turns => TROUGH_FACTOR,
        }
    }
}
