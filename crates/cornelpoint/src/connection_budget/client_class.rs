/// A kind of client of a listener; each has room that the others can't take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientClass {
    /// Callers of the services.
    Callers,
    /// Other processes of the system.
    Peers,
    /// Operators and their tools.
    Operators,
    /// Health checks.
    Balancer,
}

impl ClientClass {
    /// All kinds, in the order of [`ClientClass::index`].
    pub const ALL: [Self; 4] = [Self::Callers, Self::Peers, Self::Operators, Self::Balancer];

    /// Returns the position in [`ClientClass::ALL`].
    ///
    /// ```
    /// use cornelpoint::connection_budget::ClientClass;
    ///
    /// for class in ClientClass::ALL {
    ///     assert_eq!(ClientClass::ALL[class.index()], class);
    /// }
    /// ```
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Callers => 0,
            Self::Peers => 1,
            Self::Operators => 2,
            Self::Balancer => 3,
        }
    }

    /// Returns the name in answers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Operators => "operators",
            Self::Balancer => "health checks",
        }
    }
}
