/// Length of a period, in milliseconds.
const PERIOD_MS: u64 = 24 * 60 * 60 * 1000;
/// Periods that a claim looks at: the one before, the current one, the next.
pub(super) const WINDOW: usize = 3;
/// Age from which a period's table is removed, in periods.
const REMOVAL_AGE: u64 = 3;
/// Older periods whose tables are looked at as well.
pub(super) const REMOVAL_LOOKBACK: u64 = 7;

/// One day of claims, which have a table of their own.
///
/// A claim is written into the current period's table, on condition that the
/// tables of the period before and of the next hold no such row either. So a
/// claim is seen for at least one whole period, by gateways whose clocks
/// differ by less than one, and old claims are removed table by table,
/// without reading young ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period(u64);

impl Period {
    /// The period at a time, in milliseconds since the Unix epoch.
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

    /// Name of the period's table.
    #[must_use]
    pub fn table(self) -> String {
        format!("claims-{}", self.0)
    }

    /// The periods in which a claim may stand.
    #[must_use]
    pub fn window(self) -> [Self; WINDOW] {
        [Self(self.0.saturating_sub(1)), self, Self(self.0 + 1)]
    }

    /// The newest period whose table may be removed, or one `older` by so
    /// many periods.
    #[must_use]
    pub fn removable(self, older: u64) -> Option<Self> {
        self.0.checked_sub(REMOVAL_AGE + older).map(Self)
    }
}
