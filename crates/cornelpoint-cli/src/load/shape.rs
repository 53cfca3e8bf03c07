use clap::ValueEnum;
use serde::Serialize;

/// Demand at the peak, as a multiple of the mean.
const PEAK: f64 = 5.0;
/// Demand between peaks, as a multiple of the mean.
const TROUGH: f64 = 0.05;

/// How the demand for the services rises and falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// The mean all the time.
    Flat,
    /// One turn at the mean, one at five times, one at a twentieth, repeated;
    /// all services alike.
    Surge,
    /// Each service in its turn five times its mean, otherwise a twentieth.
    Turns,
}

impl Shape {
    /// Largest factor of any shape.
    pub const MAX_FACTOR: f64 = PEAK;

    /// The demand for a service in a turn, as a multiple of its mean.
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
                1 => PEAK,
                _ => TROUGH,
            },
            Self::Turns if turn % services.max(1) == service => PEAK,
            Self::Turns => TROUGH,
        }
    }
}
