/// Value of the row of a job that is to be accepted in another pool.
const MOVED: &[u8] = b"moved";

/// Why a pool must not accept a job that it does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// A caller has cancelled it.
    Cancelled,
    /// Its route leads to another pool, which may accept it.
    Moved,
}

impl Withdrawal {
    /// Returns the value of the row in the inbox.
    ///
    /// ```
    /// use cornelpoint::inbox::Withdrawal;
    ///
    /// for withdrawal in [Withdrawal::Cancelled, Withdrawal::Moved] {
    ///     assert_eq!(Withdrawal::of(withdrawal.value()), withdrawal);
    /// }
    /// ```
    #[must_use]
    pub fn value(self) -> &'static [u8] {
        match self {
            Self::Cancelled => b"",
            Self::Moved => MOVED,
        }
    }

    /// Returns what the value of a row says.
    #[must_use]
    pub fn of(value: &[u8]) -> Self {
        if value == MOVED {
            Self::Moved
        } else {
            Self::Cancelled
        }
    }
}
