use super::budget_limits::BudgetLimits;
use super::client_class::ClientClass;

/// Limits of a listener's connections, and of the requests of each kind of client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// All connections, with what they hold until a request's head has been read.
    pub connections: BudgetLimits,
    classes: [ClassLimits; ClientClass::ALL.len()],
}

impl ListenerLimits {
    /// Creates limits under which no kind of client may send requests.
    #[must_use]
    pub fn new(connections: BudgetLimits) -> Self {
        let none = ClassLimits {
            budget: BudgetLimits {
                max_connections: 0,
                max_bytes: 0,
                large_body_bytes: 0,
                connection_bytes: 0,
                body_bytes: 0,
            },
            decoded_bytes_per_byte: 0,
        };
        Self {
            connections,
            classes: [none; ClientClass::ALL.len()],
        }
    }

    /// Returns the limits with those of a kind of client replaced.
    #[must_use]
    pub fn with(mut self, class: ClientClass, limits: ClassLimits) -> Self {
        self.classes[class.index()] = limits;
        self
    }

    /// Returns the limits of a kind of client.
    #[must_use]
    pub fn class(&self, class: ClientClass) -> &ClassLimits {
        &self.classes[class.index()]
    }
}

/// Limits of the requests of one kind of client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// What requests, their bodies and their answers may hold.
    pub budget: BudgetLimits,
    /// What the decoded form of a complete body takes for each of its bytes until the request
    /// is answered.
    pub decoded_bytes_per_byte: usize,
}

impl ClassLimits {
    /// Returns the size of the largest body for which there can be room, in bytes.
    ///
    /// ```
    /// use cornelpoint::connection_budget::BudgetLimits;
    /// use cornelpoint::connection_budget::ClassLimits;
    ///
    /// let limits = ClassLimits {
    ///     budget: BudgetLimits {
    ///         max_connections: 10,
    ///         max_bytes: 200_000,
    ///         large_body_bytes: 130_000,
    ///         connection_bytes: 10_000,
    ///         body_bytes: 0,
    ///     },
    ///     decoded_bytes_per_byte: 2,
    /// };
    /// assert_eq!(limits.largest_body_bytes(), 40_000);
    /// ```
    #[must_use]
    pub fn largest_body_bytes(&self) -> usize {
        let budget = &self.budget;
        let room = budget
            .large_body_bytes
            .saturating_sub(budget.connection_bytes);
        // Until it is decoded, a body is held in segments and as a whole.
        room / (1 + self.decoded_bytes_per_byte.max(1))
    }
}
