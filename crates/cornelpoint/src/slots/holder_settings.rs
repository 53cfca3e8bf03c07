use serde::Deserialize;
use serde::Serialize;

/// Settings of a [`Holder`](super::Holder).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSettings {
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Maximum time that a request runs at an endpoint, in milliseconds.
    pub max_deadline_ms: u64,
    /// Time after its start during which a holder lends only adopted slots that
    /// gateways have returned, in milliseconds. It is at least one lease. With
    /// one lease plus the longest deadline, the endpoint's limit is kept even
    /// if a gateway is lost together with the previous holder.
    pub adopt_ms: u64,
    /// Time within which every gateway and every other holder has learned that
    /// an endpoint leaves, in milliseconds. At least one lease.
    pub leaving_known_ms: u64,
    /// Shortest time after which a gateway that needs slots sends its next
    /// request, in milliseconds; used while it is below its minimum share.
    pub ask_soon_ms: u64,
    /// Longest time after which a gateway that needs slots sends its next
    /// request, in milliseconds; used when it has its share and many requests
    /// are queued for each slot.
    pub ask_later_ms: u64,
}

impl HolderSettings {
    /// Returns settings for a maximum deadline in milliseconds.
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
