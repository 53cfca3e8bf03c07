/// Length of a period, in milliseconds.
const PERIOD_MS: u64 = 24 * 60 * 60 * 1000;
/// Periods that a claim checks: the previous, the current and the next one.
pub(super) const WINDOW_PERIODS: usize = 3;
/// Age from which a period's table may be removed, in periods.
const REMOVAL_AGE_PERIODS: u64 = 3;
/// Periods that the cleaner checks, from the newest removable one back.
pub(super) const REMOVAL_LOOKBACK_PERIODS: u64 = 7;

/// A day of claims, which has its own table.
///
/// A claim is written to the current period's table, on condition that the
/// tables of the previous and the next period hold no row of the same name
/// either. A claim is therefore visible for at least one whole period to all
/// gateways whose clocks differ by less than a period. Old claims are removed
/// table by table, without reading recent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period(u64);

impl Period {
    /// Returns the period of a time in milliseconds since the Unix epoch.
    ///
    /// ```
    /// use cornelpoint::claim::Period;
    ///
    /// assert_eq!(Period::at(86_400_000 * 5).table(), "claims-5");
    /// ```
    #[must_use]
    pub fn at(now_ms: u64) -> Self {
        Self(now_ms / PERIOD_MS)
    }

    /// Returns the name of the period's table.
    #[must_use]
    pub fn table(self) -> String {
        format!("claims-{}", self.0)
    }

    /// Returns the previous, this and the next period, whose tables may hold a
    /// claim.
    #[must_use]
    pub fn window(self) -> [Self; WINDOW_PERIODS] {
        [Self(self.0.saturating_sub(1)), self, Self(self.0 + 1)]
    }

    /// Returns the newest period whose table may be removed, or the period that
    /// is `periods_back` older; `None` if it would be before the epoch.
    #[must_use]
    pub fn removable(self, periods_back: u64) -> Option<Self> {
        self.0
            .checked_sub(REMOVAL_AGE_PERIODS + periods_back)
            .map(Self)
    }
}
