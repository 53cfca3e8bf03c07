use serde::Deserialize;
use serde::Serialize;

/// Settings of a [`Holder`](super::Holder).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSettings {
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Longest time that a request runs at an endpoint, in milliseconds.
    pub max_deadline_ms: u64,
    /// Time for which a new holder lends only slots that it saw given back,
    /// in milliseconds. At least one lease; with one lease and the longest
    /// deadline, the endpoint's limit holds even when a gateway is lost
    /// together with the holder before.
    pub adopt_ms: u64,
    /// Time in which every gateway and every other holder knows that an
    /// endpoint leaves, in milliseconds. At least one lease.
    pub leaving_known_ms: u64,
    /// Time after which a gateway that waits for slots in movement asks
    /// again, in milliseconds.
    pub ask_soon_ms: u64,
    /// Time after which a gateway that has its share, and many requests
    /// waiting for each slot, asks again, in milliseconds.
    pub ask_later_ms: u64,
}

impl HolderSettings {
    /// Settings for a longest deadline, in milliseconds.
    ///
    /// ```
    /// use cornelpoint::slots::HolderSettings;
    ///
    /// assert!(HolderSettings::for_max_deadline(2_000).lease_ms <= 1_000);
    /// ```
    #[must_use]
    pub fn for_max_deadline(max_deadline_ms: u64) -> Self {
        Self {
            lease_ms: 900,
            max_deadline_ms,
            adopt_ms: 900,
            leaving_known_ms: 2_000,
            ask_soon_ms: 10,
            ask_later_ms: 200,
        }
    }
}
